//! Ranks upstreams for an object by weighted rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rank of an upstream for an object; the highest goes first. An
/// upstream is first for a part of all objects in proportion to its weight.
pub(super) fn rank(upstream: &str, object: u64, weight: f64) -> f64 {
    let hash = xxh3_64_with_seed(upstream.as_bytes(), object);
    // The open interval keeps the logarithm finite and below 0.
    let point = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / point.ln()
}

/// Returns the number that stands for an object.
pub(super) fn object_of(route: &str, key: &str) -> u64 {
    let hash = xxh3_64_with_seed(route.as_bytes(), 0);
    xxh3_64_with_seed(key.as_bytes(), hash)
}
