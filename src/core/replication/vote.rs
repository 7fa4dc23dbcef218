//! Leader election, with a pre-vote before each vote.

use std::collections::BTreeSet;

use serde::Serialize;

use super::{
    Ballot, LeaderState, LogIndex, Message, Outputs, Payload, RaftNode, ReplicaId, Role, Term,
};

/// Counts the votes given to a candidate.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Tally {
    granted_by: BTreeSet<ReplicaId>,
}

impl<C: Clone + Serialize> RaftNode<C> {
    /// Requests pre-votes, to find out whether this replica could win an election.
    /// No term changes, so a replica that returns after a network partition does not
    /// depose the leader.
    pub(super) fn start_pre_vote(&mut self, out: &mut Outputs<C>) {
        if self.is_leader() {
            return;
        }
        self.leader = None;
        if !self.members().is_voter(self.id) {
            return;
        }
        self.role = Role::PreCandidate(Tally::default());
        let next_term = self.term() + 1;
        for voter in self.other_voters() {
            self.send_in_term(voter, next_term, self.pre_vote(), out);
        }
        self.count_pre_vote(self.id, next_term, out);
    }

    pub(super) fn reply_to_pre_vote(
        &self,
        from: ReplicaId,
        term: Term,
        last_index: LogIndex,
        last_term: Term,
        out: &mut Outputs<C>,
    ) {
        let granted = term > self.term()
            && self.leader.is_none()
            && self.is_log_up_to_date(last_index, last_term);
        let reply_term = if granted { term } else { self.term() };
        self.send_in_term(from, reply_term, Message::PreVoteReply { granted }, out);
    }

    pub(super) fn count_pre_vote(&mut self, from: ReplicaId, term: Term, out: &mut Outputs<C>) {
        let next_term = self.term() + 1;
        let members = self.durable.members().1.clone();
        let Role::PreCandidate(tally) = &mut self.role else { return };
        if term != next_term {
            return;
        }
        tally.granted_by.insert(from);
        let granted_by = &tally.granted_by;
        if members.has_quorum(|id| granted_by.contains(&id)) {
            self.start_election(out);
        }
    }

    fn start_election(&mut self, out: &mut Outputs<C>) {
        let ballot = Ballot { term: self.term() + 1, voted_for: Some(self.id) };
        self.durable.ballot = ballot;
        out.ballot = Some(ballot);
        out.reset_election_timeout = true;
        self.role = Role::Candidate(Tally::default());
        for voter in self.other_voters() {
            self.send(voter, self.vote(), out);
        }
        self.count_vote(self.id, true, out);
    }

    pub(super) fn reply_to_vote(
        &mut self,
        from: ReplicaId,
        last_index: LogIndex,
        last_term: Term,
        out: &mut Outputs<C>,
    ) {
        let can_vote = self.durable.ballot.voted_for.is_none_or(|id| id == from);
        let granted =
            can_vote && self.leader.is_none() && self.is_log_up_to_date(last_index, last_term);
        if granted {
            self.durable.ballot.voted_for = Some(from);
            out.ballot = Some(self.durable.ballot);
            out.reset_election_timeout = true;
        }
        self.send(from, Message::VoteReply { granted }, out);
    }

    pub(super) fn count_vote(&mut self, from: ReplicaId, granted: bool, out: &mut Outputs<C>) {
        let members = self.durable.members().1.clone();
        let Role::Candidate(tally) = &mut self.role else { return };
        if !granted {
            return;
        }
        tally.granted_by.insert(from);
        let granted_by = &tally.granted_by;
        if members.has_quorum(|id| granted_by.contains(&id)) {
            self.become_leader(out);
        }
    }

    fn become_leader(&mut self, out: &mut Outputs<C>) {
        self.leader = Some(self.id);
        self.role = Role::Leader(LeaderState::new(self.other_members(), self.durable.last_index()));
        // Entries of earlier terms can be committed only together with one of the
        // current term, so a new leader appends one immediately.
        self.propose(Payload::Noop, out);
        out.proposed = None;
    }

    fn is_log_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        (last_term, last_index) >= (self.durable.last_term(), self.durable.last_index())
    }

    fn pre_vote(&self) -> Message<C> {
        Message::PreVote {
            last_index: self.durable.last_index(),
            last_term: self.durable.last_term(),
        }
    }

    fn vote(&self) -> Message<C> {
        Message::Vote { last_index: self.durable.last_index(), last_term: self.durable.last_term() }
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        self.members().voters().filter(|id| *id != self.id).collect()
    }
}
