//! Lists the commands of the replicated log.

use std::collections::BTreeMap;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use super::{
    ChangeOutcome, ChangeRequest, Fingerprint, Holder, InstanceName, InstanceState, OwnerEpoch,
    Preset, PresetName, RegionName, UpstreamName, Version, ZoneName,
};
use crate::core::{
    claims::{ClaimCommand, ClaimOutcome},
    placement::PlacementChange,
    routing::{ConfigVersion, RoutingTable},
    steering::Layout,
};

/// Says what the replicated state machine is to do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Command {
    /// Fills the state of a new deployment; ignored in one that has a state.
    Seed(Seed),
    /// Makes an operator's change.
    Change(ChangeRequest),
    /// Sets the states of instances.
    Instances(Vec<(InstanceName, InstanceState)>),
    /// Sets the owners of upstreams.
    Assign(Vec<Assignment>),
    /// Gives an upstream up, with nothing running on it.
    Release {
        /// The upstream.
        upstream: UpstreamName,
        /// The epoch.
        epoch: OwnerEpoch,
    },
    /// Moves shares one step; ignored unless `step` follows the last one.
    Shift {
        /// The number of the step.
        step: u64,
        /// The preset that the step was planned under.
        in_force: PresetName,
        /// The home regions that change.
        rows: BTreeMap<RegionName, Layout>,
    },
    /// Records that an upstream crashed while a request ran on it.
    Suspect {
        /// What the request asks for.
        fingerprint: Fingerprint,
        /// The upstream.
        upstream: UpstreamName,
        /// The time, in milliseconds since 1970.
        at_unix_ms: u64,
    },
    /// Forgets suspects last seen before a time.
    ForgetSuspects {
        /// The time, in milliseconds since 1970.
        before_unix_ms: u64,
    },
    /// Claims a request's key, or says what became of it.
    Claim(ClaimCommand),
    /// Puts a routing table in force unless one of the same or a higher
    /// version is.
    Routing(Box<RoutingTable>),
    /// Places objects on upstreams.
    Place(PlacementChange),
    /// Evacuates an availability zone or ends its evacuation.
    Evacuate {
        /// The availability zone.
        zone: ZoneName,
        /// Whether its upstreams get no new work from now on.
        evacuated: bool,
    },
}

/// Holds the first state of a deployment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Seed {
    /// The first presets.
    pub presets: Vec<(PresetName, Preset)>,
    /// The preset in force at first.
    pub in_force: PresetName,
    /// The home regions of client blocks.
    pub blocks: Vec<(IpNet, RegionName)>,
}

/// Sets an upstream's owner if its epoch is still the expected one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The epoch that the planner saw.
    pub expected_epoch: OwnerEpoch,
    /// What is to be done.
    pub action: AssignmentAction,
}

/// Says how an upstream's ownership changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AssignmentAction {
    /// Gives it to an owner after the former one's lease has run out, if
    /// there was one.
    Give(Holder),
    /// Asks the owner to release it to another.
    HandOver(Holder),
}

/// Says what a command led to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Nothing that the proposer needs to know.
    Done,
    /// What became of an operator's change.
    Change(ChangeOutcome),
    /// A suspect is recorded in the policy of this version.
    Suspected {
        /// The version.
        version: Version,
    },
    /// What became of a claim.
    Claim(ClaimOutcome),
    /// The routing table of this version is in force.
    Routing {
        /// The version.
        version: ConfigVersion,
    },
}
