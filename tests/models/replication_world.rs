//! Models replicas of the log, the messages between them, and failures.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use bulrushspan::core::replication::{
    Ballot, DurableState, Entry, Envelope, Input, LogIndex, Members, MessageLimits, Outputs,
    Payload, RaftNode, ReplicaId, Role, Round, Term,
};

use rand::{Rng, rngs::StdRng};

/// Replicas, messages in transit, and what has been observed so far.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    pub nodes: BTreeMap<ReplicaId, Rc<RaftNode<u8>>>,
    /// Messages in transit. They may arrive in any order, twice, or never.
    pub network: BTreeSet<Rc<Envelope<u8>>>,
    pub remaining: Budget,
    observations: Rc<Observations>,
    fault: Option<Fault>,
}

/// Bounds how often each kind of event may still occur.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Budget {
    pub elections: u32,
    pub proposals: u32,
    pub heartbeats: u32,
    pub crashes: u32,
    pub duplicates: u32,
    pub compactions: u32,
    pub lost_disks: u32,
    pub member_changes: u32,
}

/// A fault planted to show that the model finds it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    /// A crash loses the vote of the current term.
    LostVote,
    /// A crash loses the last entry although it was acknowledged.
    LostEntry,
    /// A replica that lost its disk restarts under its old id.
    ReusedId,
    /// One change of members removes two voters at once.
    TwoVotersRemoved,
    /// A leader replies to a read without confirming that it still leads.
    UnconfirmedRead,
}

/// What has been observed of all replicas, and whether it breaks an invariant.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Observations {
    committed: BTreeMap<LogIndex, (Term, Payload<u8>)>,
    leaders: BTreeMap<Term, ReplicaId>,
    /// The newest round of each leader, and the highest index that was committed
    /// on any replica when it began.
    round_start_commit: BTreeMap<ReplicaId, (Round, LogIndex)>,
    violation: Option<&'static str>,
}

/// In long runs, messages beyond this many are dropped.
const IN_TRANSIT_MAX: usize = 12;
const LIMITS: MessageLimits = MessageLimits {
    entries_max: 2,
    chunk_bytes: 1,
    window_bytes: 80,
    windows_bytes: 160,
    uncommitted_max_bytes: u64::MAX,
};

impl World {
    pub fn new(replicas: u64, budget: Budget) -> Self {
        let members = Members::new((1..=replicas).map(|id| (id, format!("i{id}"))));
        let nodes = (1..=replicas)
            .map(|id| (id, start_replica(id, DurableState::new(members.clone()))))
            .collect();
        Self {
            nodes,
            network: BTreeSet::new(),
            remaining: budget,
            observations: Rc::default(),
            fault: None,
        }
    }

    pub fn with_fault(mut self, fault: Fault) -> Self {
        self.fault = Some(fault);
        self
    }

    /// Elects a leader and commits its first entry without failures, to get
    /// the state in which a search starts.
    pub fn with_leader(mut self, id: ReplicaId) -> Self {
        let remaining = self.remaining;
        self.remaining = Budget { elections: 1, heartbeats: 1, ..Budget::default() };
        self = self.step(id, Input::ElectionTimeout);
        self = self.deliver_all();
        self = self.step(id, Input::HeartbeatTimeout).deliver_all();
        self.remaining = remaining;
        self
    }

    /// Drops random messages while more than [`IN_TRANSIT_MAX`] are in transit.
    pub fn drop_messages(mut self, random: &mut StdRng) -> Self {
        while self.network.len() > IN_TRANSIT_MAX {
            let index = random.random_range(0..self.network.len());
            let dropped_message = self.network.iter().nth(index).cloned();
            self.network.remove(&dropped_message.unwrap());
        }
        self
    }

    pub fn deliver_all(mut self) -> Self {
        while let Some(message) = self.network.first().cloned() {
            self = self.deliver(&message, true);
        }
        self
    }

    pub fn violation(&self) -> Option<&'static str> {
        self.observations.violation
    }

    /// Returns the worlds that are reachable by one event.
    pub fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for message in &self.network {
            next.push(self.clone().deliver(message, true));
            if self.remaining.duplicates > 0 {
                let mut world = self.clone();
                world.remaining.duplicates -= 1;
                next.push(world.deliver(message, false));
            }
        }
        for id in self.nodes.keys() {
            next.extend(self.timeouts(*id));
            next.extend(self.commands(*id));
            next.extend(self.failures(*id));
        }
        next
    }

    fn timeouts(&self, id: ReplicaId) -> Vec<Self> {
        let mut next = Vec::new();
        let is_leader = self.nodes[&id].is_leader();
        if self.remaining.elections > 0 && !is_leader {
            let mut world = self.clone();
            world.remaining.elections -= 1;
            // A replica that still receives messages from a leader refuses a
            // pre-vote, so another replica may time out first.
            for other in self.nodes.keys().filter(|other| **other != id) {
                if !world.nodes[other].is_leader() {
                    let timed_out_world = world.clone().time_out_silently(*other);
                    next.push(timed_out_world.step(id, Input::ElectionTimeout));
                }
            }
            next.push(world.step(id, Input::ElectionTimeout));
        }
        if self.remaining.heartbeats > 0 && is_leader {
            let mut world = self.clone();
            world.remaining.heartbeats -= 1;
            next.push(world.step(id, Input::HeartbeatTimeout));
        }
        next
    }

    /// Triggers a replica's election timeout, and drops the messages that it sends.
    fn time_out_silently(mut self, id: ReplicaId) -> Self {
        let mut node = RaftNode::clone(&self.nodes[&id]);
        node.step(Input::ElectionTimeout);
        self.nodes.insert(id, Rc::new(node));
        self
    }

    fn commands(&self, id: ReplicaId) -> Vec<Self> {
        let node = &self.nodes[&id];
        let mut next = Vec::new();
        if self.remaining.proposals > 0 && node.is_leader() {
            let mut world = self.clone();
            world.remaining.proposals -= 1;
            let command = self.remaining.proposals as u8;
            next.push(world.step(id, Input::Propose(command)));
        }
        if self.remaining.compactions > 0 && node.commit_index() > node.durable().snapshot.index {
            let mut world = self.clone();
            world.remaining.compactions -= 1;
            let index = node.commit_index();
            next.push(world.step(id, Input::Compact { index, data: vec![index as u8, 0] }));
        }
        if self.remaining.member_changes > 0 && node.is_leader() {
            for members in self.member_changes(node) {
                let mut world = self.clone();
                world.remaining.member_changes -= 1;
                next.push(world.step(id, Input::ProposeMembers(members)));
            }
        }
        next
    }

    /// Returns the possible next steps of replacing replica 3 by replica 4.
    fn member_changes(&self, node: &RaftNode<u8>) -> Vec<Members> {
        let members = node.members().clone();
        if self.fault == Some(Fault::TwoVotersRemoved) {
            return vec![members.without(1).without(2)];
        }
        let mut changes = Vec::new();
        if members.get(4).is_none() && self.nodes.contains_key(&4) {
            changes.push(members.clone().with_learner(4, "i4".into()));
        }
        if members.get(3).is_some() {
            changes.push(members.clone().without(3));
        }
        if members.get(4).is_some_and(|member| !member.voter) {
            changes.push(members.with_vote(4));
        }
        changes
    }

    fn failures(&self, id: ReplicaId) -> Vec<Self> {
        let mut next = Vec::new();
        if self.remaining.crashes > 0 {
            let mut world = self.clone();
            world.remaining.crashes -= 1;
            let durable = world.after_crash(self.nodes[&id].durable().clone());
            world.nodes.insert(id, start_replica(id, durable));
            next.push(world);
        }
        if self.remaining.lost_disks > 0 && id == 3 {
            let mut world = self.clone();
            world.remaining.lost_disks -= 1;
            let (new_id, members) = match self.fault {
                Some(Fault::ReusedId) => (3, self.nodes[&1].members().clone()),
                _ => (4, Members::default()),
            };
            world.nodes.remove(&3);
            world.nodes.insert(new_id, start_replica(new_id, DurableState::new(members)));
            next.push(world);
        }
        next
    }

    /// Returns the durable state that a replica has after a crash.
    fn after_crash(&self, mut durable: DurableState<u8>) -> DurableState<u8> {
        match self.fault {
            Some(Fault::LostVote) => {
                durable.ballot = Ballot { voted_for: None, ..durable.ballot };
            }
            Some(Fault::LostEntry) => {
                durable.entries.pop();
            }
            _ => {}
        }
        durable
    }

    /// Delivers a message, and keeps it in transit unless `remove` is set.
    fn deliver(mut self, message: &Envelope<u8>, remove: bool) -> Self {
        if remove {
            self.network.remove(message);
        }
        if !self.nodes.contains_key(&message.to) {
            return self;
        }
        self.step(message.to, Input::Receive(message.clone()))
    }

    pub fn step(mut self, id: ReplicaId, input: Input<u8>) -> Self {
        if let (Some(Fault::TwoVotersRemoved), Input::ProposeMembers(members)) =
            (self.fault, &input)
        {
            return self.force_members(id, members.clone());
        }
        let mut node = RaftNode::clone(&self.nodes[&id]);
        let round_before = node.rounds().map(|(latest, _)| latest);
        let outputs = node.step(input);
        self.nodes.insert(id, Rc::new(node));
        self.observe(id, &outputs, round_before);
        self.network.extend(outputs.messages.into_iter().map(Rc::new));
        self
    }

    /// Appends to a leader's log a change of members that the protocol would
    /// refuse.
    fn force_members(mut self, id: ReplicaId, members: Members) -> Self {
        let mut durable = self.nodes[&id].durable().clone();
        let (index, term) = (durable.last_index() + 1, durable.ballot.term);
        durable.truncate_and_push(Entry { index, term, payload: Payload::Members(members) });
        self.nodes.insert(id, start_replica(id, durable));
        self
    }

    fn observe(&mut self, id: ReplicaId, outputs: &Outputs<u8>, round_before: Option<Round>) {
        for entry in &outputs.committed {
            self.observe_commit(entry);
        }
        let node = &self.nodes[&id];
        let Role::Leader(_) = node.role() else { return };
        let (term, observations) = (node.term(), Rc::make_mut(&mut self.observations));
        let leader = *observations.leaders.entry(term).or_insert(id);
        if leader != id {
            Rc::make_mut(&mut self.observations).violation = Some("two leaders in one term");
        }
        self.observe_round(id, round_before);
    }

    fn observe_commit(&mut self, entry: &Entry<u8>) {
        let term_and_payload = (entry.term, entry.payload.clone());
        let observations = Rc::make_mut(&mut self.observations);
        let first =
            observations.committed.entry(entry.index).or_insert_with(|| term_and_payload.clone());
        if *first != term_and_payload {
            Rc::make_mut(&mut self.observations).violation = Some("a committed entry was replaced");
        }
    }

    /// Checks that a read sees all entries that were committed when it arrived,
    /// if it waits for a round that began later.
    fn observe_round(&mut self, id: ReplicaId, round_before: Option<Round>) {
        let node = &self.nodes[&id];
        let Some((latest, confirmed)) = node.rounds() else { return };
        let last_committed = self.observations.committed.keys().next_back().copied().unwrap_or(0);
        if round_before != Some(latest) {
            let observations = Rc::make_mut(&mut self.observations);
            observations.round_start_commit.insert(id, (latest, last_committed));
        }
        let Some((round, start_commit)) = self.observations.round_start_commit.get(&id).copied()
        else {
            return;
        };
        let is_confirmed = confirmed >= round || self.fault == Some(Fault::UnconfirmedRead);
        if is_confirmed && node.has_committed_in_term() && node.commit_index() < start_commit {
            Rc::make_mut(&mut self.observations).violation =
                Some("a read missed a committed entry");
        }
    }
}

/// Returns a replica that starts with this durable state.
fn start_replica(id: ReplicaId, durable: DurableState<u8>) -> Rc<RaftNode<u8>> {
    Rc::new(RaftNode::new(id, durable).with_limits(LIMITS))
}
