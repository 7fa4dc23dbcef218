//! Operators' changes and their outcomes.

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use super::{ChangeId, InstanceName, Preset, PresetName, RegionName, Revision, UpstreamName};

/// Represents an operator's request for a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRequest {
    /// The change to make.
    pub change: Change,
    /// Who requests it, when, from where and based on which revision.
    pub meta: ChangeMeta,
}

/// Represents a change that an operator can make.
// Not internally tagged: the decoder would then expect addresses as text,
// whereas the encoder writes them as bytes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds or replaces a preset.
    PutPreset {
        /// The name.
        name: PresetName,
        /// The preset.
        preset: Preset,
    },
    /// Puts a preset in force.
    UsePreset {
        /// The name.
        name: PresetName,
    },
    /// Drains an upstream: it finishes its running requests and gets no new ones.
    DrainUpstream {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// Ends the drain of an upstream.
    RestoreUpstream {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// Removes an instance from look-ups and makes it hand over its upstreams.
    LeaveInstance {
        /// The instance.
        instance: InstanceName,
    },
    /// Reverts [`LeaveInstance`](Self::LeaveInstance).
    JoinInstance {
        /// The instance.
        instance: InstanceName,
    },
    /// Sets the home region of client blocks.
    PutBlocks {
        /// The blocks with their home regions.
        blocks: Vec<(IpNet, RegionName)>,
    },
}

/// Describes who requests a change, when, from where and based on which
/// revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeMeta {
    /// The id of the change. A request that is sent again under the same id gets
    /// the outcome of the first one.
    pub change_id: ChangeId,
    /// The revision that the change is based on. The change is accepted only if this is
    /// still the current revision.
    pub expected_revision: Revision,
    /// The operator's name.
    pub actor: String,
    /// The address that the request came from.
    pub origin: String,
    /// When the request arrived, in milliseconds since 1970.
    pub at_unix_ms: u64,
}

/// Represents the outcome of a requested change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change was made.
    Accepted {
        /// The current revision.
        revision: Revision,
        /// The version of the policy.
        version: u64,
    },
    /// Another change based on the expected revision was already accepted.
    Conflict {
        /// The current revision.
        revision: Revision,
        /// The id of that other change.
        winner: ChangeId,
        /// The operator who made it.
        winner_actor: String,
    },
    /// The change is invalid.
    Rejected {
        /// The current revision.
        revision: Revision,
        /// The reasons why the change is invalid, and how to correct each.
        findings: Vec<String>,
    },
}

impl Change {
    /// Returns the kind of change, as shown in the audit trail.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::PutPreset { .. } => "put_preset",
            Self::UsePreset { .. } => "use_preset",
            Self::DrainUpstream { .. } => "drain_upstream",
            Self::RestoreUpstream { .. } => "restore_upstream",
            Self::LeaveInstance { .. } => "leave_instance",
            Self::JoinInstance { .. } => "join_instance",
            Self::PutBlocks { .. } => "put_blocks",
        }
    }

    /// Returns the preset, upstream or instance that the change is about, or the
    /// number of blocks.
    pub fn subject(&self) -> String {
        match self {
            Self::PutPreset { name, .. } | Self::UsePreset { name } => name.clone(),
            Self::DrainUpstream { upstream } | Self::RestoreUpstream { upstream } => {
                upstream.clone()
            }
            Self::LeaveInstance { instance } | Self::JoinInstance { instance } => instance.clone(),
            Self::PutBlocks { blocks } => format!("{} blocks", blocks.len()),
        }
    }
}
