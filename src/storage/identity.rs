//! The stored identity of a control replica.

use serde::{Deserialize, Serialize};

use crate::core::replication::ReplicaId;

/// Identifies a control replica.
///
/// Each new data folder gets a new id, so a replica that lost its disk can't
/// be mistaken for the one that voted under the old id.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// The id of the replica in the replicated log.
    pub replica: ReplicaId,
    /// Whether the replica has created its log. If the log is missing
    /// afterwards, the replica may have voted, so it must not start again under the
    /// same id.
    #[serde(rename = "founded")]
    pub log_created: bool,
}

impl Identity {
    /// Creates the identity of a replica that has no log yet.
    pub fn new(replica: ReplicaId) -> Self {
        Self { replica, log_created: false }
    }
}
