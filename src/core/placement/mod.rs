//! Places the objects that requests concern on upstreams.
//!
//! An upstream that lately handled an object is faster with it, so all
//! requests for an object go to one upstream. By default that follows from
//! hashing alone ([`default_order`]). The leading control replica hears from
//! entry instances how much each object is asked for and places those
//! elsewhere that would overload an upstream ([`Planner`]); these exceptions
//! are part of the policy that entry instances follow.

mod affinity;
mod demand;
mod planner;

pub use self::{
    affinity::{Candidate, RankedObject, default_order, object_id},
    demand::{AnsweredRequest, DemandMeter, DemandReport, ObjectDemand},
    planner::{Planner, PlannerInputs},
};

use std::{collections::BTreeMap, sync::Arc};

use super::upstreams::UpstreamId;

/// Identifies an object of a route.
pub type ObjectId = u64;

/// Says on which upstreams objects are placed, where that is not the default.
/// Copies share it until one of them changes.
pub type Placement = Arc<BTreeMap<ObjectId, UpstreamId>>;

/// Says where objects are to be placed; `None` is the default.
pub type PlacementChange = Vec<(ObjectId, Option<UpstreamId>)>;
