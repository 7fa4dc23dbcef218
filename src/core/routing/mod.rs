//! Represents the configuration of routes, services and limits, and matches
//! requests to routes.

mod delta;
mod route;
mod table;
mod version;

pub use self::{
    delta::RoutingDelta,
    route::{Destination, Execution, Route, WeightedService},
    table::{CallerLimits, RouteIndex, RoutingTable, ServiceSpec},
};

/// Represents the name of a route.
pub type RouteName = String;
/// Represents the version of a configuration that operators deliver. The
/// highest version is in force.
pub type ConfigVersion = u64;
