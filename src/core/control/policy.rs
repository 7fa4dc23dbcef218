//! The policy that is distributed to every instance.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use super::{
    Fingerprint, Holder, Incarnation, InstanceName, OwnerEpoch, Preset, PresetName, RegionName,
    Revision, UpstreamName, Version, ZoneName,
};
use crate::core::{
    claims::ClaimEpoch,
    placement::{Placement, PlacementDelta},
    routing::{RoutingDelta, RoutingTable},
    steering::Layout,
};

/// Represents one version of the policy.
///
/// It is changed only by [`PolicyEdit`] values, so that a replica and an
/// instance that received the same edits hold the same policy.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Policy {
    /// The number of changes so far, whether by operators or not.
    pub version: Version,
    /// The number of operators' changes accepted so far, counting the initial policy
    /// as the first.
    pub revision: Revision,
    /// The presets, by name.
    pub presets: BTreeMap<PresetName, Preset>,
    /// The name of the preset in force.
    pub in_force: PresetName,
    /// The current layout of each home region. Steps of a shift move it towards
    /// the shares of the preset in force.
    pub layouts: BTreeMap<RegionName, Layout>,
    /// The number of the last step of a shift.
    pub shift_step: u64,
    /// The home region of each client block. There may be hundreds of thousands
    /// of blocks, so copies of a policy share the map until it changes.
    pub blocks: Arc<BTreeMap<IpNet, RegionName>>,
    /// The upstreams that are being drained and get no new requests.
    pub drained: BTreeSet<UpstreamName>,
    /// The instances that are leaving because an operator requested it.
    pub leaving: BTreeSet<InstanceName>,
    /// The states of the instances that hold or recently held a lease.
    pub instances: BTreeMap<InstanceName, InstanceState>,
    /// The ownership of each upstream.
    pub owners: BTreeMap<UpstreamName, Ownership>,
    /// The requests that were running when an upstream crashed and may have
    /// caused the crash.
    pub suspects: BTreeMap<Fingerprint, Suspect>,
    /// The epoch in which new keys are issued.
    pub claim_epoch: ClaimEpoch,
    /// The routes, services and limits in force.
    #[serde(default)]
    pub routing: Arc<RoutingTable>,
    /// The evacuated availability zones, whose upstreams get no new requests.
    #[serde(default)]
    pub evacuated: BTreeSet<ZoneName>,
    /// The upstreams of objects that are not placed by default.
    #[serde(default)]
    pub placement: Placement,
}

/// Represents the state of an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance holds a lease.
    Live {
        /// The incarnation of its process.
        incarnation: Incarnation,
    },
    /// The instance is stopping. It still serves requests that arrive, but
    /// look-ups no longer name it.
    Stopping {
        /// The incarnation of its process.
        incarnation: Incarnation,
    },
    /// The lease of the instance has expired.
    Down,
}

/// Represents the ownership of an upstream. Only the owner may send requests to
/// the upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ownership {
    /// The owner. Without an owner the upstream gets no requests.
    pub owner: Option<Holder>,
    /// The epoch of the ownership, which each change of the owner increments.
    pub epoch: OwnerEpoch,
    /// Whether requests of a previous owner may still be running. The owner then
    /// waits for the longest request timeout before it sends requests.
    pub unsettled: bool,
    /// The process that becomes the owner once the current one has released the
    /// upstream.
    pub handover: Option<Holder>,
}

/// Describes a request that was running when upstreams crashed and may have
/// caused the crashes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// The upstreams that crashed while running the request.
    pub crashed: BTreeSet<UpstreamName>,
    /// When an upstream last crashed while running the request, in milliseconds since 1970.
    pub at_unix_ms: u64,
}

/// Represents a change of one part of a [`Policy`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PolicyEdit {
    /// Sets the revision.
    Revision(Revision),
    /// Adds or replaces a preset.
    Preset(PresetName, Preset),
    /// Puts a preset in force.
    InForce(PresetName),
    /// Sets the layout of one home region.
    Layout(RegionName, Layout),
    /// Sets the number of the last step of a shift.
    ShiftStep(u64),
    /// Sets the home regions of client blocks.
    Blocks(Vec<(IpNet, RegionName)>),
    /// Drains an upstream or ends its drain.
    Drained(UpstreamName, bool),
    /// Sets whether an instance is to leave.
    Leaving(InstanceName, bool),
    /// Sets an instance's state.
    Instance(InstanceName, InstanceState),
    /// Sets an upstream's owner.
    Owner(UpstreamName, Ownership),
    /// Sets or removes a suspect.
    Suspect(Fingerprint, Option<Suspect>),
    /// Begins an epoch of claims.
    ClaimEpoch(ClaimEpoch),
    /// Changes routes, services and limits.
    Routing(RoutingDelta),
    /// Evacuates an availability zone or ends its evacuation.
    Evacuated(ZoneName, bool),
    /// Sets the upstreams that objects are placed on.
    Placed(PlacementDelta),
}

/// Holds the edits that turn one version of the policy into the next.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PolicyDelta {
    /// The version that the edits produce.
    pub version: Version,
    /// The edits.
    pub edits: Vec<PolicyEdit>,
}

impl Policy {
    /// Applies a delta if it produces the next version, and returns whether it was
    /// applied.
    pub fn apply_delta(&mut self, delta: &PolicyDelta) -> bool {
        if delta.version != self.version + 1 {
            return false;
        }
        for edit in &delta.edits {
            self.apply_edit(edit.clone());
        }
        self.version = delta.version;
        true
    }

    fn apply_edit(&mut self, edit: PolicyEdit) {
        match edit {
            PolicyEdit::Revision(revision) => self.revision = revision,
            PolicyEdit::Preset(name, preset) => {
                self.presets.insert(name, preset);
            }
            PolicyEdit::InForce(name) => self.in_force = name,
            PolicyEdit::Layout(home, layout) => {
                self.layouts.insert(home, layout);
            }
            PolicyEdit::ShiftStep(step) => self.shift_step = step,
            PolicyEdit::Blocks(blocks) => Arc::make_mut(&mut self.blocks).extend(blocks),
            PolicyEdit::Drained(upstream, drained) => {
                set_membership(&mut self.drained, upstream, drained);
            }
            PolicyEdit::Leaving(instance, leaving) => {
                set_membership(&mut self.leaving, instance, leaving);
            }
            PolicyEdit::Instance(name, state) => {
                self.instances.insert(name, state);
            }
            PolicyEdit::Owner(upstream, ownership) => {
                self.owners.insert(upstream, ownership);
            }
            PolicyEdit::Suspect(fingerprint, Some(suspect)) => {
                self.suspects.insert(fingerprint, suspect);
            }
            PolicyEdit::Suspect(fingerprint, None) => {
                self.suspects.remove(&fingerprint);
            }
            PolicyEdit::ClaimEpoch(epoch) => self.claim_epoch = epoch,
            PolicyEdit::Routing(delta) => Arc::make_mut(&mut self.routing).apply_delta(&delta),
            PolicyEdit::Placed(change) => {
                let placement = Arc::make_mut(&mut self.placement);
                for (object, upstream) in change {
                    match upstream {
                        Some(upstream) => placement.insert(object, upstream),
                        None => placement.remove(&object),
                    };
                }
            }
            PolicyEdit::Evacuated(zone, evacuated) => {
                set_membership(&mut self.evacuated, zone, evacuated);
            }
        }
    }

    /// Returns the preset in force, if it exists.
    pub fn preset_in_force(&self) -> Option<&Preset> {
        self.presets.get(&self.in_force)
    }

    /// Returns whether look-ups may name an instance: it is live and not leaving.
    pub fn is_available(&self, instance: &str) -> bool {
        let is_live = matches!(self.instances.get(instance), Some(InstanceState::Live { .. }));
        is_live && !self.leaving.contains(instance)
    }
}

fn set_membership(set: &mut BTreeSet<String>, name: String, is_member: bool) {
    if is_member {
        set.insert(name);
    } else {
        set.remove(&name);
    }
}
