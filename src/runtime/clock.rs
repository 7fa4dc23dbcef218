//! Gives the core its times.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Measures time from when it was made. It never goes back, and it goes on
/// while the process is stopped or the machine suspended, so a lease runs out
/// over a freeze.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Returns a clock that starts at zero now.
    pub fn new() -> Self {
        Self { origin: since_boot() }
    }

    /// Returns the time since the clock was made.
    pub fn now(&self) -> Duration {
        since_boot().saturating_sub(self.origin)
    }

    /// Returns the wall-clock time in milliseconds since 1970. It serves
    /// records and retention only; no promise rests on it.
    pub fn unix_ms(&self) -> u64 {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        elapsed.as_millis() as u64
    }
}

/// Returns the time since the machine started, suspensions included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
