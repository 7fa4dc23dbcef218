//! Raft replication of one log of commands.
//!
//! [`RaftNode`] implements the protocol without I/O or a clock: a driver passes
//! [`Input`] values to it and carries out the [`Outputs`], making state durable
//! before it sends messages. [`Timers`] generates the timeout
//! inputs.

mod budget;
mod leader;
mod limits;
mod log;
mod members;
mod message;
mod node;
mod progress;
mod reply_times;
mod round_times;
mod snapshot;
mod timers;
mod vote;

pub use self::{
    budget::StateBudget,
    leader::LeaderState,
    limits::MessageLimits,
    log::{Ballot, DurableState, Entry, Payload, Snapshot},
    members::{Member, Members, MembersError},
    message::{Envelope, Message},
    node::{Input, Outputs, ProposalError, RaftNode, Role},
    reply_times::ReplyTimes,
    round_times::RoundTimes,
    timers::{Timers, TimersConfig},
};

/// Identifies a replica. A replica on a new disk gets a new id.
pub type ReplicaId = u64;
/// The number of a leader's term.
pub type Term = u64;
/// The index of an entry in the log, from 1.
pub type LogIndex = u64;
/// The number of a leader's heartbeat round within its term.
pub type Round = u64;
