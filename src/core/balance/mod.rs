//! Chooses an upstream for each request.
//!
//! Requests for the same object go to the same few upstreams. All entry
//! instances make the same choice without communicating.

mod balancer;
mod cold;
mod health;
mod links;
mod load;

pub use self::{
    balancer::{Balancer, Choice, Locality, Requirements},
    cold::ColdLimit,
    health::CheckResult,
    links::UpstreamLinks,
};
