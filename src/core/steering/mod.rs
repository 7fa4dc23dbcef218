//! Steering of requests: from the caller's client block to a region and its
//! instances, and from an instance to the owner of an upstream.

mod blocks;
mod layout;
mod lookup;
mod owners;
mod shift;

pub use self::{
    blocks::BlockTable,
    layout::{Layout, Run},
    lookup::{LookUpResult, NoInstance, Steering, rendezvous_order},
    owners::{OwnerCandidate, rank_owners},
    shift::{ShiftInputs, next_shift_step, reachable_shares},
};

/// One of the 1000 points, from 0 to 999, that a home region's callers are
/// hashed to.
pub type Point = u32;
