//! Remembers on which upstream each object is placed by default.

use std::collections::BTreeMap;

use super::{
    ObjectId,
    affinity::{RankedObject, UpstreamHash, rank, stays_in_region},
};
use crate::core::control::RegionName;

/// Represents an upstream that objects can be placed on by default.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RankedUpstream {
    pub(super) slots: u32,
    pub(super) region: RegionName,
}

/// Remembers the best-ranked upstreams of the objects of one service.
///
/// A change of the upstreams only affects the objects that it concerns: a removed
/// upstream those that ranked it first, and a new one those that rank it higher.
#[derive(Clone, Debug, Default)]
pub(super) struct DefaultUpstreams {
    upstreams: BTreeMap<UpstreamHash, RankedUpstream>,
    /// The fraction of all slots that each region has.
    slots_fractions: BTreeMap<RegionName, f64>,
    objects: BTreeMap<ObjectId, BestUpstreams>,
}

/// The best upstreams of an object, in its requesting region and elsewhere.
#[derive(Clone, Debug)]
struct BestUpstreams {
    requesting_region: RegionName,
    local: Option<(f64, UpstreamHash)>,
    remote: Option<(f64, UpstreamHash)>,
}

impl BestUpstreams {
    fn new(requesting_region: RegionName) -> Self {
        Self { requesting_region, local: None, remote: None }
    }

    fn names(&self, upstream: UpstreamHash) -> bool {
        [self.local, self.remote].into_iter().flatten().any(|(_, hash)| hash == upstream)
    }

    fn record(&mut self, object: ObjectId, hash: UpstreamHash, upstream: &RankedUpstream) {
        let is_local = upstream.region == self.requesting_region;
        let best = if is_local { &mut self.local } else { &mut self.remote };
        let rank = rank(object, hash, upstream.slots);
        if best.is_none_or(|(best_rank, _)| rank > best_rank) {
            *best = Some((rank, hash));
        }
    }
}

impl DefaultUpstreams {
    /// Sets the upstreams that objects can be placed on.
    pub(super) fn set_upstreams(&mut self, upstreams: BTreeMap<UpstreamHash, RankedUpstream>) {
        if upstreams == self.upstreams {
            return;
        }
        let removed = |hash: &UpstreamHash| upstreams.get(hash) != self.upstreams.get(hash);
        let removed: Vec<UpstreamHash> = self.upstreams.keys().copied().filter(removed).collect();
        let is_new = |hash: &UpstreamHash| upstreams.get(hash) != self.upstreams.get(hash);
        let added: Vec<UpstreamHash> = upstreams.keys().copied().filter(is_new).collect();
        self.slots_fractions = slots_fractions(&upstreams);
        self.upstreams = upstreams;
        // Ranking all objects again costs less than comparing each with most upstreams,
        // and can be spread over several rounds.
        if added.len() * 2 > self.upstreams.len() {
            self.objects.clear();
            return;
        }
        self.objects.retain(|_, best| !removed.iter().any(|hash| best.names(*hash)));
        for (object, best) in &mut self.objects {
            for hash in &added {
                best.record(*object, *hash, &self.upstreams[hash]);
            }
        }
    }

    /// Removes the objects for which `keep` returns false.
    pub(super) fn retain(&mut self, keep: impl Fn(&ObjectId) -> bool) {
        self.objects.retain(|object, _| keep(object));
    }

    /// Returns the default upstream of an object, or `None` if it is not known yet and
    /// `budget`, the number of upstreams that may still be ranked, is used up.
    pub(super) fn get(
        &mut self,
        ranked: RankedObject,
        requesting_region: &RegionName,
        budget: &mut usize,
    ) -> Option<UpstreamHash> {
        let known = self.objects.get(&ranked.object);
        if known.is_none_or(|best| best.requesting_region != *requesting_region) {
            *budget = budget.checked_sub(self.upstreams.len())?;
            self.rank_upstreams(ranked.object, requesting_region);
        }
        let best = self.objects.get(&ranked.object)?;
        let slots_fraction = self.slots_fractions.get(requesting_region).copied();
        let (first, second) = if stays_in_region(ranked, slots_fraction.unwrap_or(0.0)) {
            (best.local, best.remote)
        } else {
            (best.remote, best.local)
        };
        first.or(second).map(|(_, hash)| hash)
    }

    fn rank_upstreams(&mut self, object: ObjectId, requesting_region: &RegionName) {
        let mut best = BestUpstreams::new(requesting_region.clone());
        for (hash, upstream) in &self.upstreams {
            best.record(object, *hash, upstream);
        }
        self.objects.insert(object, best);
    }
}

fn slots_fractions(
    upstreams: &BTreeMap<UpstreamHash, RankedUpstream>,
) -> BTreeMap<RegionName, f64> {
    let total: f64 = upstreams.values().map(|upstream| f64::from(upstream.slots)).sum();
    let mut fractions: BTreeMap<RegionName, f64> = BTreeMap::new();
    for upstream in upstreams.values() {
        *fractions.entry(upstream.region.clone()).or_default() +=
            f64::from(upstream.slots) / total.max(1.0);
    }
    fractions
}
