//! Checks the health of upstreams that failed, until they can be used again.

use std::{io, rc::Rc, time::Duration};

use tokio::{io::AsyncWriteExt, time::timeout};
use tracing::info;

use super::{
    links::connect_to_upstream,
    notices::{NoticeSource, record_notice},
    reading::{BodyLimits, read_body, read_head},
    state::EntryState,
};
use crate::{
    core::{
        balance::{CheckResult, Choice},
        routing::ServiceSpec,
    },
    net::http1::HeadWriter,
    platform::headers,
};

/// How often to look for checks that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The timeout of a check. A check may wait for a slot at the upstream, like
/// any request.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1000);

/// How much later than its timeout a check may end before it is repeated.
const RESULT_MARGIN: Duration = Duration::from_secs(1);
/// The maximum size of the body of a response to a check.
const BODY_MAX_BYTES: usize = 64 * 1024;

/// Runs health checks for as long as the process runs.
pub(super) async fn check_upstreams(state: Rc<EntryState>) {
    loop {
        state.upstream_failed.notified().await;
        while state.balancer.borrow().has_unhealthy() {
            let (now, result_timeout) = (state.clock.now(), check_timeout(&state) + RESULT_MARGIN);
            let due_checks = state.balancer.borrow_mut().take_due_checks(now, result_timeout);
            for (choice, service) in due_checks {
                tokio::task::spawn_local(check(state.clone(), choice, service));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn check_timeout(state: &EntryState) -> Duration {
    CHECK_TIMEOUT + state.settings.link_queue_time()
}

/// Checks one upstream and records the result.
async fn check(state: Rc<EntryState>, choice: Choice, service: std::sync::Arc<ServiceSpec>) {
    let check_future = send_check(&state, &choice, &service.health_path);
    let check_result = timeout(check_timeout(&state), check_future).await;
    let result = match check_result {
        Ok(Ok(result)) => result,
        Ok(Err(_)) | Err(_) => CheckResult::Silent,
    };
    let now = state.clock.now();
    let usable = state.balancer.borrow_mut().record_check(&choice.id, result, now);
    info!(upstream = choice.id, ?result, usable, "upstream checked");
    record_crash(&state, &choice, result);
}

/// Records whether an upstream that broke requests off has crashed, as its first check tells.
fn record_crash(state: &EntryState, choice: &Choice, result: CheckResult) {
    let mut suspects = state.suspects.borrow_mut();
    let is_gone = matches!(result, CheckResult::Silent | CheckResult::Misdirected);
    // Without links nothing is known of the upstream.
    if !is_gone || state.links.is_suspected(&choice.service) {
        suspects.record_not_crashed(&choice.id);
        return;
    }
    let now = state.clock.now();
    for fingerprint in suspects.record_crashed(&choice.id, now) {
        info!(upstream = choice.id, fingerprint, "upstream crashed under a request");
    }
}

/// Sends a health check and returns the result.
async fn send_check(state: &EntryState, choice: &Choice, path: &str) -> io::Result<CheckResult> {
    let mut connection = connect_to_upstream(state, choice).await?;
    let mut head = HeadWriter::with_request("GET", path);
    head.field("Host", choice.address.to_string().as_bytes());
    head.field(headers::EXPECT_INSTANCE, choice.id.as_bytes());
    head.field("Connection", b"close");
    if state.balancer.borrow().is_silenced(&choice.id, state.clock.now()) {
        return Ok(CheckResult::Unhealthy);
    }
    let sent_at = state.clock.now();
    connection.stream.write_all(&head.finish()).await?;
    let head = read_head(&mut connection, "GET", &state.memory).await?;
    record_notice(state, choice, &head, NoticeSource::HealthCheck, sent_at);
    let limits = BodyLimits { max_bytes: BODY_MAX_BYTES, memory: &state.memory };
    read_body(&mut connection, &head, limits).await?;
    let is_other_upstream = headers::upstream_id(&head.headers).is_some_and(|id| id != choice.id);
    Ok(match head.status {
        421 => CheckResult::Misdirected,
        200 if is_other_upstream => CheckResult::Misdirected,
        200 => CheckResult::Healthy {
            cold_left: headers::cold_left(&head.headers).unwrap_or_default(),
        },
        _ => CheckResult::Unhealthy,
    })
}
