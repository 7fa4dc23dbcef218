//! Compacts the log and takes over another replica's snapshot.

use super::{LogIndex, Members, Message, Node, Outputs, Payload, ReplicaId, Round, Snapshot, Term};

/// Holds the chunks of a snapshot that arrived so far.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incoming {
    index: LogIndex,
    term: Term,
    data: Vec<u8>,
}

impl<C: Clone> Node<C> {
    pub(super) fn compact(&mut self, index: LogIndex, data: Vec<u8>, out: &mut Outputs<C>) {
        let useful = index > self.durable.snapshot.index && index <= self.commit;
        let Some(term) = self.durable.term_at(index).filter(|_| useful) else { return };
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

    pub(super) fn install(
        &mut self,
        from: ReplicaId,
        chunk: Snapshot,
        offset: u64,
        done: bool,
        round: Round,
        out: &mut Outputs<C>,
    ) {
        if chunk.index <= self.commit {
            self.incoming = None;
            let reply = Message::AppendReply { matched: self.commit, round };
            return self.send(from, reply, out);
        }
        let index = chunk.index;
        let incoming = self.incoming_for(&chunk);
        let held = incoming.data.len() as u64;
        if offset != held {
            return self.send(from, Message::InstallReply { index, offset: held, round }, out);
        }
        incoming.data.extend_from_slice(&chunk.data);
        let offset = incoming.data.len() as u64;
        if !done {
            return self.send(from, Message::InstallReply { index, offset, round }, out);
        }
        let data = self.incoming.take().map(|incoming| incoming.data).unwrap_or_default();
        self.restore(Snapshot { data, ..chunk }, out);
        self.send(from, Message::AppendReply { matched: index, round }, out);
    }

    /// Returns the chunks of the same snapshot, or starts to gather anew.
    fn incoming_for(&mut self, chunk: &Snapshot) -> &mut Incoming {
        let same = |held: &Incoming| held.index == chunk.index && held.term == chunk.term;
        if !self.incoming.as_ref().is_some_and(same) {
            self.incoming = None;
        }
        let (index, term) = (chunk.index, chunk.term);
        self.incoming.get_or_insert_with(|| Incoming { index, term, data: Vec::new() })
    }

    fn restore(&mut self, snapshot: Snapshot, out: &mut Outputs<C>) {
        self.commit = snapshot.index;
        self.durable.compact(snapshot.clone());
        out.snapshot = Some(snapshot.clone());
        out.restore = Some(snapshot);
    }
}
