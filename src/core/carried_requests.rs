//! Remembers the requests that a connection has carried.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

/// Represents the requests that a connection has carried, by the hashes of their ids.
///
/// A response bears the id of its request, and may come late or more than once. It answers the
/// request under way for certain only if the connection has carried the id no more than once.
#[derive(Clone, Debug, Default)]
pub struct CarriedRequests {
    id_hashes: BTreeSet<u64>,
}

/// The maximum number of requests that a connection carries.
const REQUESTS_MAX: usize = 1024;

impl CarriedRequests {
    /// Returns the record of a connection that has carried no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the connection carries a request with this id.
    pub fn record(&mut self, id: &str) {
        self.id_hashes.insert(xxh3_64(id.as_bytes()));
    }

    /// Returns whether the connection may have carried a request with this id. It has not if this
    /// is false; two ids seldom have the same hash.
    pub fn may_contain(&self, id: &str) -> bool {
        self.id_hashes.contains(&xxh3_64(id.as_bytes()))
    }

    /// Returns the number of ids that the connection has carried.
    pub fn len(&self) -> usize {
        self.id_hashes.len()
    }

    /// Returns whether the connection may carry no further request, so that the record is bounded.
    pub fn is_full(&self) -> bool {
        self.id_hashes.len() >= REQUESTS_MAX
    }

    /// Returns whether the connection has carried no request with an id.
    pub fn is_empty(&self) -> bool {
        self.id_hashes.is_empty()
    }
}
