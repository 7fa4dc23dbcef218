//! Claims, which prevent a non-idempotent request from running twice.
//!
//! A request's key is claimed in the replicated log before the request is sent.
//! The attempt that holds the claim may send the request once. Any other
//! attempt gets the recorded answer, or is told that the outcome is unknown.

mod key;
mod table;

pub use self::{
    key::{ClaimKey, KeyError},
    table::{
        AttemptResult, ClaimCommand, ClaimLimits, ClaimOutcome, ClaimTable, HeaderPair,
        RecordedResponse,
    },
};

/// The number of a period in which keys are issued.
pub type ClaimEpoch = u64;
/// Identifies one attempt to run a request.
pub type AttemptId = String;
