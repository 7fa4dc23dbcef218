//! Describes upstreams as they are listed and as they describe themselves.

mod list;
mod listing;

pub use self::{
    list::UpstreamList,
    listing::{ListedState, ListedUpstream, Listing, ReportedLoad},
};

/// Identifies one upstream; mostly a new one with each start.
pub type UpstreamId = String;
