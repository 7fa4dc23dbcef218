//! Decides where a caller's request lands: from client block to region to
//! entry instance, and from one entry instance to the owner of an upstream.

mod blocks;
mod layout;
mod lookup;
mod owners;
mod shift;

pub use self::{
    blocks::BlockTable,
    layout::{Layout, Run},
    lookup::{LookupAnswer, NoInstance, Steering, rendezvous_order},
    owners::{OwnerCandidate, rank_owners},
    shift::{ShiftInputs, next_shift_step, reachable_shares},
};

/// Numbers the points that a home region's callers are spread over.
pub type Point = u32;
