//! The clock of a process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Measures the time elapsed since its creation.
///
/// It is monotonic, and it also advances while the process is stopped or the
/// machine is suspended, so a lease expires during such a pause as well.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Creates a clock that starts at zero.
    pub fn new() -> Self {
        Self { origin: since_boot() }
    }

    /// Returns the time elapsed since the clock was created.
    pub fn now(&self) -> Duration {
        since_boot().saturating_sub(self.origin)
    }

    /// Returns the wall-clock time in milliseconds since 1970.
    ///
    /// It can jump, so it is used for timestamps and retention only; no
    /// guarantee depends on it.
    pub fn unix_ms(&self) -> u64 {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        elapsed.as_millis() as u64
    }
}

/// Returns the time since the machine booted, including suspensions.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
