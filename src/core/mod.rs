//! Makes all decisions of the system without performing I/O.
//!
//! Each module is a deterministic function of its state, its input and the
//! time that the calling code passes in.

pub mod admission;
pub mod balance;
mod byte_string;
mod carried_requests;
pub mod claims;
mod connection_table;
pub mod control;
mod encoded_len;
mod entry_count;
mod link_pacer;
mod memory_budget;
mod panics;
pub mod peers;
pub mod placement;
mod recent_max;
pub mod replication;
pub mod roster;
pub mod routing;
mod stall_detector;
pub mod steering;
mod stop_plan;
pub mod suspects;
pub mod upstreams;
mod versioned_map;

pub use self::{
    carried_requests::CarriedRequests,
    connection_table::{Admission, ConnectionId, ConnectionLimits, ConnectionTable},
    encoded_len::encoded_len,
    entry_count::EntryCount,
    link_pacer::LinkPacer,
    memory_budget::{MemoryBudget, MessageKind},
    panics::catch_panic,
    recent_max::RecentMax,
    stall_detector::StallDetector,
    stop_plan::{StopPhase, StopPlan},
    versioned_map::{MapDelta, VersionedMap},
};
