//! Holds what every instance follows.

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
    placement::{Placement, PlacementChange},
    routing::{RoutingDelta, RoutingTable},
    steering::Layout,
};

/// Holds what every instance follows.
///
/// It changes by [`PolicyEdit`] values only, so that a replica and an
/// instance that was sent the same edits hold the same policy.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Policy {
    /// Counts all changes.
    pub version: Version,
    /// Counts operators' accepted changes.
    pub revision: Revision,
    /// The presets, by name.
    pub presets: BTreeMap<PresetName, Preset>,
    /// The one preset in force.
    pub in_force: PresetName,
    /// Where callers go now; steps move it towards the preset in force.
    pub layouts: BTreeMap<RegionName, Layout>,
    /// Counts the steps of shifts.
    pub shift_step: u64,
    /// The home region of each client block. There may be hundreds of
    /// thousands, so copies of a policy share them until they change.
    pub blocks: Arc<BTreeMap<IpNet, RegionName>>,
    /// The upstreams that get no new work.
    pub drained: BTreeSet<UpstreamName>,
    /// The instances that were told to leave.
    pub leaving: BTreeSet<InstanceName>,
    /// The instances that hold or lately held a lease.
    pub instances: BTreeMap<InstanceName, InstanceState>,
    /// Who owns each upstream.
    pub owners: BTreeMap<UpstreamName, Ownership>,
    /// The requests that were running when an upstream crashed.
    pub suspects: BTreeMap<Fingerprint, Suspect>,
    /// The epoch in which new claims are made.
    pub claim_epoch: ClaimEpoch,
    /// The routes, services and limits in force.
    #[serde(default)]
    pub routing: Arc<RoutingTable>,
    /// The availability zones whose upstreams get no new work.
    #[serde(default)]
    pub evacuated: BTreeSet<ZoneName>,
    /// Where objects are placed, other than by default.
    #[serde(default)]
    pub placement: Placement,
}

/// Says whether an instance takes part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum InstanceState {
    /// It holds a lease.
    Live {
        /// The process.
        incarnation: Incarnation,
    },
    /// It is stopping: it serves what still arrives, and is in no look-up.
    Stopping {
        /// The process.
        incarnation: Incarnation,
    },
    /// Its lease has run out.
    Down,
}

/// Says who alone may send requests to an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ownership {
    /// The owner. Without one nobody sends.
    pub owner: Option<Holder>,
    /// Counts the upstream's owners.
    pub epoch: OwnerEpoch,
    /// Whether requests of an earlier owner may still run. The owner then
    /// waits for the longest deadline before it sends.
    pub unsettled: bool,
    /// Who gets the upstream once the owner has released it.
    pub handover: Option<Holder>,
}

/// Describes a request that was running when upstreams crashed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// The upstreams that crashed under it.
    pub crashed: BTreeSet<UpstreamName>,
    /// When it was last seen to crash one, in milliseconds since 1970.
    pub at_unix_ms: u64,
}

/// Changes a [`Policy`] in one place.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PolicyEdit {
    /// Sets the revision.
    Revision(Revision),
    /// Adds or replaces a preset.
    Preset(PresetName, Preset),
    /// Puts a preset in force.
    InForce(PresetName),
    /// Sets where one home region's callers go.
    Layout(RegionName, Layout),
    /// Counts a step of a shift.
    ShiftStep(u64),
    /// Sets the home regions of client blocks.
    Blocks(Vec<(IpNet, RegionName)>),
    /// Drains an upstream or ends its drain.
    Drained(UpstreamName, bool),
    /// Tells an instance to leave or takes it back in.
    Leaving(InstanceName, bool),
    /// Sets an instance's state.
    Instance(InstanceName, InstanceState),
    /// Sets an upstream's owner.
    Owner(UpstreamName, Ownership),
    /// Sets or clears a suspect.
    Suspect(Fingerprint, Option<Suspect>),
    /// Begins an epoch of claims.
    ClaimEpoch(ClaimEpoch),
    /// Changes routes, services and limits.
    Routing(RoutingDelta),
    /// Evacuates an availability zone or ends its evacuation.
    Evacuated(ZoneName, bool),
    /// Places objects.
    Placed(PlacementChange),
}

/// Holds the edits that lead to one version from the one before.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PolicyDelta {
    /// The version that the edits lead to.
    pub version: Version,
    /// The edits.
    pub edits: Vec<PolicyEdit>,
}

impl Policy {
    /// Applies a delta if it is the next one, and tells whether it was.
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
            PolicyEdit::Routing(delta) => Arc::make_mut(&mut self.routing).apply(&delta),
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

    /// Returns the preset in force.
    pub fn preset_in_force(&self) -> Option<&Preset> {
        self.presets.get(&self.in_force)
    }

    /// Tells whether look-ups may name an instance.
    pub fn is_offered(&self, instance: &str) -> bool {
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
