//! Tracks a pause that an upstream asked for, and how it is used again afterwards.

use std::time::Duration;

/// Represents a pause. After its end the upstream gets one request at first, and one more at
/// a time for each that it completes; besides, the limit doubles with each [`RAMP_INTERVAL`],
/// as requests may run long.
///
/// Requests that were sent before the end of the pause are not counted.
#[derive(Clone, Debug)]
pub(super) struct Pause {
    until: Duration,
    has_ended: bool,
    /// The requests in progress that were sent after the end.
    in_flight: u32,
    /// The completed requests that were sent after the end.
    completed: u32,
}

/// The time in which the limit after a pause doubles.
const RAMP_INTERVAL: Duration = Duration::from_secs(1);
/// The number of times that the limit doubles before there is none any more.
const RAMP_STEPS: u32 = 10;

impl Pause {
    pub(super) fn new(until: Duration) -> Self {
        Self { until, has_ended: false, in_flight: 0, completed: 0 }
    }

    pub(super) fn until(&self) -> Duration {
        self.until
    }

    /// Returns whether the upstream gets no requests.
    pub(super) fn is_active(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Makes the pause last until a time, unless it lasts longer.
    pub(super) fn extend(&mut self, until: Duration) {
        self.until = self.until.max(until);
    }

    /// Returns whether [`Pause::end`] has returned true.
    pub(super) fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Returns true once after the end.
    pub(super) fn end(&mut self, now: Duration) -> bool {
        let ends = !self.has_ended && !self.is_active(now);
        self.has_ended |= ends;
        ends
    }

    /// Returns whether the pause no longer limits requests.
    pub(super) fn is_over(&self, now: Duration) -> bool {
        now >= self.until + RAMP_INTERVAL * RAMP_STEPS
    }

    /// Returns whether an upstream with this number of slots may get another request after
    /// the end.
    pub(super) fn admits(&self, slots: u32, now: Duration) -> bool {
        let intervals = now.saturating_sub(self.until).as_secs_f64() / RAMP_INTERVAL.as_secs_f64();
        let doublings = (intervals as u32).min(RAMP_STEPS);
        let limit = self.completed.saturating_add(1).saturating_mul(1 << doublings);
        limit >= slots || self.in_flight < limit
    }

    /// Records that a request is sent.
    pub(super) fn record_start(&mut self, now: Duration) {
        if !self.is_active(now) {
            self.in_flight += 1;
        }
    }

    /// Records the end of a request that was sent at `sent_at`.
    pub(super) fn record_end(&mut self, sent_at: Duration) {
        if sent_at >= self.until {
            self.in_flight = self.in_flight.saturating_sub(1);
        }
    }

    /// Records the response to a request that was sent at `sent_at`.
    pub(super) fn record_completed(&mut self, sent_at: Duration) {
        if sent_at >= self.until {
            self.completed = self.completed.saturating_add(1);
        }
    }
}
