//! Estimates how long a request would wait at an upstream.

use std::time::Duration;

use crate::core::upstreams::ReportedLoad;

/// Estimates how long a request would wait at an upstream, from the load that
/// it reports with its answers and from what was sent to it since.
///
/// All times are measured from one origin that the driver chooses.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    slots: f64,
    /// The requests that run and wait there.
    backlog: f64,
    /// When the backlog was last estimated.
    updated_at: Duration,
    /// How long a request runs there.
    run_time: Duration,
    /// This instance's requests there.
    in_flight: u32,
}

/// How long a request is taken to run before any was seen.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(200);
/// A new run time counts as one part in this many.
const RUN_TIME_SMOOTHING: u32 = 16;

impl Load {
    pub(super) fn new(slots: u32, in_flight: u32, now: Duration) -> Self {
        Self {
            slots: f64::from(slots.max(1)),
            backlog: f64::from(in_flight),
            updated_at: now,
            run_time: INITIAL_RUN_TIME,
            in_flight,
        }
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts a request that is sent.
    pub(super) fn record_start(&mut self, now: Duration) {
        self.update_backlog(now);
        self.backlog += 1.0;
        self.in_flight += 1;
    }

    /// Counts the end of a request.
    pub(super) fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes over what the upstream reports.
    pub(super) fn record_report(&mut self, report: ReportedLoad, now: Duration) {
        self.slots = f64::from(report.slots.max(1));
        self.backlog = f64::from(report.running + report.waiting);
        self.updated_at = now;
    }

    /// Notes how long an answered request took, given the wait that was
    /// expected when it was sent.
    pub(super) fn record_elapsed(&mut self, elapsed: Duration, expected_wait: Duration) {
        let run_time = elapsed.saturating_sub(expected_wait).max(elapsed / 4);
        self.run_time = (self.run_time * (RUN_TIME_SMOOTHING - 1) + run_time) / RUN_TIME_SMOOTHING;
    }

    /// Returns how long a request that is sent now would wait for a slot.
    pub(super) fn expected_wait(&self, now: Duration) -> Duration {
        let ahead = self.backlog_at(now) + 1.0 - self.slots;
        self.run_time.mul_f64(ahead.max(0.0) / self.slots)
    }

    fn update_backlog(&mut self, now: Duration) {
        self.backlog = self.backlog_at(now);
        self.updated_at = now;
    }

    /// Without news the backlog shrinks as fast as the slots get free, but
    /// holds this instance's own requests at least.
    fn backlog_at(&self, now: Duration) -> f64 {
        let run_time_s = self.run_time.as_secs_f64().max(0.001);
        let ended = now.saturating_sub(self.updated_at).as_secs_f64() / run_time_s * self.slots;
        (self.backlog - ended).max(f64::from(self.in_flight))
    }
}
