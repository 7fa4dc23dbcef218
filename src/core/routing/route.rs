//! Defines routes and their destinations.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::control::{RegionName, ServiceName};

/// Represents a rule that sends the requests of a host and path prefix to a destination.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// The host to which callers address requests.
    pub host: String,
    /// The prefix of the path.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub execution: Execution,
    /// The maximum time that a caller waits for the response.
    pub timeout: Duration,
    /// The latency objective: responses within it have the highest value to callers.
    pub objective: Duration,
    /// The priority among routes of the same service; 0 is the highest.
    pub priority: u32,
    /// The service or services that requests are sent to.
    pub destination: Destination,
    /// The maximum number of upstreams that one request may be sent to.
    pub attempts_max: u32,
    /// Whether an upstream that recently handled the same object is faster.
    pub sticky: bool,
    /// The only regions in which requests may be run and stored; empty means
    /// all regions.
    pub home_regions: Vec<RegionName>,
}

/// Represents whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Execution {
    /// The request is idempotent and may run again.
    Repeatable,
    /// The request may run at most once.
    Once,
    /// The request has a large body and may run at most once.
    OnceWithLargeBody,
}

impl Execution {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        self == Self::Repeatable
    }
}

/// Represents the service or services of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Destination {
    /// All requests go to one service.
    Service(ServiceName),
    /// Requests are split between services in proportion to their weights.
    Split(Vec<WeightedService>),
}

/// Represents a service and its weight in a split.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// The weight; a service of weight 0 gets no requests.
    pub weight: f64,
}

impl Destination {
    /// Returns an iterator over the services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (single, weighted): (Option<&ServiceName>, &[WeightedService]) = match self {
            Self::Service(service) => (Some(service), &[]),
            Self::Split(parts) => (None, parts),
        };
        single.into_iter().chain(weighted.iter().map(|item| &item.service))
    }

    /// Returns the service for a point in the half-open interval from 0 to 1.
    ///
    /// The services of a split divide the interval in proportion to their
    /// weights.
    pub fn pick(&self, point: f64) -> Option<&ServiceName> {
        let parts = match self {
            Self::Service(service) => return Some(service),
            Self::Split(parts) => parts,
        };
        // The sum of the weights themselves may overflow.
        let largest = parts.iter().map(|item| item.weight).fold(0.0, f64::max);
        let total: f64 = parts.iter().map(|item| item.weight / largest).sum();
        let mut remaining = point * total;
        let weighted = parts.iter().filter(|item| item.weight > 0.0);
        let mut last = None;
        for item in weighted {
            last = Some(&item.service);
            remaining -= item.weight / largest;
            if remaining < 0.0 {
                break;
            }
        }
        last.or_else(|| parts.first().map(|item| &item.service))
    }
}
