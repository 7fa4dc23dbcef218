//! The protocol state machine of a replica, and the follower's part of the protocol.

use serde::Serialize;

use super::{
    Ballot, DurableState, Entry, Envelope, LeaderState, LogIndex, Members, MembersError, Message,
    MessageLimits, Payload, ReplicaId, Round, Snapshot, Term, snapshot::PartialSnapshot,
    vote::Tally,
};

/// Represents one replica, with its durable state.
///
/// After a restart, the driver creates a node from [`DurableState`] alone.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RaftNode<C> {
    pub(super) id: ReplicaId,
    pub(super) limits: MessageLimits,
    pub(super) durable: DurableState<C>,
    pub(super) role: Role,
    pub(super) leader: Option<ReplicaId>,
    pub(super) commit_index: LogIndex,
    pub(super) partial_snapshot: Option<PartialSnapshot>,
}

/// Represents the role of a replica.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// The replica follows a leader, or waits for a leader to be elected.
    Follower,
    /// The replica requests pre-votes, to find out whether it could win an
    /// election.
    PreCandidate(Tally),
    /// The replica requests votes.
    Candidate(Tally),
    /// The replica is the leader.
    Leader(LeaderState),
}

/// Represents an event that a replica handles.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Input<C> {
    /// The election timeout has elapsed without a message from a leader.
    ElectionTimeout,
    /// The heartbeat interval has elapsed.
    HeartbeatTimeout,
    /// The quorum timeout has elapsed: a leader checks whether a quorum has
    /// replied since the last check.
    QuorumTimeout,
    /// A message arrived.
    Receive(Envelope<C>),
    /// A command is proposed.
    Propose(C),
    /// New members are proposed.
    ProposeMembers(Members),
    /// The commit index is to be made durable.
    RecordCommit,
    /// The state as of `index` was encoded, so the log up to that index can be compacted.
    Compact {
        /// The index of the snapshot.
        index: LogIndex,
        /// The encoded state.
        data: Vec<u8>,
    },
}

/// Represents what a driver must do after a step, in the order of the fields.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outputs<C> {
    /// The ballot to make durable.
    pub ballot: Option<Ballot>,
    /// The snapshot to make durable.
    pub snapshot: Option<Snapshot>,
    /// The entries to make durable. Each replaces all entries from its index on.
    pub entries: Vec<Entry<C>>,
    /// The commit index to make durable.
    pub commit_index: Option<LogIndex>,
    /// The messages to send once all of the above is durable.
    pub messages: Vec<Envelope<C>>,
    /// The snapshot to restore before `committed` is applied.
    pub restore: Option<Snapshot>,
    /// The entries to apply.
    pub committed: Vec<Entry<C>>,
    /// Whether the election timeout restarts, because a leader sent a message, a
    /// vote was granted or this replica became a candidate.
    pub reset_election_timeout: bool,
    /// Whether a leader's message showed that this replica has committed all that the
    /// leader had. A leader that has not committed an entry of its term may lack the
    /// commit index of an earlier one, so its messages don't show that.
    pub is_current: bool,
    /// The index and term of the entry that was appended for a proposal.
    pub proposed: Option<(LogIndex, Term)>,
    /// The reason why a proposal was not accepted.
    pub refused: Option<ProposalError>,
}

impl<C> Default for Outputs<C> {
    fn default() -> Self {
        Self {
            ballot: None,
            snapshot: None,
            entries: Vec::new(),
            commit_index: None,
            messages: Vec::new(),
            restore: None,
            committed: Vec::new(),
            reset_election_timeout: false,
            is_current: false,
            proposed: None,
            refused: None,
        }
    }
}

/// Represents the reason why a proposal was not accepted.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ProposalError {
    /// The replica is not the leader. Holds the leader, if known.
    NotLeader(Option<ReplicaId>),
    /// An earlier change of members is not committed yet, or no entry of this leader's
    /// term is committed yet.
    MembersPending,
    /// The change of members is not safe in one step.
    Members(MembersError),
    /// The entries that are not committed yet have reached their limit in bytes.
    TooManyUncommitted,
}

impl<C: Clone + Serialize> RaftNode<C> {
    /// Creates a follower with the given durable state.
    pub fn new(id: ReplicaId, durable: DurableState<C>) -> Self {
        // Entries that were committed before a restart may be applied before a
        // leader is known.
        let commit_index =
            durable.snapshot.index.max(durable.commit_index.min(durable.last_index()));
        Self {
            id,
            limits: MessageLimits::default(),
            durable,
            role: Role::Follower,
            leader: None,
            commit_index,
            partial_snapshot: None,
        }
    }

    /// Returns the node with other limits on messages.
    pub fn with_limits(mut self, limits: MessageLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns this replica's id.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the durable state.
    pub fn durable(&self) -> &DurableState<C> {
        &self.durable
    }

    /// Returns the role of the replica.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns whether the replica is the leader, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.durable.ballot.term
    }

    /// Returns the highest index known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Returns the members in force, committed or not.
    pub fn members(&self) -> &Members {
        self.durable.members().1
    }

    /// Returns whether an entry of the current term is committed. All committed
    /// entries of earlier terms are then known to be committed here, too.
    pub fn has_committed_in_term(&self) -> bool {
        self.durable.term_at(self.commit_index) == Some(self.term())
    }

    /// Returns a leader's last heartbeat round and the last one that a quorum has
    /// replied to. The replica was certainly the leader when the latter began.
    /// Returns `None` if the replica is not the leader.
    pub fn rounds(&self) -> Option<(Round, Round)> {
        let Role::Leader(leader_state) = &self.role else { return None };
        let confirmed = self.members().quorum_value(|id| {
            if id == self.id { leader_state.round() } else { leader_state.last_acked_round(id) }
        });
        Some((leader_state.round(), confirmed))
    }

    /// Handles one input and returns what the driver must do.
    ///
    /// # Panics
    ///
    /// Panics if a leader sends an entry that differs from a committed one, which
    /// means that the log is damaged or the protocol is violated.
    pub fn step(&mut self, input: Input<C>) -> Outputs<C> {
        let mut out = Outputs::default();
        match input {
            Input::ElectionTimeout => self.start_pre_vote(&mut out),
            Input::HeartbeatTimeout => self.heartbeat(&mut out),
            Input::QuorumTimeout => self.check_quorum(),
            Input::Receive(envelope) => self.receive(envelope, &mut out),
            Input::Propose(command) => self.propose(Payload::Command(command), &mut out),
            Input::ProposeMembers(members) => self.propose_members(members, &mut out),
            Input::RecordCommit => self.record_commit(&mut out),
            Input::Compact { index, data } => self.compact(index, data, &mut out),
        }
        out
    }

    fn receive(&mut self, envelope: Envelope<C>, out: &mut Outputs<C>) {
        if envelope.to != self.id {
            return;
        }
        let Envelope { from, term, message, .. } = envelope;
        match message {
            Message::PreVote { last_index, last_term } => {
                return self.reply_to_pre_vote(from, term, last_index, last_term, out);
            }
            // A reply that grants a pre-vote has the term of the election that the
            // pre-vote is for, which is later than the current term of both replicas.
            Message::PreVoteReply { granted: true } => {
                return self.count_pre_vote(from, term, out);
            }
            _ => {}
        }
        if term > self.term() {
            self.become_follower(term, None, out);
        }
        if term < self.term() {
            return self.reply_to_stale_term(from, &message, out);
        }
        match message {
            Message::Vote { last_index, last_term } => {
                self.reply_to_vote(from, last_index, last_term, out);
            }
            Message::VoteReply { granted } => self.count_vote(from, granted, out),
            Message::Append { prev_index, prev_term, entries, commit, round } => {
                self.accept_leader(from, out);
                self.handle_append(from, prev_index, prev_term, entries, commit, round, out);
            }
            Message::AppendReply { matched, round } => {
                self.handle_append_reply(from, matched, round, out)
            }
            Message::AppendConflict { last_index, round } => {
                self.handle_append_conflict(from, last_index, round, out);
            }
            Message::Install { index, snapshot_term, members, offset, data, done, round } => {
                self.accept_leader(from, out);
                let chunk = Snapshot { index, term: snapshot_term, members, data };
                self.handle_install(from, chunk, offset, done, round, out);
            }
            Message::InstallReply { index, offset, round } => {
                self.handle_install_reply(from, index, offset, round, out);
            }
            Message::PreVote { .. } | Message::PreVoteReply { .. } => {}
        }
    }

    /// Replies to a message of an earlier term, so that its sender learns the current
    /// term.
    fn reply_to_stale_term(&self, from: ReplicaId, message: &Message<C>, out: &mut Outputs<C>) {
        let reply = match message {
            Message::Vote { .. } => Message::VoteReply { granted: false },
            Message::Append { .. } | Message::Install { .. } => {
                Message::AppendConflict { last_index: self.durable.last_index(), round: 0 }
            }
            _ => return,
        };
        self.send(from, reply, out);
    }

    fn record_commit(&mut self, out: &mut Outputs<C>) {
        if self.commit_index > self.durable.commit_index {
            self.durable.commit_index = self.commit_index;
            out.commit_index = Some(self.commit_index);
        }
    }

    fn accept_leader(&mut self, leader: ReplicaId, out: &mut Outputs<C>) {
        self.role = Role::Follower;
        self.leader = Some(leader);
        out.reset_election_timeout = true;
    }

    /// Becomes a follower, and enters `term` if it is later than the current one.
    pub(super) fn become_follower(
        &mut self,
        term: Term,
        leader: Option<ReplicaId>,
        out: &mut Outputs<C>,
    ) {
        if term > self.term() {
            self.durable.ballot = Ballot { term, voted_for: None };
            out.ballot = Some(self.durable.ballot);
        }
        self.role = Role::Follower;
        self.leader = leader;
    }

    #[allow(clippy::too_many_arguments)]
    fn handle_append(
        &mut self,
        from: ReplicaId,
        prev_index: LogIndex,
        prev_term: Term,
        entries: Vec<Entry<C>>,
        commit: LogIndex,
        round: Round,
        out: &mut Outputs<C>,
    ) {
        let matched = prev_index + entries.len() as u64;
        if prev_index >= self.durable.snapshot.index
            && self.durable.term_at(prev_index) != Some(prev_term)
        {
            let last_index = self.durable.last_index().min(prev_index.saturating_sub(1));
            return self.send(from, Message::AppendConflict { last_index, round }, out);
        }
        for entry in entries {
            self.append_entry(entry, out);
        }
        self.commit_to(commit.min(matched), out);
        out.is_current = self.commit_index >= commit && self.has_committed_in_term();
        self.send(from, Message::AppendReply { matched, round }, out);
    }

    /// Appends an entry unless the log already has it. An entry that the log has
    /// must not be written again, because that would remove the entries after it.
    fn append_entry(&mut self, entry: Entry<C>, out: &mut Outputs<C>) {
        let is_present = entry.index <= self.durable.snapshot.index
            || self.durable.term_at(entry.index) == Some(entry.term);
        if is_present {
            return;
        }
        assert!(
            entry.index > self.commit_index,
            "replica {} was told to drop the committed entry {}",
            self.id,
            entry.index
        );
        self.durable.truncate_and_push(entry.clone());
        out.entries.push(entry);
    }

    /// Marks entries as committed and adds them to the outputs to be applied.
    pub(super) fn commit_to(&mut self, index: LogIndex, out: &mut Outputs<C>) {
        let index = index.min(self.durable.last_index());
        while self.commit_index < index {
            self.commit_index += 1;
            let entry = self.durable.get(self.commit_index).cloned();
            out.committed.extend(entry);
        }
    }

    pub(super) fn send(&self, to: ReplicaId, message: Message<C>, out: &mut Outputs<C>) {
        self.send_in_term(to, self.term(), message, out);
    }

    pub(super) fn send_in_term(
        &self,
        to: ReplicaId,
        term: Term,
        message: Message<C>,
        out: &mut Outputs<C>,
    ) {
        out.messages.push(Envelope { from: self.id, to, term, message });
    }

    pub(super) fn other_members(&self) -> Vec<ReplicaId> {
        self.members().iter().map(|(id, _)| id).filter(|id| *id != self.id).collect()
    }
}
