//! Ranks upstreams for an object by weighted rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::ObjectId;

/// Identifies an upstream in rankings by a hash of its id.
pub type UpstreamHash = u64;

/// Represents an upstream that may serve an object.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The hash of the upstream's id.
    pub hash: UpstreamHash,
    /// The maximum number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is in the region from which the object is requested.
    pub in_requesting_region: bool,
}

/// Represents an object for which upstreams are ranked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankedObject {
    /// The object.
    pub object: ObjectId,
    /// Whether its requests have large bodies.
    pub has_large_body: bool,
    /// The number of regions.
    pub region_count: usize,
}

/// The factor by which the demand of a region is assumed to exceed its even
/// share of slots, because the actual demand is not an input of the ranking.
const EVEN_SHARE_MARGIN: f64 = 1.8;

/// Returns the id of the object with the given affinity key on a route.
pub fn object_id(route: &str, key: &str) -> ObjectId {
    let hash = xxh3_64_with_seed(route.as_bytes(), 0);
    xxh3_64_with_seed(key.as_bytes(), hash)
}

/// Returns the hash that identifies an upstream in rankings.
pub fn upstream_hash(id: &str) -> UpstreamHash {
    xxh3_64_with_seed(id.as_bytes(), 0)
}

/// Returns the upstream on which an object is placed by default, or `None` if there
/// are no candidates.
///
/// Objects stay in the region from which they are requested as far as its
/// share of the slots allows, assuming equal demand in all regions. Objects
/// with large bodies stay in the region whenever it has an upstream.
pub fn default_candidate(
    ranked: RankedObject,
    candidates: impl Iterator<Item = Candidate> + Clone,
) -> Option<Candidate> {
    let (mut local_slots, mut slots) = (0.0, 0.0);
    for candidate in candidates.clone() {
        slots += f64::from(candidate.slots);
        if candidate.in_requesting_region {
            local_slots += f64::from(candidate.slots);
        }
    }
    let stays_in_region = stays_in_region(ranked, local_slots / f64::max(slots, 1.0));
    // The best rank is that of the preferred side, if it has an upstream.
    let mut best: Option<(bool, f64, Candidate)> = None;
    for candidate in candidates {
        let is_preferred = candidate.in_requesting_region == stays_in_region;
        if best.is_some_and(|(best_is_preferred, ..)| best_is_preferred && !is_preferred) {
            continue;
        }
        let rank = rank(ranked.object, candidate.hash, candidate.slots);
        let is_better = best.is_none_or(|(best_is_preferred, best_rank, _)| {
            (is_preferred, rank) > (best_is_preferred, best_rank)
        });
        if is_better {
            best = Some((is_preferred, rank, candidate));
        }
    }
    best.map(|(.., candidate)| candidate)
}

/// Returns whether an object is placed by default in the region from which it is
/// requested, which has the given fraction of all slots.
pub(super) fn stays_in_region(ranked: RankedObject, slots_fraction: f64) -> bool {
    let staying_fraction = slots_fraction * ranked.region_count as f64 / EVEN_SHARE_MARGIN;
    ranked.has_large_body
        || unit_interval(xxh3_64_with_seed(b"region", ranked.object)) < staying_fraction
}

/// Returns the rank of an upstream for an object; the highest is the best.
///
/// An upstream ranks first for a fraction of all objects that is proportional to
/// its slots.
pub(super) fn rank(object: ObjectId, upstream: UpstreamHash, slots: u32) -> f64 {
    let hash = xxh3_64_with_seed(&upstream.to_le_bytes(), object);
    -f64::from(slots) / unit_interval(hash).ln()
}

/// Maps a hash to the open interval from 0 to 1.
fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
