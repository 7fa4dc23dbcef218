//! Estimates the wait for a slot at an upstream.

use std::time::Duration;

use crate::core::upstreams::ReportedLoad;

/// Represents the estimated load of an upstream.
///
/// The estimate is based on the load that the upstream reports with its
/// responses and on the requests that this instance has sent to it since.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    slots: f64,
    /// The estimated number of requests that run or wait at the upstream.
    backlog: f64,
    /// When `backlog` was last updated.
    updated_at: Duration,
    /// The moving average of how long a request runs at the upstream.
    run_time: Duration,
    /// The number of this instance's requests at the upstream.
    in_flight: u32,
}

/// The maximum wait for a slot that a reported load may imply.
const REPORTED_WAIT_MAX: Duration = Duration::from_secs(10);
/// The assumed run time before the first response.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(200);
/// A new run time has a weight of `1 / RUN_TIME_SMOOTHING` in the average.
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

    /// Records that a request is sent.
    pub(super) fn record_start(&mut self, now: Duration) {
        self.update_backlog(now);
        self.backlog += 1.0;
        self.in_flight += 1;
    }

    /// Records the end of a request.
    pub(super) fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a load report of the upstream, which replaces the estimate.
    ///
    /// The backlog is capped at a wait of [`REPORTED_WAIT_MAX`], since an upstream that gets no
    /// requests can't report a lower one.
    pub(super) fn record_report(&mut self, report: ReportedLoad, now: Duration) {
        self.slots = f64::from(report.slots.max(1));
        let finished_max = REPORTED_WAIT_MAX.as_secs_f64() / self.run_time_s() * self.slots;
        let backlog = f64::from(report.running) + f64::from(report.waiting);
        self.backlog = backlog.min(self.slots + finished_max);
        self.updated_at = now;
    }

    /// Records how long a completed request took, given the wait that was
    /// expected when it was sent.
    pub(super) fn record_elapsed(&mut self, elapsed: Duration, expected_wait: Duration) {
        let run_time = elapsed.saturating_sub(expected_wait).max(elapsed / 4);
        self.run_time = (self.run_time * (RUN_TIME_SMOOTHING - 1) + run_time) / RUN_TIME_SMOOTHING;
    }

    /// Returns how long a request sent now is expected to wait for a slot.
    pub(super) fn expected_wait(&self, now: Duration) -> Duration {
        let requests_ahead = self.backlog_at(now) + 1.0 - self.slots;
        self.run_time.mul_f64(requests_ahead.max(0.0) / self.slots)
    }

    fn update_backlog(&mut self, now: Duration) {
        self.backlog = self.backlog_at(now);
        self.updated_at = now;
    }

    /// Returns the estimated backlog at `now`.
    ///
    /// Between reports the backlog shrinks at the rate at which slots become
    /// free, but never below the number of this instance's own requests.
    fn backlog_at(&self, now: Duration) -> f64 {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        let finished = elapsed_s / self.run_time_s() * self.slots;
        (self.backlog - finished).max(f64::from(self.in_flight))
    }

    fn run_time_s(&self) -> f64 {
        self.run_time.as_secs_f64().max(0.001)
    }
}
