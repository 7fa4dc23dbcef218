//! Answers requests that are not sent to any upstream.

use std::time::Duration;

use tracing::info;

use super::{request::Request, response::Response, state::EntryState};
use crate::runtime::logs::REQUEST_TARGET;

/// The `Retry-After` of refused requests if no expected wait is known.
pub(super) const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(300);
/// The `Retry-After` of requests that are refused while the instance stops, or while it may have
/// an old configuration. It is short since the caller should send the request to another
/// instance.
pub(super) const RETRY_AFTER_ELSEWHERE: Duration = Duration::from_millis(20);

/// The `Retry-After` of a request under which several upstreams crashed.
pub(super) const RETRY_AFTER_CRASHES: Duration = Duration::from_secs(10);

/// Refuses a request of which only the head was read, because the process is about to exit.
pub(super) fn refuse_for_stop(state: &EntryState, id: &str) -> Response {
    refuse(state, id, "stopping", RETRY_AFTER_ELSEWHERE).with_connection_close()
}

/// Refuses a request because no configuration is known yet.
pub(super) fn refuse_without_configuration(state: &EntryState, id: &str) -> Response {
    refuse(state, id, "no_configuration", RETRY_AFTER_DEFAULT)
}

/// Counts and logs a refused request, and returns its 503 response. The request has
/// not run.
pub(super) fn refuse(
    state: &EntryState,
    id: &str,
    reason: &'static str,
    retry_after: Duration,
) -> Response {
    state.metrics.record_refused(reason);
    info!(
        target: REQUEST_TARGET,
        request = id,
        reason,
        retry_after_ms = retry_after.as_millis() as u64,
        config = state.config_version(),
        config_age_ms = state.config_age_ms(),
        list_age_ms = state.list_age_ms(),
        "refused"
    );
    Response::local(503, reason).with_retry_after(retry_after)
}

/// Logs a request that no route matches, and returns its 404 response.
pub(super) fn reject_unrouted(state: &EntryState, request: &Request) -> Response {
    info!(
        target: REQUEST_TARGET,
        request = request.id().unwrap_or_default(),
        host = request.host(),
        path = request.path(),
        config = state.config_version(),
        config_age_ms = state.config_age_ms(),
        "no route"
    );
    Response::local(404, "no_route")
}
