//! What upstreams say of themselves with their responses.

use std::time::Duration;

/// Represents what an upstream says with a response about the requests that it takes from
/// now on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamNotice {
    /// Whether it leaves: it takes no new work, and only finishes running requests.
    pub is_leaving: bool,
    /// How long it wants no requests from the instance that it responds to.
    pub pause: Option<Duration>,
    /// How many requests a second it takes from all instances together.
    pub limit_per_s: Option<f64>,
    /// The values that could not be decoded as they stand.
    pub findings: Vec<String>,
}

impl UpstreamNotice {
    /// Returns whether the response says nothing of the kind.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
