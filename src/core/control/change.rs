//! Describes operators' changes and what became of them.

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use super::{ChangeId, InstanceName, Preset, PresetName, RegionName, Revision, UpstreamName};

/// Asks for a change on behalf of an operator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRequest {
    /// What is to change.
    pub change: Change,
    /// Who asks, when, from where and on what footing.
    pub meta: ChangeMeta,
}

/// Says what an operator changes.
// An inner tag would make the decoder expect addresses as text, which the
// encoder writes as bytes.
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
    /// Lets an upstream finish what it runs and gives it no new work.
    DrainUpstream {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// Gives a drained upstream work again.
    RestoreUpstream {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// Takes an instance out of look-ups and lets it hand over its upstreams.
    LeaveInstance {
        /// The instance.
        instance: InstanceName,
    },
    /// Takes an instance that was told to leave back in.
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

/// Says who asks for a change, when, from where and on what footing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeMeta {
    /// The id under which a resend gets the first answer.
    pub change_id: ChangeId,
    /// The revision that the operator saw. The change is accepted only on it.
    pub expected_revision: Revision,
    /// Who asks.
    pub actor: String,
    /// The address that the request came from.
    pub origin: String,
    /// When the request arrived, in milliseconds since 1970.
    pub at_unix_ms: u64,
}

/// Says what became of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change is committed.
    Accepted {
        /// The revision now.
        revision: Revision,
        /// The version of the policy.
        version: u64,
    },
    /// Another change was accepted on the expected revision.
    Conflict {
        /// The revision now.
        revision: Revision,
        /// The id of the change that was made.
        winner: ChangeId,
        /// Who made it.
        winner_actor: String,
    },
    /// The change can't be made.
    Rejected {
        /// The revision now.
        revision: Revision,
        /// What is wrong, each with its remedy.
        findings: Vec<String>,
    },
}

impl Change {
    /// Returns the change's kind, as the audit trail shows it.
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

    /// Returns what the change is about.
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
