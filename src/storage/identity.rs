//! Keeps who a replica is.

use serde::{Deserialize, Serialize};

use crate::core::replication::ReplicaId;

/// Says who a replica is. It is drawn anew with each data folder, so a
/// replica that lost its disk can't be taken for the one that voted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// The replica's id.
    pub replica: ReplicaId,
    /// Whether the replica has a log. One that had a log and lost it may have
    /// voted, so it does not start again under the same id.
    pub founded: bool,
}

impl Identity {
    /// Returns the identity of a replica that has no log yet.
    pub fn new(replica: ReplicaId) -> Self {
        Self { replica, founded: false }
    }
}
