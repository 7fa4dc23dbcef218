//! The state that a replica keeps across restarts.

use serde::{Deserialize, Serialize};

use super::{LogIndex, Members, ReplicaId, Term};
use crate::core::byte_string;

/// Holds a replica's durable state.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct DurableState<C> {
    /// The current term and the vote given in it.
    pub ballot: Ballot,
    /// The snapshot that replaces the compacted part of the log.
    pub snapshot: Snapshot,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry<C>>,
    /// An index up to which the log is known to be committed. It may be far behind
    /// the actual commit index.
    pub commit_index: LogIndex,
}

/// Represents the current term and the vote given in it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Ballot {
    /// The highest term that the replica knows of.
    pub term: Term,
    /// The replica that received this replica's vote in that term.
    pub voted_for: Option<ReplicaId>,
}

/// Represents the state of the state machine at one index of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Snapshot {
    /// The index of the last entry that the state includes.
    pub index: LogIndex,
    /// The term of the entry at that index.
    pub term: Term,
    /// The members as of that index.
    pub members: Members,
    /// The encoded state.
    #[serde(with = "byte_string")]
    pub data: Vec<u8>,
}

/// Represents an entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Entry<C> {
    /// The index in the log.
    pub index: LogIndex,
    /// The term of the leader that created the entry.
    pub term: Term,
    /// The content.
    pub payload: Payload<C>,
}

/// Represents the content of an entry.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Payload<C> {
    /// Marks the start of a leader's term.
    Noop,
    /// A command for the state machine.
    Command(C),
    /// Replaces the members as soon as the entry is appended.
    Members(Members),
}

impl<C: Clone> DurableState<C> {
    /// Creates the state of a replica of a new log with the given members.
    pub fn new(members: Members) -> Self {
        Self {
            ballot: Ballot::default(),
            snapshot: Snapshot { members, ..Snapshot::default() },
            entries: Vec::new(),
            commit_index: 0,
        }
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns the term of the entry at `index`, if the log still has it.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`, if the log still has it.
    pub fn get(&self, index: LogIndex) -> Option<&Entry<C>> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns up to `limit` entries, starting at index `from`.
    pub fn slice(&self, from: LogIndex, limit: usize) -> &[Entry<C>] {
        let offset = from.saturating_sub(self.snapshot.index + 1);
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(self.entries.len());
        let end = start.saturating_add(limit).min(self.entries.len());
        &self.entries[start..end]
    }

    /// Writes an entry at its index, after removing any entries from that index
    /// on.
    pub fn truncate_and_push(&mut self, entry: Entry<C>) {
        let offset = entry.index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(usize::try_from(offset).unwrap_or(usize::MAX));
        self.entries.push(entry);
    }

    /// Replaces the snapshot and removes the entries that it includes.
    ///
    /// Later entries are kept only if the log matches the snapshot, that is, if it
    /// has the same term at the snapshot's index.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let is_match = self.term_at(snapshot.index) == Some(snapshot.term);
        if is_match {
            self.entries.retain(|entry| entry.index > snapshot.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
    }

    /// Returns the newest members in the log, committed or not, with the index of
    /// the entry or snapshot that has them.
    pub fn members(&self) -> (LogIndex, &Members) {
        let newest = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Members(members) => Some((entry.index, members)),
            _ => None,
        });
        newest.unwrap_or((self.snapshot.index, &self.snapshot.members))
    }
}
