//! Limits the rate at which all entry instances together send to a cold upstream.

use std::{collections::VecDeque, time::Duration};

use crate::core::placement::UpstreamHash;

/// Represents the rate limit for cold upstreams.
///
/// Entry instances divide the requests of one second among them in whole requests. Those that are
/// left over go to the instances of some ranks, others for each upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// The factor applied to the rate that a cold upstream sustains.
    pub factor: f64,
    /// The number of requests per second that are allowed in addition.
    pub slack: f64,
    /// The number of entry instances that share the limit.
    pub entry_count: u32,
}

/// The fraction of the limit that is used. The rest allows for instances that know different
/// counts or ranks for a time.
const USED_FRACTION: f64 = 0.8;
/// How long a request counts toward the limit of a second after it was sent. It is longer than a
/// second, as a later request may arrive sooner after its sending.
pub(super) const COLD_WINDOW: Duration = Duration::from_millis(1100);
/// How much longer an upstream counts as cold than it reports.
pub(super) const COLD_MARGIN: Duration = Duration::from_millis(300);

impl ColdLimit {
    /// Returns how many requests the instance of this rank, from 0, may send within
    /// [`COLD_WINDOW`] to a cold upstream that sustains `rate_per_s` requests per second.
    pub(super) fn share(&self, rate_per_s: f64, rank: u32, upstream: UpstreamHash) -> u32 {
        let limit = rate_per_s * self.factor + self.slack;
        let allowed = (limit * USED_FRACTION).max(limit.min(1.0));
        let allowed = allowed.min(f64::from(u32::MAX)) as u64;
        let count = u64::from(self.entry_count.max(1));
        let offset = ((u128::from(upstream) * u128::from(count)) >> u64::BITS) as u64;
        let position = (u64::from(rank) + offset) % count;
        (allowed / count + u64::from(position < allowed % count)) as u32
    }
}

/// Records the requests that an instance sends to one upstream, as long as they count.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentSends {
    /// The number of requests that were chosen for the upstream and wait for a connection or for
    /// the link.
    waiting: u32,
    /// When the last one was chosen.
    started_at: Option<Duration>,
    /// When requests were sent, in ascending order.
    sent_at: VecDeque<Duration>,
}

impl RecentSends {
    /// Returns whether one more request keeps to a share of the limit, and comes at equal
    /// distance to the last one.
    pub(super) fn is_within(&self, share: u32, now: Duration) -> bool {
        let Some(interval) = COLD_WINDOW.checked_div(share) else { return false };
        let is_recent = |sent_at: &&Duration| now < **sent_at + COLD_WINDOW;
        let sent = self.sent_at.iter().rev().take_while(is_recent).count();
        self.waiting as usize + sent < share as usize
            && self.started_at.is_none_or(|started_at| now >= started_at + interval)
    }

    /// Records a request that is to be sent.
    pub(super) fn record_start(&mut self, now: Duration) {
        self.waiting += 1;
        self.started_at = Some(now);
    }

    /// Records that a request was sent, or is not going to be.
    pub(super) fn record_sent(&mut self, now: Duration) {
        self.waiting = self.waiting.saturating_sub(1);
        while self.sent_at.front().is_some_and(|sent_at| now >= *sent_at + COLD_WINDOW) {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }
}
