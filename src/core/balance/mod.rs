//! Chooses the upstream of each request.
//!
//! Requests that concern the same object go to the same few upstreams, which
//! all entry instances choose alike without talking to each other.

mod balancer;
mod cold;
mod health;
mod load;

pub use self::{
    balancer::{Balancer, Choice, Locality, Requirements},
    cold::ColdLimit,
    health::CheckResult,
};
