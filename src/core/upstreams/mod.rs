//! The list of upstreams that the platform publishes, and the load that
//! upstreams report.

mod list;
mod listed;

pub use self::{
    list::UpstreamList,
    listed::{ListedState, ListedUpstream, ListedUpstreams, ReportedLoad},
};

/// Identifies an upstream. Most upstreams get a new id at each start.
pub type UpstreamId = String;
