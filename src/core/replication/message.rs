//! The messages between replicas.

use serde::{Deserialize, Serialize};

use super::{Entry, LogIndex, Members, ReplicaId, Round, Term};
use crate::core::byte_string;

/// Represents a message with its sender, receiver and term.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Envelope<C> {
    /// The sender.
    pub from: ReplicaId,
    /// The receiver. A replica on a new disk has a new id, so a message never
    /// reaches a replica that has lost its votes.
    pub to: ReplicaId,
    /// The sender's term. In a pre-vote and in a reply that grants it, the term of the
    /// election that the pre-vote is for.
    pub term: Term,
    /// The message.
    pub message: Message<C>,
}

/// Represents the content of a message.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Message<C> {
    /// Requests a pre-vote: whether a vote would be granted. No term changes.
    PreVote {
        /// The index of the sender's last entry.
        last_index: LogIndex,
        /// The term of the sender's last entry.
        last_term: Term,
    },
    /// Replies to [`Message::PreVote`].
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// The index of the sender's last entry.
        last_index: LogIndex,
        /// The term of the sender's last entry.
        last_term: Term,
    },
    /// Replies to [`Message::Vote`].
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Sends entries to append. Without entries it is a heartbeat.
    Append {
        /// The index of the entry before the sent entries.
        prev_index: LogIndex,
        /// The term of the entry at that index.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry<C>>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The leader's heartbeat round.
        round: Round,
    },
    /// Replies to [`Message::Append`], or [`Message::Install`] once the snapshot is
    /// installed: the log matches the leader's up to `matched`.
    AppendReply {
        /// The index up to which the logs match.
        matched: LogIndex,
        /// The leader's heartbeat round.
        round: Round,
    },
    /// Replies to [`Message::Append`]: the log does not reach the entry before the sent
    /// entries or does not match it. The leader continues after `last_index`.
    /// Also informs a leader whose term is outdated of the current term.
    AppendConflict {
        /// The index up to which the sender's log may match.
        last_index: LogIndex,
        /// The leader's heartbeat round.
        round: Round,
    },
    /// Sends one chunk of a snapshot.
    Install {
        /// The index of the snapshot.
        index: LogIndex,
        /// The term of the entry at that index.
        snapshot_term: Term,
        /// The members as of that index.
        members: Members,
        /// The offset of the chunk, in bytes.
        offset: u64,
        /// The chunk.
        #[serde(with = "byte_string")]
        data: Vec<u8>,
        /// Whether it is the last chunk.
        done: bool,
        /// The leader's heartbeat round.
        round: Round,
    },
    /// Replies to [`Message::Install`]: requests the chunk of the snapshot at
    /// `offset`.
    InstallReply {
        /// The index of the snapshot.
        index: LogIndex,
        /// The offset of the chunk, in bytes.
        offset: u64,
        /// The leader's heartbeat round.
        round: Round,
    },
}
