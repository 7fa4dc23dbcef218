//! The leader's part of the protocol: replicates and commits entries and changes
//! the members.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Serialize;

use super::{
    super::encoded_len,
    Entry, LogIndex, Members, Message, Outputs, Payload, ProposalError, RaftNode, ReplicaId, Role,
    Round,
    progress::{Install, Progress},
};

/// Holds a leader's state about the other members.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeaderState {
    round: Round,
    progress: BTreeMap<ReplicaId, Progress>,
    /// The replicas that replied since the last quorum check.
    recently_active: BTreeSet<ReplicaId>,
    /// The entries of this term that are not committed, each with its encoded size.
    uncommitted: VecDeque<(LogIndex, u64)>,
    uncommitted_bytes: u64,
}

impl LeaderState {
    pub(super) fn new(other_members: Vec<ReplicaId>, last_index: LogIndex) -> Self {
        let progress =
            other_members.into_iter().map(|id| (id, Progress::new(last_index))).collect();
        Self {
            round: 0,
            progress,
            recently_active: BTreeSet::new(),
            uncommitted: VecDeque::new(),
            uncommitted_bytes: 0,
        }
    }

    /// Returns the number of the last round that began.
    pub fn round(&self) -> Round {
        self.round
    }

    /// Returns the number of the last round that a replica replied to.
    pub fn last_acked_round(&self, id: ReplicaId) -> Round {
        self.progress.get(&id).map_or(0, |progress| progress.last_acked_round)
    }

    /// Returns the index up to which a replica's log is known to match the
    /// leader's.
    pub fn match_index(&self, id: ReplicaId) -> LogIndex {
        self.progress.get(&id).map_or(0, |progress| progress.match_index)
    }

    /// Returns the encoded size of the entries that were sent to all replicas together and are not
    /// acknowledged.
    pub fn in_flight_bytes(&self) -> u64 {
        self.progress.values().map(Progress::in_flight_bytes).sum()
    }

    /// Returns the encoded size of the entries of this term that are not committed.
    pub fn uncommitted_bytes(&self) -> u64 {
        self.uncommitted_bytes
    }

    fn record_proposed(&mut self, index: LogIndex, bytes: u64) {
        self.uncommitted.push_back((index, bytes));
        self.uncommitted_bytes += bytes;
    }

    fn record_committed(&mut self, committed: LogIndex) {
        while let Some((_, bytes)) = self.uncommitted.pop_front_if(|(index, _)| *index <= committed)
        {
            self.uncommitted_bytes -= bytes;
        }
    }

    fn record_reply(&mut self, from: ReplicaId, round: Round) -> Option<&mut Progress> {
        self.recently_active.insert(from);
        let progress = self.progress.get_mut(&from)?;
        progress.last_acked_round = progress.last_acked_round.max(round);
        Some(progress)
    }

    fn sync_members(&mut self, other_members: &[ReplicaId], last_index: LogIndex) {
        self.progress.retain(|id, _| other_members.contains(id));
        for id in other_members {
            self.progress.entry(*id).or_insert_with(|| Progress::new(last_index));
        }
    }
}

impl<C: Clone + Serialize> RaftNode<C> {
    pub(super) fn heartbeat(&mut self, out: &mut Outputs<C>) {
        let Role::Leader(leader_state) = &mut self.role else { return };
        leader_state.round += 1;
        self.broadcast(out);
    }

    /// Steps down if no quorum replied since the last call.
    pub(super) fn check_quorum(&mut self) {
        let members = self.durable.members().1.clone();
        let id = self.id;
        let Role::Leader(leader_state) = &mut self.role else { return };
        let active = std::mem::take(&mut leader_state.recently_active);
        if !members.has_quorum(|voter| voter == id || active.contains(&voter)) {
            self.role = Role::Follower;
            self.leader = None;
        }
    }

    pub(super) fn propose(&mut self, payload: Payload<C>, out: &mut Outputs<C>) {
        let (index, term) = (self.durable.last_index() + 1, self.term());
        let Role::Leader(leader_state) = &mut self.role else {
            out.refused = Some(ProposalError::NotLeader(self.leader));
            return;
        };
        let entry = Entry { index, term, payload };
        let entry_bytes = encoded_len(&entry);
        let uncommitted_bytes = leader_state.uncommitted_bytes;
        if matches!(entry.payload, Payload::Command(_))
            && uncommitted_bytes > 0
            && uncommitted_bytes + entry_bytes > self.limits.uncommitted_max_bytes
        {
            out.refused = Some(ProposalError::TooManyUncommitted);
            return;
        }
        leader_state.record_proposed(index, entry_bytes);
        out.proposed = Some((entry.index, entry.term));
        self.durable.truncate_and_push(entry.clone());
        out.entries.push(entry);
        self.broadcast(out);
        self.advance_commit(out);
    }

    pub(super) fn propose_members(&mut self, members: Members, out: &mut Outputs<C>) {
        let (members_index, current) = self.durable.members();
        if self.is_leader() && (members_index > self.commit_index || !self.has_committed_in_term())
        {
            out.refused = Some(ProposalError::MembersPending);
            return;
        }
        if let Err(error) = current.check_successor(&members) {
            out.refused = Some(ProposalError::Members(error));
            return;
        }
        self.propose(Payload::Members(members), out);
    }

    fn broadcast(&mut self, out: &mut Outputs<C>) {
        let other_members = self.other_members();
        let last_index = self.durable.last_index();
        let Role::Leader(leader_state) = &mut self.role else { return };
        leader_state.sync_members(&other_members, last_index);
        for id in other_members {
            self.send_log(id, out);
        }
    }

    /// Sends a replica the entries that it lacks, as far as its window has room for them, or a
    /// chunk of the snapshot if they are no longer in the log. Without room, the message is a
    /// heartbeat; its reply shows whether the entries before it have arrived.
    pub(super) fn send_log(&mut self, to: ReplicaId, out: &mut Outputs<C>) {
        let Role::Leader(leader_state) = &mut self.role else { return };
        let window_bytes = self.limits.window_bytes_of_each(leader_state.progress.len());
        let round = leader_state.round;
        let Some(progress) = leader_state.progress.get_mut(&to) else { return };
        let prev_index = progress.next_index - 1;
        let Some(prev_term) = self.durable.term_at(prev_index) else {
            return self.send_snapshot_chunk(to, out);
        };
        progress.install = None;
        let entries = self.durable.slice(progress.next_index, self.limits.entries_max);
        let (count, bytes) = entries_in_window(entries, window_bytes, progress.in_flight_bytes());
        let entries = entries[..count].to_vec();
        if count > 0 {
            progress.record_sent(progress.next_index + count as u64, bytes);
        }
        let commit = self.commit_index;
        let append = Message::Append { prev_index, prev_term, entries, commit, round };
        self.send(to, append, out);
    }

    /// Sends a replica the next chunk of the snapshot or, while that is on its way, an empty one:
    /// a heartbeat, whose reply shows whether the chunk has arrived.
    fn send_snapshot_chunk(&mut self, to: ReplicaId, out: &mut Outputs<C>) {
        let chunk_bytes = self.limits.chunk_bytes;
        let Role::Leader(leader_state) = &mut self.role else { return };
        let round = leader_state.round;
        let Some(progress) = leader_state.progress.get_mut(&to) else { return };
        let snapshot = &self.durable.snapshot;
        let current = progress.install.filter(|install| install.index == snapshot.index);
        let install =
            current.unwrap_or(Install { index: snapshot.index, offset: 0, sent_in: None });
        let is_on_its_way = install.sent_in.is_some();
        progress.install = Some(Install { sent_in: install.sent_in.or(Some(round)), ..install });
        let start = usize::try_from(install.offset).unwrap_or(usize::MAX).min(snapshot.data.len());
        let end = match is_on_its_way {
            true => start,
            false => (start + chunk_bytes).min(snapshot.data.len()),
        };
        let chunk = Message::Install {
            index: snapshot.index,
            snapshot_term: snapshot.term,
            members: snapshot.members.clone(),
            offset: start as u64,
            data: snapshot.data[start..end].to_vec(),
            done: !is_on_its_way && end == snapshot.data.len(),
            round,
        };
        self.send(to, chunk, out);
    }

    pub(super) fn handle_install_reply(
        &mut self,
        from: ReplicaId,
        index: LogIndex,
        offset: u64,
        round: Round,
        out: &mut Outputs<C>,
    ) {
        let Role::Leader(leader_state) = &mut self.role else { return };
        let Some(progress) = leader_state.record_reply(from, round) else { return };
        let current = progress.install.as_mut().filter(|install| install.index == index);
        if current.is_some_and(|install| install.handle_request(offset, round)) {
            self.send_snapshot_chunk(from, out);
        }
    }

    pub(super) fn handle_append_reply(
        &mut self,
        from: ReplicaId,
        matched: LogIndex,
        round: Round,
        out: &mut Outputs<C>,
    ) {
        let last_index = self.durable.last_index();
        let Role::Leader(leader_state) = &mut self.role else { return };
        let Some(progress) = leader_state.record_reply(from, round) else { return };
        progress.record_match(matched);
        let is_behind = progress.next_index <= last_index;
        self.advance_commit(out);
        if is_behind {
            self.send_log(from, out);
        }
    }

    pub(super) fn handle_append_conflict(
        &mut self,
        from: ReplicaId,
        last_index: LogIndex,
        round: Round,
        out: &mut Outputs<C>,
    ) {
        let Role::Leader(leader_state) = &mut self.role else { return };
        let leader_round = leader_state.round;
        let Some(progress) = leader_state.record_reply(from, round) else { return };
        let next_index = last_index.max(progress.match_index) + 1;
        if progress.rewind(next_index, round, leader_round) {
            self.send_log(from, out);
        }
    }

    fn advance_commit(&mut self, out: &mut Outputs<C>) {
        let Role::Leader(leader_state) = &self.role else { return };
        let last_index = self.durable.last_index();
        let index = self.members().quorum_value(|id| {
            if id == self.id { last_index } else { leader_state.match_index(id) }
        });
        if index <= self.commit_index || self.durable.term_at(index) != Some(self.term()) {
            return;
        }
        self.commit_to(index, out);
        if let Role::Leader(leader_state) = &mut self.role {
            leader_state.record_committed(index);
        }
        self.step_down_if_removed();
    }

    /// Steps down if this replica has no vote in the committed members.
    fn step_down_if_removed(&mut self) {
        let (members_index, members) = self.durable.members();
        if members_index <= self.commit_index && !members.is_voter(self.id) {
            self.role = Role::Follower;
            self.leader = None;
        }
    }
}

/// Returns how many of the entries fit into a window of which `in_flight_bytes` are taken, and
/// their encoded size. The first one always fits into an empty window.
fn entries_in_window<C: Serialize>(
    entries: &[Entry<C>],
    window_bytes: u64,
    in_flight_bytes: u64,
) -> (usize, u64) {
    let (mut count, mut bytes) = (0, 0);
    for entry in entries {
        if in_flight_bytes + bytes >= window_bytes {
            break;
        }
        let entry_bytes = encoded_len(entry);
        let is_first = in_flight_bytes + bytes == 0;
        if !is_first && in_flight_bytes + bytes + entry_bytes > window_bytes {
            break;
        }
        (count, bytes) = (count + 1, bytes + entry_bytes);
    }
    (count, bytes)
}
