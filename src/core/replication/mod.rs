//! Replicates one log of commands over a few replicas.
//!
//! [`Node`] is the protocol, free of time: a driver feeds it [`Input`] values
//! and carries out the [`Outputs`], making them durable before it sends
//! anything. [`Timers`] turns the passing of time into inputs.

mod leader;
mod log;
mod members;
mod message;
mod node;
mod snapshot;
mod timers;
mod vote;

pub use self::{
    leader::LeaderState,
    log::{Ballot, DurableState, Entry, Payload, Snapshot},
    members::{Member, Members, MembersError},
    message::{Envelope, Message},
    node::{Input, MessageLimits, Node, Outputs, ProposalError, Role},
    timers::{Timers, TimersConfig},
};

/// Identifies one replica together with the disk it was created on.
pub type ReplicaId = u64;
/// Numbers the terms of leadership.
pub type Term = u64;
/// Numbers the entries of the log, from 1.
pub type LogIndex = u64;
/// Numbers a leader's heartbeat rounds within its term.
pub type Round = u64;
