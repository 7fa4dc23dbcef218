//! Represents upstreams as the platform lists them and the load that they report.

mod list;
mod listed;

pub use self::{
    list::UpstreamList,
    listed::{ListedState, ListedUpstream, ListedUpstreams, ReportedLoad},
};

/// Identifies an upstream; most upstreams get a new id at each start.
pub type UpstreamId = String;
