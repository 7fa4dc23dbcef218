//! Limits the bandwidth of traffic between regions.

use std::time::Duration;

use crate::core::control::Link;

/// Represents one instance's rate limit for one direction of a link.
///
/// Each instance of a region gets an equal, fixed share of the cap less the
/// reserve. The shares never add up to more than the cap, even if the
/// instances can't communicate; bandwidth that an instance does not use stays
/// unused.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkBucket {
    bytes_per_s: u64,
    /// When all bytes reserved so far have been sent at the rate.
    reserved_until: Duration,
}

const BYTES_PER_MBIT: u64 = 125_000;
const MICROS_PER_S: u64 = 1_000_000;

impl LinkBucket {
    /// Returns the limit of one of `instances` instances that share a link.
    pub fn new(link: &Link, instances: usize) -> Self {
        let usable_permille = u64::from(1000 - link.reserve_permille.min(1000));
        let bytes_per_s = link.cap_mbit * BYTES_PER_MBIT * usable_permille / 1000;
        let share = bytes_per_s / instances.max(1) as u64;
        Self { bytes_per_s: share.max(1), reserved_until: Duration::ZERO }
    }

    /// Reserves bandwidth for `bytes` and returns how long to wait before
    /// sending them.
    ///
    /// A sender that waits this long stays within the rate and sends no bursts.
    pub fn reserve(&mut self, bytes: u64, now: Duration) -> Duration {
        let start = self.reserved_until.max(now);
        let micros = u128::from(bytes) * u128::from(MICROS_PER_S) / u128::from(self.bytes_per_s);
        self.reserved_until = start + Duration::from_micros(micros as u64);
        start - now
    }

    /// Returns the rate in bytes per second.
    pub fn bytes_per_s(&self) -> u64 {
        self.bytes_per_s
    }

    /// Returns how far ahead of `now` bandwidth is reserved.
    pub fn backlog(&self, now: Duration) -> Duration {
        self.reserved_until.saturating_sub(now)
    }
}
