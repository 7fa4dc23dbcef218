//! Records what becomes of a request: for the choice of upstreams, the retry budget, the metrics
//! and the log.

use std::time::Duration;

use tracing::info;

use super::{
    super::{attempt::AttemptError, metrics::RequestOutcome},
    Exchange,
};
use crate::{
    core::{balance::Choice, placement::CompletedRequest, routing::Execution},
    runtime::logs::REQUEST_TARGET,
};

impl Exchange<'_> {
    /// Records the demand for the object of a request that was sent at `sent_at` and completed now.
    pub(super) fn record_demand(&self, sent_at: Duration) {
        self.state.demand.borrow_mut().record_request(&CompletedRequest {
            service: self.service,
            route: self.route_name,
            object: self.object,
            has_large_body: self.route.execution == Execution::OnceWithLargeBody,
            elapsed: self.state.clock.now().saturating_sub(sent_at),
        });
    }

    /// Takes a retry from the budget of the service. Returns whether one was left.
    pub(super) fn try_take_retry(&self) -> bool {
        let (is_taken, left) = self.state.try_take_retry(self.service);
        info!(
            target: REQUEST_TARGET,
            request = self.id,
            service = self.service,
            left,
            entries = self.state.entry_count(),
            uptime_ms = self.state.clock.now().as_millis() as u64,
            "{}",
            if is_taken { "retry granted" } else { "retry budget spent" }
        );
        is_taken
    }

    /// Records that an attempt failed, so that the upstream is checked before it is used again, unless
    /// the connection may have been one too many for a sound upstream.
    pub(super) fn record_failure(
        &self,
        choice: &Choice,
        failure: &AttemptError,
        message: &'static str,
    ) {
        let AttemptError { error, may_be_connection_limit } = failure;
        if !may_be_connection_limit {
            let now = self.state.clock.now();
            self.state.balancer.borrow_mut().record_failure(&choice.id, now);
            self.state.upstream_failed.notify_one();
        }
        info!(target: REQUEST_TARGET, request = self.id, upstream = choice.id, %error, "{message}");
    }

    /// Records that an upstream broke the request off, and may have crashed under it.
    pub(super) fn record_broken_off(&self, choice: &Choice) {
        let Some(fingerprint) = self.request.fingerprint() else { return };
        let (fingerprint, now) = (format!("{fingerprint:032x}"), self.state.clock.now());
        let (id, started_unix_ms) = (&choice.id, choice.started_unix_ms);
        let mut suspects = self.state.suspects.borrow_mut();
        suspects.record_broken_off(id, started_unix_ms, fingerprint, now);
    }

    /// Records how the request ended.
    pub(super) fn record_outcome(&self, outcome: RequestOutcome) {
        self.state.metrics.record_request(self.service, self.route, outcome, self.elapsed());
    }
}

impl Drop for Exchange<'_> {
    fn drop(&mut self) {
        if !self.is_done {
            self.record_outcome(RequestOutcome::CallerLeft);
            let (upstream, took_ms) = (self.tried.last(), self.elapsed_ms());
            info!(target: REQUEST_TARGET, request = self.id, upstream, took_ms, "caller left");
        }
    }
}
