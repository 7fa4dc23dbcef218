//! The list of upstreams that the platform publishes, and what upstreams report of
//! themselves.

mod list;
mod listed;
mod notice;
mod reading;

pub use self::{
    list::UpstreamList,
    listed::{ListedState, ListedUpstream, ListedUpstreams, ReportedLoad},
    notice::UpstreamNotice,
    reading::{has_repeated_ids, select_entries},
};

/// Identifies an upstream. Most upstreams get a new id at each start.
pub type UpstreamId = String;
