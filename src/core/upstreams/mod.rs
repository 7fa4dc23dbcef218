//! Describes upstreams as they are listed and as they describe themselves.

mod list;
mod listed;

pub use self::{
    list::UpstreamList,
    listed::{ListedState, ListedUpstream, ListedUpstreams, ReportedLoad},
};

/// Identifies one upstream; mostly a new one with each start.
pub type UpstreamId = String;
