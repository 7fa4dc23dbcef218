//! The replicated control state: presets, shares, ownership of upstreams,
//! claims, operators' changes and their audit trail.
//!
//! [`ControlState`] applies committed commands. [`Policy`] is the part of it
//! that is distributed to every instance. [`Sessions`] and [`plan()`] are used
//! by the leader only: they derive further commands from the instances'
//! reports.

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
    command::{Assignment, AssignmentAction, Command, InitialPolicy, Outcome},
    plan::{PlanInputs, plan},
    policy::{InstanceState, Ownership, Policy, PolicyDelta, PolicyEdit, Suspect},
    preset::{Preset, SHARES_TOTAL_PERMILLE, Shares, ShiftRule},
    sessions::{LoadReport, Session, Sessions, SessionsConfig, SlotLoad},
    state::{ControlLimits, ControlState},
    topology::{Link, Region, RequestClass, Service, Topology, Upstream, Zone},
};

/// The name of an instance, as in the settings.
pub type InstanceName = String;
/// The name of a region.
pub type RegionName = String;
/// The name of an availability zone.
pub type ZoneName = String;
/// The name of a service.
pub type ServiceName = String;
/// The name of an upstream.
pub type UpstreamName = String;
/// The name of a preset.
pub type PresetName = String;
/// Identifies one change of an operator; the requester chooses it.
pub type ChangeId = String;
/// The number of operators' changes accepted so far, counting the initial policy
/// as the first.
pub type Revision = u64;
/// The number of changes of the [`Policy`] so far, whether by operators or not.
pub type Version = u64;
/// The number of times that an upstream's ownership was assigned or released.
pub type OwnerEpoch = u64;
/// The number of evacuation orders accepted for one availability zone.
pub type EvacuationOrders = u64;
/// Distinguishes the processes of one instance from each other.
pub type Incarnation = u64;
/// A hash that identifies a request.
pub type Fingerprint = String;

/// Identifies one process of an instance. Leases are granted to processes, and
/// processes own upstreams.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct Holder {
    /// The instance's name.
    pub instance: InstanceName,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
}

impl Holder {
    /// Creates the identity of the given process of `instance`.
    pub fn new(instance: impl Into<InstanceName>, incarnation: Incarnation) -> Self {
        Self { instance: instance.into(), incarnation }
    }
}
