//! Leads: hands out entries, commits them, changes the members.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    Entry, LogIndex, Members, Message, Node, Outputs, Payload, Refusal, ReplicaId, Role, Round,
};

/// Holds what a leader knows of the others.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Leadership {
    round: Round,
    progress: BTreeMap<ReplicaId, Progress>,
    /// Who answered since the last check of the quorum.
    active: BTreeSet<ReplicaId>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Progress {
    next: LogIndex,
    matched: LogIndex,
    acked_round: Round,
    /// The place in the snapshot that is handed over, if one is.
    install: Option<(LogIndex, u64)>,
}

impl Progress {
    fn new(last_index: LogIndex) -> Self {
        Self { next: last_index + 1, matched: 0, acked_round: 0, install: None }
    }
}

impl Leadership {
    pub(super) fn new(others: Vec<ReplicaId>, last_index: LogIndex) -> Self {
        let progress = others.into_iter().map(|id| (id, Progress::new(last_index))).collect();
        Self { round: 0, progress, active: BTreeSet::new() }
    }

    /// Returns the last round that began.
    pub fn round(&self) -> Round {
        self.round
    }

    /// Returns the last round that a replica answered.
    pub fn acked_round(&self, id: ReplicaId) -> Round {
        self.progress.get(&id).map_or(0, |progress| progress.acked_round)
    }

    /// Returns the index up to which a replica's log is known to match.
    pub fn matched(&self, id: ReplicaId) -> LogIndex {
        self.progress.get(&id).map_or(0, |progress| progress.matched)
    }

    fn note(&mut self, from: ReplicaId, round: Round) -> Option<&mut Progress> {
        self.active.insert(from);
        let progress = self.progress.get_mut(&from)?;
        progress.acked_round = progress.acked_round.max(round);
        Some(progress)
    }

    fn sync_members(&mut self, others: &[ReplicaId], last_index: LogIndex) {
        self.progress.retain(|id, _| others.contains(id));
        for id in others {
            self.progress.entry(*id).or_insert_with(|| Progress::new(last_index));
        }
    }
}

impl<C: Clone> Node<C> {
    pub(super) fn heartbeat(&mut self, out: &mut Outputs<C>) {
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.round += 1;
        self.broadcast(out);
    }

    /// Steps down when no quorum answered since the last call.
    pub(super) fn check_quorum(&mut self) {
        let members = self.durable.members().1.clone();
        let id = self.id;
        let Role::Leader(leadership) = &mut self.role else { return };
        let active = std::mem::take(&mut leadership.active);
        if !members.has_quorum(|voter| voter == id || active.contains(&voter)) {
            self.role = Role::Follower;
            self.leader = None;
        }
    }

    pub(super) fn propose(&mut self, payload: Payload<C>, out: &mut Outputs<C>) {
        if !self.is_leader() {
            out.refused = Some(Refusal::NotLeader(self.leader));
            return;
        }
        let entry = Entry { index: self.durable.last_index() + 1, term: self.term(), payload };
        out.proposed = Some((entry.index, entry.term));
        self.durable.put(entry.clone());
        out.entries.push(entry);
        self.broadcast(out);
        self.advance_commit(out);
    }

    pub(super) fn propose_members(&mut self, members: Members, out: &mut Outputs<C>) {
        let (members_index, current) = self.durable.members();
        if self.is_leader() && (members_index > self.commit || !self.has_committed_in_term()) {
            out.refused = Some(Refusal::MembersPending);
            return;
        }
        if let Err(error) = current.check_successor(&members) {
            out.refused = Some(Refusal::Members(error));
            return;
        }
        self.propose(Payload::Members(members), out);
    }

    fn broadcast(&mut self, out: &mut Outputs<C>) {
        let others = self.others();
        let last_index = self.durable.last_index();
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.sync_members(&others, last_index);
        for id in others {
            self.send_log(id, out);
        }
    }

    /// Sends a replica what it lacks: entries, or a chunk of the snapshot.
    pub(super) fn send_log(&mut self, to: ReplicaId, out: &mut Outputs<C>) {
        let Role::Leader(leadership) = &mut self.role else { return };
        let round = leadership.round;
        let Some(progress) = leadership.progress.get_mut(&to) else { return };
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.durable.term_at(prev_index) else {
            return self.send_chunk(to, out);
        };
        progress.install = None;
        let entries = self.durable.slice(progress.next, self.limits.entries_max).to_vec();
        progress.next += entries.len() as u64;
        let commit = self.commit;
        let append = Message::Append { prev_index, prev_term, entries, commit, round };
        self.send(to, append, out);
    }

    fn send_chunk(&mut self, to: ReplicaId, out: &mut Outputs<C>) {
        let chunk_bytes = self.limits.chunk_bytes;
        let Role::Leader(leadership) = &mut self.role else { return };
        let round = leadership.round;
        let Some(progress) = leadership.progress.get_mut(&to) else { return };
        let snapshot = &self.durable.snapshot;
        let offset = match progress.install {
            Some((index, offset)) if index == snapshot.index => offset,
            _ => 0,
        };
        progress.install = Some((snapshot.index, offset));
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(snapshot.data.len());
        let end = (start + chunk_bytes).min(snapshot.data.len());
        let chunk = Message::Install {
            index: snapshot.index,
            snapshot_term: snapshot.term,
            members: snapshot.members.clone(),
            offset: start as u64,
            data: snapshot.data[start..end].to_vec(),
            done: end == snapshot.data.len(),
            round,
        };
        self.send(to, chunk, out);
    }

    pub(super) fn continue_install(
        &mut self,
        from: ReplicaId,
        index: LogIndex,
        offset: u64,
        round: Round,
        out: &mut Outputs<C>,
    ) {
        let Role::Leader(leadership) = &mut self.role else { return };
        let Some(progress) = leadership.note(from, round) else { return };
        let moved = progress.install.is_some_and(|(held, at)| held == index && offset != at);
        if moved {
            progress.install = Some((index, offset));
            self.send_chunk(from, out);
        }
    }

    pub(super) fn advance(
        &mut self,
        from: ReplicaId,
        matched: LogIndex,
        round: Round,
        out: &mut Outputs<C>,
    ) {
        let last_index = self.durable.last_index();
        let Role::Leader(leadership) = &mut self.role else { return };
        let Some(progress) = leadership.note(from, round) else { return };
        progress.matched = progress.matched.max(matched);
        progress.next = progress.next.max(matched + 1);
        let behind = progress.next <= last_index;
        self.advance_commit(out);
        if behind {
            self.send_log(from, out);
        }
    }

    pub(super) fn back_up(
        &mut self,
        from: ReplicaId,
        last_index: LogIndex,
        round: Round,
        out: &mut Outputs<C>,
    ) {
        let Role::Leader(leadership) = &mut self.role else { return };
        let Some(progress) = leadership.note(from, round) else { return };
        let next = last_index.max(progress.matched) + 1;
        // An old conflict that arrives late must not cause the same entries
        // to be sent over and over.
        if next < progress.next {
            progress.next = next;
            self.send_log(from, out);
        }
    }

    fn advance_commit(&mut self, out: &mut Outputs<C>) {
        let Role::Leader(leadership) = &self.role else { return };
        let last_index = self.durable.last_index();
        let index = self
            .members()
            .quorum_value(|id| if id == self.id { last_index } else { leadership.matched(id) });
        if index <= self.commit || self.durable.term_at(index) != Some(self.term()) {
            return;
        }
        self.commit_to(index, out);
        self.leave_if_removed();
    }

    /// Steps down once its own removal is committed.
    fn leave_if_removed(&mut self) {
        let (members_index, members) = self.durable.members();
        if members_index <= self.commit && !members.is_voter(self.id) {
            self.role = Role::Follower;
            self.leader = None;
        }
    }
}
