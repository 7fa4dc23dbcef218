//! Claims, which prevent a non-idempotent request from running twice.
//!
//! A request's key is claimed in the replicated log before the request is sent.
//! The attempt that holds the claim may have the request run once. Any other
//! attempt gets the recorded response, or is told that the outcome is unknown.
//!
//! In this module an attempt is one arrival of the request at an instance: a
//! caller that sends the request again starts a new attempt.

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
/// Identifies one arrival of a request at an instance.
pub type AttemptId = String;
