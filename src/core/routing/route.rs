//! Describes one route.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::control::{RegionName, ServiceName};

/// Describes which requests go to which service, and under which terms.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// The host that callers name.
    pub host: String,
    /// What the path begins with.
    pub path_prefix: String,
    /// How often a request may run.
    pub execution: Execution,
    /// The longest that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is worth most to its caller.
    pub objective: Duration,
    /// The rank among routes of the same service; 0 goes first.
    pub priority: u32,
    /// Where requests go.
    pub destination: Destination,
    /// The most upstreams that one request may be sent to.
    pub attempts_max: u32,
    /// Whether an upstream that lately handled the same object is faster.
    pub sticky: bool,
    /// The regions outside which requests are neither run nor stored; none
    /// means that any region will do.
    pub home_regions: Vec<RegionName>,
}

/// Says how often a request may run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Execution {
    /// The request is idempotent and may run again.
    Repeatable,
    /// The request may run once at most.
    Once,
    /// The request has a large body and may run once at most.
    OnceWithLargeBody,
}

impl Execution {
    /// Tells whether a request may run again.
    pub fn is_repeatable(self) -> bool {
        self == Self::Repeatable
    }
}

/// Says where the requests of a route go.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Destination {
    /// All of them to one service.
    Service(ServiceName),
    /// To several services, in proportion to their weights.
    Split(Vec<WeightedService>),
}

/// Names a service with its weight in a split.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// The weight; 0 gets nothing.
    pub weight: f64,
}

impl Destination {
    /// Iterates over the services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (one, several): (Option<&ServiceName>, &[WeightedService]) = match self {
            Self::Service(service) => (Some(service), &[]),
            Self::Split(parts) => (None, parts),
        };
        one.into_iter().chain(several.iter().map(|item| &item.service))
    }

    /// Picks a service by a number from 0 up to, but not including, 1. The
    /// parts of a split lie side by side on that interval in proportion to
    /// their weights.
    pub fn pick(&self, point: f64) -> Option<&ServiceName> {
        let parts = match self {
            Self::Service(service) => return Some(service),
            Self::Split(parts) => parts,
        };
        let total: f64 = parts.iter().map(|item| item.weight).sum();
        let mut left = point * total;
        let weighted = parts.iter().filter(|item| item.weight > 0.0);
        let mut last = None;
        for item in weighted {
            last = Some(&item.service);
            left -= item.weight;
            if left < 0.0 {
                break;
            }
        }
        last.or_else(|| parts.first().map(|item| &item.service))
    }
}
