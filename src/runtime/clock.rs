//! Gives the core its times.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Measures time from when it was made. It never goes back, and it goes on
/// while the process is stopped, so a lease runs out over a freeze.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Returns a clock that starts at zero now.
    pub fn new() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the clock was made.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Returns the wall-clock time in milliseconds since 1970. It serves
    /// records and retention only; no promise rests on it.
    pub fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        since.as_millis() as u64
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
