//! The state of one upstream.

use std::time::Duration;

use super::{
    Choice,
    cold::{COLD_MARGIN, RecentSends},
    health::Health,
    load::Load,
};
use crate::core::{
    placement::{Candidate, UpstreamHash, upstream_hash},
    upstreams::ListedUpstream,
};

/// Represents what an instance knows about a listed upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamState {
    pub(super) listed: ListedUpstream,
    /// The hash of its id.
    pub(super) hash: UpstreamHash,
    /// Whether it is in the region of this instance.
    pub(super) is_local: bool,
    pub(super) load: Load,
    pub(super) health: Health,
    /// When the upstream stops counting as cold.
    pub(super) cold_until: Duration,
    pub(super) recent_sends: RecentSends,
}

impl UpstreamState {
    pub(super) fn new(listed: ListedUpstream, is_local: bool, now: Duration) -> Self {
        let cold_left = listed.cold_left;
        let load = Load::new(listed.slots, 0, now);
        let mut upstream = Self {
            hash: upstream_hash(&listed.id),
            is_local,
            listed,
            load,
            health: Health::Healthy,
            cold_until: Duration::ZERO,
            recent_sends: RecentSends::default(),
        };
        upstream.set_cold(cold_left, now);
        upstream
    }

    /// Returns the state after a restart, which keeps this instance's requests in flight and those
    /// that count toward the limit of a cold upstream.
    pub(super) fn restarted(&self, listed: ListedUpstream, now: Duration) -> Self {
        let load = Load::new(listed.slots, self.load.in_flight(), now);
        let recent_sends = self.recent_sends.clone();
        Self { load, recent_sends, ..Self::new(listed, self.is_local, now) }
    }

    pub(super) fn set_listed(&mut self, listed: ListedUpstream, now: Duration) {
        self.set_cold(listed.cold_left, now);
        self.listed = listed;
    }

    pub(super) fn set_cold(&mut self, remaining: Duration, now: Duration) {
        if !remaining.is_zero() {
            let cold_until = now.saturating_add(remaining).saturating_add(COLD_MARGIN);
            self.cold_until = self.cold_until.max(cold_until);
        }
    }

    pub(super) fn candidate(&self) -> Candidate {
        Candidate { hash: self.hash, slots: self.listed.slots, in_requesting_region: self.is_local }
    }

    pub(super) fn choice(&self, now: Duration) -> Choice {
        Choice {
            id: self.listed.id.clone(),
            service: self.listed.service.clone(),
            address: self.listed.address,
            started_unix_ms: self.listed.started_unix_ms,
            is_cold: now < self.cold_until,
            expected_wait: self.load.expected_wait(now),
            passed_over: None,
        }
    }
}
