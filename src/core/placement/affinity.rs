//! Ranks upstreams for an object by weighted rendezvous hashing.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::ObjectId;

/// Describes an upstream that may serve an object.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// The upstream's id.
    pub id: &'a str,
    /// The most requests that it runs at once.
    pub slots: u32,
    /// Whether it is in the region that the object is asked for in.
    pub is_home: bool,
}

/// Describes the object that upstreams are ranked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankedObject {
    /// The object.
    pub object: ObjectId,
    /// Whether its requests have large bodies.
    pub has_large_body: bool,
    /// How many regions there are.
    pub regions: usize,
}

/// A region is taken to need this much more than its even share of slots,
/// before anything is known of demand.
const EVEN_SHARE_MARGIN: f64 = 1.8;

/// Returns the number that stands for an object.
pub fn object_id(route: &str, key: &str) -> ObjectId {
    let hash = xxh3_64_with_seed(route.as_bytes(), 0);
    xxh3_64_with_seed(key.as_bytes(), hash)
}

/// Sorts upstreams by their rank for an object, the first one first.
///
/// Objects stay in the region that they are asked for in as far as its share
/// of the slots goes, given that all regions ask for as much; objects with
/// large bodies stay wherever there is an upstream.
pub fn default_order(wanted: RankedObject, candidates: &mut [Candidate<'_>]) {
    let slots = |only_home: bool| -> f64 {
        let counted = candidates.iter().filter(|candidate| candidate.is_home || !only_home);
        counted.map(|candidate| f64::from(candidate.slots)).sum()
    };
    let share = slots(true) / slots(false).max(1.0);
    let object = wanted.object;
    let home_fraction = share * wanted.regions as f64 / EVEN_SHARE_MARGIN;
    let stays_home = wanted.has_large_body
        || unit_interval(xxh3_64_with_seed(b"region", object)) < home_fraction;
    let rank = |candidate: &Candidate<'_>| -> (bool, f64) {
        let hash = xxh3_64_with_seed(candidate.id.as_bytes(), object);
        // An upstream is first for a part of all objects in proportion to
        // its slots.
        let rank = -f64::from(candidate.slots) / unit_interval(hash).ln();
        (candidate.is_home == stays_home, rank)
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

/// Turns a hash into a number between 0 and 1, both excluded.
fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
