//! The commands of the replicated log and their outcomes.

use std::collections::BTreeMap;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use super::{
    ChangeOutcome, ChangeRequest, EvacuationOrders, Fingerprint, Holder, InstanceName,
    InstanceState, OwnerEpoch, Policy, Preset, PresetName, RegionName, UpstreamName, Version,
    ZoneName,
};
use crate::core::{
    claims::{ClaimCommand, ClaimOutcome},
    placement::PlacementDelta,
    routing::{ConfigVersion, RoutingTable},
    steering::Layout,
};

/// Represents a command to the replicated state machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Command {
    /// Sets the policy that a new deployment starts with; ignored if there is a
    /// policy already.
    Seed(InitialPolicy),
    /// Makes an operator's change.
    Change(ChangeRequest),
    /// Sets the states of instances.
    Instances(Vec<(InstanceName, InstanceState)>),
    /// Sets the owners of upstreams.
    Assign(Vec<Assignment>),
    /// Releases an upstream on which no request is running; ignored unless
    /// `epoch` is the current one.
    Release {
        /// The upstream.
        upstream: UpstreamName,
        /// The epoch of the ownership that is released.
        epoch: OwnerEpoch,
    },
    /// Applies one step of a shift; ignored unless `step` follows the last one,
    /// `in_force` is still in force and no row moves more callers than the preset
    /// allows in one step.
    Shift {
        /// The number of the step.
        step: u64,
        /// The preset that the step was planned under.
        in_force: PresetName,
        /// The new layouts of the home regions that change.
        rows: BTreeMap<RegionName, Layout>,
    },
    /// Records that an upstream crashed while a request ran on it.
    Suspect {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The upstream.
        upstream: UpstreamName,
        /// The time of the crash, in milliseconds since 1970.
        at_unix_ms: u64,
    },
    /// Removes suspects that have caused no crash since a time.
    ForgetSuspects {
        /// The time, in milliseconds since 1970.
        before_unix_ms: u64,
    },
    /// Changes the claims of request keys.
    Claim(ClaimCommand),
    /// Puts a routing table in force unless it has no version, or the current one has the same or
    /// a higher version.
    Routing(Box<RoutingTable>),
    /// Sets the upstreams that objects are placed on.
    Place(PlacementDelta),
    /// Evacuates an availability zone or ends its evacuation; ignored if that would revert an
    /// order that was accepted after `expected_orders` was read.
    Evacuate {
        /// The availability zone.
        zone: ZoneName,
        /// Whether the availability zone is evacuated, so that its upstreams get
        /// no new requests.
        evacuated: bool,
        /// The number of accepted orders for the zone that this one follows. `None` in logs of
        /// versions that did not count them: the order is accepted.
        #[serde(default)]
        expected_orders: Option<EvacuationOrders>,
    },
}

impl Command {
    /// Replaces the routes of a routing table that are in force too by those of `policy`, so that
    /// they are in memory once.
    pub fn share_routes(&mut self, policy: &Policy) {
        if let Self::Routing(table) = self {
            table.share_with(&policy.routing);
        }
    }
}

/// Represents the policy that a new deployment starts with.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InitialPolicy {
    /// The presets.
    pub presets: Vec<(PresetName, Preset)>,
    /// The name of the preset in force.
    pub in_force: PresetName,
    /// The home regions of client blocks.
    pub blocks: Vec<(IpNet, RegionName)>,
}

/// Sets an upstream's owner if its epoch is still the expected one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The upstream's epoch when the assignment was planned.
    pub expected_epoch: OwnerEpoch,
    /// The change of ownership.
    pub action: AssignmentAction,
}

/// Represents a change of an upstream's ownership.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AssignmentAction {
    /// Assigns the upstream to an owner. The lease of the previous owner, if any,
    /// must have expired.
    Give(Holder),
    /// Requests that the owner releases the upstream to the given process.
    HandOver(Holder),
}

/// Represents the outcome of a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The command was applied or ignored; there is nothing to report.
    Done,
    /// The outcome of an operator's change.
    Change(ChangeOutcome),
    /// The suspect is recorded.
    Suspected {
        /// The first policy version that includes the suspect.
        version: Version,
    },
    /// The outcome of a claim command.
    Claim(ClaimOutcome),
    /// The outcome of an order to evacuate a zone or to end its evacuation.
    Evacuation {
        /// Whether what was ordered is in force.
        accepted: bool,
        /// The number of orders accepted for the zone.
        orders: EvacuationOrders,
    },
    /// The proposed routing table or a newer one is in force.
    Routing {
        /// The version of the routing table in force.
        version: Option<ConfigVersion>,
    },
}
