//! Detects that a process was stopped, suspended or starved for a while.

use std::time::Duration;

/// Tells for how long a process has run without a stall.
///
/// A task of the process records a beat at a fixed interval. A longer pause between two beats
/// is a stall, during which messages may have waited unread.
///
/// All times are relative to one origin, which the calling code chooses. They must go on
/// while the process is stopped or the machine is suspended.
#[derive(Clone, Debug)]
pub struct StallDetector {
    pause_max: Duration,
    last_beat_at: Duration,
    /// When the last stall ended.
    last_stall_end: Option<Duration>,
}

impl StallDetector {
    /// Creates the detector of a process that starts at `now`. A pause longer than `pause_max`
    /// is a stall.
    pub fn new(pause_max: Duration, now: Duration) -> Self {
        Self { pause_max, last_beat_at: now, last_stall_end: None }
    }

    /// Records a beat. Returns the length of the stall that it ends, if there was one.
    pub fn record_beat(&mut self, now: Duration) -> Option<Duration> {
        let pause = now.saturating_sub(self.last_beat_at);
        self.last_beat_at = now;
        let stall = (pause > self.pause_max).then_some(pause);
        if stall.is_some() {
            self.last_stall_end = Some(now);
        }
        stall
    }

    /// Returns whether the process has run without a stall for `duration`, or since its start.
    pub fn is_steady_for(&self, duration: Duration, now: Duration) -> bool {
        let is_stalled = now.saturating_sub(self.last_beat_at) > self.pause_max;
        let is_recovering = self.last_stall_end.is_some_and(|ended_at| now <= ended_at + duration);
        !is_stalled && !is_recovering
    }
}
