//! Ranks upstreams for an object by weighted rendezvous hashing.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::ObjectId;

/// Represents an upstream that may serve an object.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// The upstream's id.
    pub id: &'a str,
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

/// Sorts upstreams by their rank for an object, best first.
///
/// Objects stay in the region from which they are requested as far as its
/// share of the slots allows, assuming equal demand in all regions. Objects
/// with large bodies stay in the region whenever it has an upstream.
pub fn default_order(ranked: RankedObject, candidates: &mut [Candidate<'_>]) {
    let slots = |only_requesting_region: bool| -> f64 {
        let counted = candidates
            .iter()
            .filter(|candidate| candidate.in_requesting_region || !only_requesting_region);
        counted.map(|candidate| f64::from(candidate.slots)).sum()
    };
    let share = slots(true) / slots(false).max(1.0);
    let object = ranked.object;
    let staying_fraction = share * ranked.region_count as f64 / EVEN_SHARE_MARGIN;
    let stays_in_region = ranked.has_large_body
        || unit_interval(xxh3_64_with_seed(b"region", object)) < staying_fraction;
    let rank = |candidate: &Candidate<'_>| -> (bool, f64) {
        let hash = xxh3_64_with_seed(candidate.id.as_bytes(), object);
        // An upstream ranks first for a fraction of all objects that is
        // proportional to its slots.
        let rank = -f64::from(candidate.slots) / unit_interval(hash).ln();
        (candidate.in_requesting_region == stays_in_region, rank)
    };
    candidates.sort_by(|left, right| {
        let ((left_preferred, left_rank), (right_preferred, right_rank)) =
            (rank(left), rank(right));
        match right_preferred.cmp(&left_preferred) {
            Ordering::Equal => right_rank.total_cmp(&left_rank),
            unequal => unequal,
        }
    });
}

/// Maps a hash to the open interval from 0 to 1.
fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
