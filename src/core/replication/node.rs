//! The protocol of one replica.

use super::{
    Ballot, DurableState, Entry, Envelope, LeaderState, LogIndex, Members, MembersError, Message,
    Payload, ReplicaId, Round, Snapshot, Term, snapshot::PartialSnapshot, vote::Tally,
};

/// Runs the protocol of one replica.
///
/// The state includes what is durable: a driver that restarts builds a node
/// from [`DurableState`] alone.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Node<C> {
    pub(super) id: ReplicaId,
    pub(super) limits: MessageLimits,
    pub(super) durable: DurableState<C>,
    pub(super) role: Role,
    pub(super) leader: Option<ReplicaId>,
    pub(super) commit_index: LogIndex,
    pub(super) partial_snapshot: Option<PartialSnapshot>,
}

/// Bounds the size of messages.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MessageLimits {
    /// The most entries in one message.
    pub entries_max: usize,
    /// The length of a chunk of a snapshot.
    pub chunk_bytes: usize,
}

impl Default for MessageLimits {
    fn default() -> Self {
        Self { entries_max: 256, chunk_bytes: 256 * 1024 }
    }
}

/// Says what part a replica plays.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it could win an election.
    PreCandidate(Tally),
    /// Stands for election.
    Candidate(Tally),
    /// Leads.
    Leader(LeaderState),
}

/// Says what happens to a replica.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Input<C> {
    /// No leader was heard for an election timeout.
    ElectionTimeout,
    /// A heartbeat is due.
    HeartbeatTimeout,
    /// A leader must find out whether a quorum was heard since the last time.
    QuorumTimeout,
    /// A message arrived.
    Receive(Envelope<C>),
    /// A command is to be committed.
    Propose(C),
    /// The members are to be replaced.
    ProposeMembers(Members),
    /// The index up to which the log is committed is to be made durable.
    RecordCommit,
    /// The state as of `index` was encoded; the log up to there may go.
    Compact {
        /// The index of the snapshot.
        index: LogIndex,
        /// The chunk.
        data: Vec<u8>,
    },
}

/// Says what a driver must do after a step, in the order of the fields.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outputs<C> {
    /// The ballot to make durable.
    pub ballot: Option<Ballot>,
    /// The snapshot to make durable.
    pub snapshot: Option<Snapshot>,
    /// The entries to make durable; each replaces what stood at its index and
    /// after it.
    pub entries: Vec<Entry<C>>,
    /// The index up to which the log is committed, to make durable.
    pub commit_index: Option<LogIndex>,
    /// The messages to send once the above is durable.
    pub messages: Vec<Envelope<C>>,
    /// The state to restore before `committed` is applied.
    pub restore: Option<Snapshot>,
    /// The entries to apply.
    pub committed: Vec<Entry<C>>,
    /// Whether a leader was heard or a vote given, so that the election
    /// timeout starts anew.
    pub reset_election_timeout: bool,
    /// The index and term at which a proposal was written.
    pub proposed: Option<(LogIndex, Term)>,
    /// Why a proposal was not taken.
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
            proposed: None,
            refused: None,
        }
    }
}

/// Says why a proposal was not taken.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ProposalError {
    /// Another replica leads, as far as is known.
    NotLeader(Option<ReplicaId>),
    /// An earlier change of members is not committed yet, or nothing of this
    /// leader's term is.
    MembersPending,
    /// The change of members is not a safe step.
    Members(MembersError),
}

impl<C: Clone> Node<C> {
    /// Returns a follower with the given durable state.
    pub fn new(id: ReplicaId, durable: DurableState<C>) -> Self {
        // What was committed before a restart may be applied before a leader
        // is known.
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

    /// Replaces the bounds on messages.
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

    /// Returns the part that the replica plays.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Returns the leader of the current term, as far as is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Tells whether the replica believes that it leads.
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

    /// Tells whether an entry of the current term is committed, so that all
    /// earlier terms' committed entries were applied here.
    pub fn has_committed_in_term(&self) -> bool {
        self.durable.term_at(self.commit_index) == Some(self.term())
    }

    /// Returns the round that a leader last began, and the newest one that a
    /// quorum answered. Leadership was sure when the latter began.
    pub fn rounds(&self) -> Option<(Round, Round)> {
        let Role::Leader(leader_state) = &self.role else { return None };
        let confirmed = self.members().quorum_value(|id| {
            if id == self.id { leader_state.round() } else { leader_state.last_acked_round(id) }
        });
        Some((leader_state.round(), confirmed))
    }

    /// Takes one input and returns what is to be done about it.
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
                return self.answer_pre_vote(from, term, last_index, last_term, out);
            }
            // A granted reply repeats the term asked about, which is ahead of
            // the term of both sides.
            Message::PreVoteReply { granted: true } => {
                return self.count_pre_vote(from, term, out);
            }
            _ => {}
        }
        if term > self.term() {
            self.become_follower(term, None, out);
        }
        if term < self.term() {
            return self.answer_stale_term(from, &message, out);
        }
        match message {
            Message::Vote { last_index, last_term } => {
                self.answer_vote(from, last_index, last_term, out);
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

    /// Tells a sender of an earlier term about the current one.
    fn answer_stale_term(&self, from: ReplicaId, message: &Message<C>, out: &mut Outputs<C>) {
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

    /// Becomes a follower, in a later term if `term` is one.
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
        self.send(from, Message::AppendReply { matched, round }, out);
    }

    /// Puts an entry into the log unless it is there already. An entry that
    /// is there is never put again: that would drop what follows it.
    fn append_entry(&mut self, entry: Entry<C>, out: &mut Outputs<C>) {
        let is_held = entry.index <= self.durable.snapshot.index
            || self.durable.term_at(entry.index) == Some(entry.term);
        if is_held {
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

    /// Marks entries as committed and hands them out to be applied.
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
