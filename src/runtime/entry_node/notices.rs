//! Records what upstreams say of themselves with their responses, and logs it.

use std::time::Duration;

use tracing::{info, warn};

use super::state::EntryState;
use crate::{
    core::balance::{Choice, NoticeChange, NoticeKind},
    net::http1::ResponseHead,
    platform::headers,
};

/// What an upstream responded to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NoticeSource {
    Response,
    HealthCheck,
}

/// Records what an upstream says of itself with the response to a request for which it was chosen
/// and that was sent at `sent_at`.
pub(super) fn record_notice(
    state: &EntryState,
    choice: &Choice,
    head: &ResponseHead,
    source: NoticeSource,
    sent_at: Duration,
) {
    let notice = headers::upstream_notice(head.status, &head.headers);
    let is_other_upstream =
        head.status == 421 || headers::upstream_id(&head.headers).is_some_and(|id| id != choice.id);
    if is_other_upstream {
        return;
    }
    let now = state.clock.now();
    let changes = state.balancer.borrow_mut().record_notice(choice, notice, sent_at, now);
    changes.into_iter().for_each(|change| log_change(state, change, Some(source)));
}

/// Logs what has ended of what upstreams said of themselves.
pub(super) fn log_ended_notices(state: &EntryState) {
    let ended = state.balancer.borrow_mut().take_ended_notices(state.clock.now());
    ended.into_iter().for_each(|change| log_change(state, change, None));
}

fn log_change(state: &EntryState, change: NoticeChange, source: Option<NoticeSource>) {
    let upstream = change.upstream;
    let source = source.map(|source| match source {
        NoticeSource::Response => "response",
        NoticeSource::HealthCheck => "health check",
    });
    match change.kind {
        NoticeKind::LeavingBegan => {
            state.metrics.record_notice("leaving");
            info!(upstream, source, "upstream says that it leaves");
        }
        NoticeKind::LeavingEnded => info!(upstream, "leaving upstream gone or restarted"),
        NoticeKind::PauseBegan(pause) => {
            state.metrics.record_notice("pause");
            info!(upstream, pause_ms = pause.as_millis() as u64, source, "upstream wants a pause");
        }
        NoticeKind::PauseEnded => info!(upstream, "pause of upstream ended"),
        NoticeKind::LimitBegan(per_s) => {
            state.metrics.record_notice("limit");
            info!(upstream, per_s, entries = state.entry_count(), source, "upstream names a limit");
        }
        NoticeKind::LimitEnded => info!(upstream, "limit of upstream ended"),
        NoticeKind::Invalid(finding) => {
            state.metrics.record_notice("invalid");
            warn!(upstream, finding, source, "upstream sent an invalid value");
        }
    }
}
