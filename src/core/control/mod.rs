//! Holds the replicated control state: presets, shares, ownership of
//! upstreams, claims, operators' changes and their audit trail.
//!
//! [`ControlState`] applies committed commands. [`Policy`] is the part of it
//! that every instance follows. [`Sessions`] and [`plan`] are the leader's:
//! they turn what the leader hears into further commands.

mod audit;
mod change;
mod command;
mod plan;
mod policy;
mod preset;
mod sessions;
mod state;
mod topology;

pub use self::{
    audit::{AuditFilter, AuditRecord},
    change::{Change, ChangeMeta, ChangeOutcome, ChangeRequest},
    command::{Assignment, AssignmentAction, Command, Outcome, Seed},
    plan::{PlanInputs, plan},
    policy::{InstanceState, Ownership, Policy, PolicyDelta, PolicyEdit, Suspect},
    preset::{Preset, SHARES_TOTAL_PERMILLE, Shares, ShiftRule},
    sessions::{LoadReport, Session, Sessions, SessionsConfig, SlotLoad},
    state::{ControlLimits, ControlState},
    topology::{Link, Region, RequestClass, Service, Topology, Upstream, Zone},
};

/// Names an instance, as the settings do.
pub type InstanceName = String;
/// Names a region.
pub type RegionName = String;
/// Names an availability zone.
pub type ZoneName = String;
/// Names a service.
pub type ServiceName = String;
/// Names an upstream.
pub type UpstreamName = String;
/// Names a preset.
pub type PresetName = String;
/// Identifies one change of an operator, chosen by whoever makes it.
pub type ChangeId = String;
/// Counts operators' accepted changes.
pub type Revision = u64;
/// Counts all changes of the [`Policy`], operators' or not.
pub type Version = u64;
/// Counts how often an upstream changed its owner.
pub type OwnerEpoch = u64;
/// Tells two processes of one instance apart.
pub type Incarnation = u64;
/// Identifies a request by what it asks for.
pub type Fingerprint = String;

/// Identifies one process of one instance.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct Holder {
    /// The instance's name.
    pub instance: InstanceName,
    /// The process.
    pub incarnation: Incarnation,
}

impl Holder {
    /// Returns the identity of a process.
    pub fn new(instance: impl Into<InstanceName>, incarnation: Incarnation) -> Self {
        Self { instance: instance.into(), incarnation }
    }
}
