//! Keeps the newest deltas of the policy.

use std::collections::VecDeque;

use crate::core::{
    control::{Policy, PolicyDelta, Version},
    encoded_len,
};

/// Holds the newest deltas of a policy, for followers that are a few versions behind.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RecentDeltas {
    /// The deltas of consecutive versions, each with its encoded length.
    deltas: VecDeque<(PolicyDelta, usize)>,
    /// The encoded length of all deltas.
    bytes: usize,
    /// The version of the policy whose encoded length was last computed, and that length.
    whole: Option<(Version, usize)>,
}

impl RecentDeltas {
    /// Returns the encoded length of all deltas that are kept.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds the delta of the newest version, and discards the oldest ones beyond `max_bytes`.
    pub(super) fn push(&mut self, delta: PolicyDelta, max_bytes: usize) {
        let delta_bytes = encoded_len(&delta) as usize;
        if delta_bytes > max_bytes {
            // Without this one, the earlier ones lead to no version that is in force.
            self.deltas.clear();
            self.bytes = 0;
            return;
        }
        self.deltas.push_back((delta, delta_bytes));
        self.bytes += delta_bytes;
        while self.bytes > max_bytes {
            let Some((_, oldest_bytes)) = self.deltas.pop_front() else { return };
            self.bytes -= oldest_bytes;
        }
    }

    /// Returns the deltas from `version` to `policy`, or `None` if some of them are not kept or
    /// the whole policy is shorter.
    pub(super) fn after(&mut self, version: Version, policy: &Policy) -> Option<Vec<PolicyDelta>> {
        if version == policy.version {
            return Some(Vec::new());
        }
        let oldest = self.deltas.front()?.0.version;
        if version + 1 < oldest || version > policy.version {
            return None;
        }
        let known_deltas = (version + 1 - oldest) as usize;
        let missing_bytes: usize =
            self.deltas.iter().skip(known_deltas).map(|(_, delta_bytes)| delta_bytes).sum();
        if missing_bytes > min_bytes(policy) && missing_bytes > self.whole_bytes(policy) {
            return None;
        }
        Some(self.deltas.iter().skip(known_deltas).map(|(delta, _)| delta.clone()).collect())
    }

    /// Returns the encoded length of the policy, which is computed once for each version.
    fn whole_bytes(&mut self, policy: &Policy) -> usize {
        match self.whole {
            Some((version, whole_bytes)) if version == policy.version => whole_bytes,
            _ => {
                let whole_bytes = encoded_len(policy) as usize;
                self.whole = Some((policy.version, whole_bytes));
                whole_bytes
            }
        }
    }
}

/// Returns a lower bound of the encoded length of a policy, whose exact length takes long to
/// compute if there are many client blocks.
fn min_bytes(policy: &Policy) -> usize {
    // A key and a value take a byte each at least.
    2 * (policy.blocks.len() + policy.routing.routes.len())
}
