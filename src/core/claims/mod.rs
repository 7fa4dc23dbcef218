//! Keeps a non-idempotent request from running twice.
//!
//! A key is claimed in the replicated log before its request is sent. Who
//! holds the claim may send once; everybody else gets the recorded answer, or
//! learns that the outcome is unknown.

mod key;
mod table;

pub use self::{
    key::{ClaimKey, KeyError},
    table::{
        Answer, AttemptResult, ClaimCommand, ClaimLimits, ClaimOutcome, ClaimTable, HeaderPair,
    },
};

/// Numbers the periods that keys are issued in.
pub type ClaimEpoch = u64;
/// Identifies one attempt to run a request.
pub type AttemptId = String;
