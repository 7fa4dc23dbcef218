//! Bounds what all entry instances together send to a cold upstream.

use std::time::Duration;

/// Bounds what this instance sends to cold upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// What the rate that a cold upstream bears may be multiplied with.
    pub factor: f64,
    /// The requests a second that it may get beyond that.
    pub slack: f64,
    /// The entry instances that share the limit.
    pub entry_count: u32,
}

/// The part of the limit that is used, for clocks that run at different
/// rates and requests that were held up.
const USED_FRACTION: f64 = 0.8;
/// How long an upstream counts as cold beyond what it says.
pub(super) const COLD_MARGIN: Duration = Duration::from_millis(300);

impl ColdLimit {
    /// Returns the time between two requests of this instance to a cold
    /// upstream that bears `rate_per_s`.
    pub(super) fn spacing(&self, rate_per_s: f64) -> Duration {
        let allowed_per_s = (rate_per_s * self.factor + self.slack) * USED_FRACTION;
        let entry_count = f64::from(self.entry_count.max(1));
        Duration::try_from_secs_f64(entry_count / allowed_per_s).unwrap_or(Duration::MAX)
    }
}
