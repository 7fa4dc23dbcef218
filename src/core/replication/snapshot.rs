//! Compaction of the log and installation of a leader's snapshot.

use serde::Serialize;

use super::{
    LogIndex, Members, Message, Outputs, Payload, RaftNode, ReplicaId, Round, Snapshot, Term,
};

/// Holds the chunks of a snapshot received so far.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartialSnapshot {
    index: LogIndex,
    term: Term,
    data: Vec<u8>,
}

impl<C: Clone + Serialize> RaftNode<C> {
    pub(super) fn compact(&mut self, index: LogIndex, data: Vec<u8>, out: &mut Outputs<C>) {
        let can_compact = index > self.durable.snapshot.index && index <= self.commit_index;
        let Some(term) = self.durable.term_at(index).filter(|_| can_compact) else { return };
        let members = self.members_at(index);
        let snapshot = Snapshot { index, term, members, data };
        self.durable.compact(snapshot.clone());
        out.snapshot = Some(snapshot);
    }

    fn members_at(&self, index: LogIndex) -> Members {
        let included = self.durable.entries.iter().rev().filter(|entry| entry.index <= index);
        let mut newest = included.filter_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members),
            _ => None,
        });
        newest.next().unwrap_or(&self.durable.snapshot.members).clone()
    }

    pub(super) fn handle_install(
        &mut self,
        from: ReplicaId,
        chunk: Snapshot,
        offset: u64,
        done: bool,
        round: Round,
        out: &mut Outputs<C>,
    ) {
        if chunk.index <= self.commit_index {
            self.partial_snapshot = None;
            let reply = Message::AppendReply { matched: self.commit_index, round };
            return self.send(from, reply, out);
        }
        let index = chunk.index;
        let partial = self.partial_snapshot_for(&chunk);
        let received = partial.data.len() as u64;
        if offset != received {
            return self.send(from, Message::InstallReply { index, offset: received, round }, out);
        }
        partial.data.extend_from_slice(&chunk.data);
        let offset = partial.data.len() as u64;
        if !done {
            return self.send(from, Message::InstallReply { index, offset, round }, out);
        }
        let data = self.partial_snapshot.take().map(|partial| partial.data).unwrap_or_default();
        self.restore(Snapshot { data, ..chunk }, out);
        self.send(from, Message::AppendReply { matched: index, round }, out);
    }

    /// Returns the received chunks of the snapshot that `chunk` belongs to. Those
    /// of any other snapshot are dropped.
    fn partial_snapshot_for(&mut self, chunk: &Snapshot) -> &mut PartialSnapshot {
        let is_same = |p: &PartialSnapshot| p.index == chunk.index && p.term == chunk.term;
        if !self.partial_snapshot.as_ref().is_some_and(is_same) {
            self.partial_snapshot = None;
        }
        let (index, term) = (chunk.index, chunk.term);
        self.partial_snapshot.get_or_insert_with(|| PartialSnapshot {
            index,
            term,
            data: Vec::new(),
        })
    }

    fn restore(&mut self, snapshot: Snapshot, out: &mut Outputs<C>) {
        self.commit_index = snapshot.index;
        self.durable.compact(snapshot.clone());
        out.snapshot = Some(snapshot.clone());
        out.restore = Some(snapshot);
    }
}
