//! Limits the rate at which all entry instances together send to a cold upstream.

use std::time::Duration;

/// Represents the rate limit for cold upstreams.
///
/// Each entry instance uses an equal share of the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// The factor applied to the rate that a cold upstream sustains.
    pub factor: f64,
    /// The number of requests per second that are allowed in addition.
    pub slack: f64,
    /// The number of entry instances that share the limit.
    pub entry_count: u32,
}

/// The fraction of the limit that is used. The rest allows for clocks that run
/// at different rates and for delayed requests.
const USED_FRACTION: f64 = 0.8;
/// How much longer an upstream counts as cold than it reports.
pub(super) const COLD_MARGIN: Duration = Duration::from_millis(300);

impl ColdLimit {
    /// Returns the time between two requests of this instance to a cold
    /// upstream that sustains `rate_per_s` requests per second.
    pub(super) fn interval(&self, rate_per_s: f64) -> Duration {
        let allowed_per_s = (rate_per_s * self.factor + self.slack) * USED_FRACTION;
        let entry_count = f64::from(self.entry_count.max(1));
        Duration::try_from_secs_f64(entry_count / allowed_per_s).unwrap_or(Duration::MAX)
    }
}
