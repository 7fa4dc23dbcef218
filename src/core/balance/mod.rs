//! Chooses an upstream for each request.
//!
//! Requests for the same object go to the same few upstreams. All entry
//! instances make the same choice without communicating.

mod balancer;
mod choice;
mod cold;
mod health;
mod links;
mod load;
mod notices;
mod pause;
mod rate_limit;
mod upstream_state;

pub use self::{
    balancer::Balancer,
    choice::{Choice, Locality, PassedOver, Requirements},
    cold::ColdLimit,
    health::CheckResult,
    links::{AwaitedRequest, ReachFailure, UpstreamLinks},
    notices::{NoticeChange, NoticeKind, Obstacle},
};
