//! Defines what replicas tell each other.

use serde::{Deserialize, Serialize};

use super::{Entry, LogIndex, Members, ReplicaId, Round, Term};
use crate::core::byte_string;

/// Carries a message between two replicas.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Envelope<C> {
    /// The sender.
    pub from: ReplicaId,
    /// The receiver. A replica on a new disk has a new id, so a message never
    /// reaches a replica that forgot its votes.
    pub to: ReplicaId,
    /// The sender's term, or the term it would campaign in.
    pub term: Term,
    /// What is said.
    pub message: Message<C>,
}

/// Says what one replica tells another.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Message<C> {
    /// Asks whether a vote would be given, without changing any term.
    PreVote {
        /// The index of the sender's last entry.
        last_index: LogIndex,
        /// The term of the sender's last entry.
        last_term: Term,
    },
    /// Answers [`Message::PreVote`].
    PreVoteReply {
        /// Whether it is given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The index of the sender's last entry.
        last_index: LogIndex,
        /// The term of the sender's last entry.
        last_term: Term,
    },
    /// Answers [`Message::Vote`].
    VoteReply {
        /// Whether it is given.
        granted: bool,
    },
    /// Hands over entries; without any it is a heartbeat.
    Append {
        /// The index before the entries.
        prev_index: LogIndex,

        /// The term at that index.
        prev_term: Term,

        /// The entries.
        entries: Vec<Entry<C>>,

        /// The highest committed index.
        commit: LogIndex,

        /// The leader's round.
        round: Round,
    },
    /// Confirms the log up to `matched`.
    AppendReply {
        /// The index up to which the logs match.
        matched: LogIndex,
        /// The leader's round.
        round: Round,
    },
    /// Says that the log does not reach or match the entry before; the
    /// leader continues after `last_index`.
    AppendConflict {
        /// The index of the sender's last entry.
        last_index: LogIndex,
        /// The leader's round.
        round: Round,
    },
    /// Hands over one chunk of a snapshot.
    Install {
        /// The index of the snapshot.
        index: LogIndex,

        /// The term at that index.
        snapshot_term: Term,

        /// The members as of that index.
        members: Members,

        /// The place of the chunk, in bytes.
        offset: u64,
        #[serde(with = "byte_string")]

        /// The chunk.
        data: Vec<u8>,

        /// Whether it is the last chunk.
        done: bool,

        /// The leader's round.
        round: Round,
    },
    /// Asks for the chunk of the snapshot at `offset`.
    InstallReply {
        /// The index of the snapshot.
        index: LogIndex,
        /// The place of the chunk, in bytes.
        offset: u64,
        /// The leader's round.
        round: Round,
    },
}
