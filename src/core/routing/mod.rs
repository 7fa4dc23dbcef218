//! Decides which service a caller's request belongs to, and under which
//! terms.

mod delta;
mod route;
mod table;

pub use self::{
    delta::RoutingDelta,
    route::{Destination, Execution, Route, WeightedService},
    table::{CallerLimits, RouteIndex, RoutingTable, ServiceSpec},
};

/// Names a route.
pub type RouteName = String;
/// Numbers the configurations that operators deliver; the highest one is in
/// force.
pub type ConfigVersion = u64;
