//! Records what became of requests and health checks, and what upstreams said of themselves.

use std::time::Duration;

use super::Balancer;
use crate::core::{
    balance::{CheckResult, Choice, NoticeChange, health::Health},
    upstreams::{ReportedLoad, UpstreamId, UpstreamNotice},
};

impl Balancer {
    /// Records what an upstream said with a response to a request or health check for which it
    /// was chosen, and returns what begins.
    ///
    /// It is ignored if the upstream has started anew since.
    pub fn record_notice(
        &mut self,
        choice: &Choice,
        notice: UpstreamNotice,
        sent_at: Duration,
        now: Duration,
    ) -> Vec<NoticeChange> {
        let listed = self.upstreams.get(&choice.id).map(|upstream| &upstream.listed);
        let is_listed = listed.is_some();
        if listed.is_some_and(|listed| listed.started_unix_ms != choice.started_unix_ms) {
            return Vec::new();
        }
        self.notices.record(&choice.id, choice.started_unix_ms, is_listed, notice, (sent_at, now))
    }

    /// Returns what has ended since the last call of what upstreams said of themselves.
    pub fn take_ended_notices(&mut self, now: Duration) -> Vec<NoticeChange> {
        self.notices.take_ended(now)
    }

    /// Records that a request is about to be sent to an upstream.
    pub fn record_start(&mut self, id: &UpstreamId, now: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.load.record_start(now);
            upstream.recent_sends.record_start(now);
        }
        if let Some(pause) = self.notices.pause_mut(id) {
            pause.record_start(now);
        }
    }

    /// Records that a request whose start was recorded has left this instance, or that it ended
    /// before.
    pub fn record_sent(&mut self, id: &UpstreamId, now: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.recent_sends.record_sent(now);
        }
    }

    /// Records the end of a request that was sent to an upstream at `sent_at`.
    pub fn record_end(&mut self, id: &UpstreamId, sent_at: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.load.record_end();
        }
        if let Some(pause) = self.notices.pause_mut(id) {
            pause.record_end(sent_at);
        }
    }

    /// Records the load that an upstream reports.
    pub fn record_load(&mut self, id: &UpstreamId, report: ReportedLoad, now: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.load.record_report(report, now);
        }
    }

    /// Records that an upstream completed a request that was sent to it at `sent_at`.
    pub fn record_completed(&mut self, choice: &Choice, sent_at: Duration, now: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(&choice.id) {
            let elapsed = now.saturating_sub(sent_at);
            upstream.load.record_elapsed(elapsed, choice.expected_wait);
        }
        if let Some(pause) = self.notices.pause_mut(&choice.id) {
            pause.record_completed(sent_at);
        }
    }

    /// Records that an upstream can't be reached or did not complete its response.
    pub fn record_failure(&mut self, id: &UpstreamId, now: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.health = upstream.health.after_failure(now);
        }
    }

    /// Records the result of a health check and returns whether the upstream
    /// can be used again.
    pub fn record_check(&mut self, id: &UpstreamId, result: CheckResult, now: Duration) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else { return false };
        upstream.health = upstream.health.after_check(result, now);
        if let CheckResult::Healthy { cold_left } = result {
            upstream.set_cold(cold_left, now);
        }
        upstream.health == Health::Healthy
    }
}
