//! Places the objects of requests on upstreams.
//!
//! An upstream that recently handled an object serves it faster, so all
//! requests for an object go to one upstream. By default the upstream is
//! determined by hashing alone ([`default_candidate`]). Entry instances report the
//! demand for each object to the leading control replica, which moves objects
//! that would overload an upstream ([`Planner`]). These exceptions are part of
//! the policy that entry instances apply.

mod affinity;
mod defaults;
mod demand;
mod planner;
mod round;
mod totals;

pub use self::{
    affinity::{
        Candidate, RankedObject, UpstreamHash, default_candidate, object_id, upstream_hash,
    },
    demand::{CompletedRequest, DemandMeter, DemandReport, ObjectDemand},
    planner::{Planner, PlannerInputs},
};

use std::{collections::BTreeMap, sync::Arc};

use super::upstreams::UpstreamId;

/// Identifies an object of a route by a hash of the route and the affinity key.
pub type ObjectId = u64;

/// Represents the upstreams of objects that are not placed by default.
///
/// Clones share the map until one of them is modified.
pub type Placement = Arc<BTreeMap<ObjectId, UpstreamId>>;

/// Represents the changes from one placement to another; `None` restores the
/// default upstream of an object.
pub type PlacementDelta = Vec<(ObjectId, Option<UpstreamId>)>;
