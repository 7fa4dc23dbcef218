//! Replicas of the log, the messages between them, and what may go wrong.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use bulrushspan::core::replication::{
    Ballot, DurableState, Entry, Envelope, Input, LogIndex, Members, MessageLimits, Node, Outputs,
    Payload, ReplicaId, Role, Round, Term,
};

use rand::{Rng, rngs::StdRng};

/// Replicas, messages under way, and what an observer has seen.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    pub nodes: BTreeMap<ReplicaId, Rc<Node<u8>>>,
    /// Messages under way. One may arrive in any order, twice, or never.
    pub network: BTreeSet<Rc<Envelope<u8>>>,
    pub left: Budget,
    seen: Rc<Seen>,
    fault: Option<Fault>,
}

/// Bounds how often each thing may still happen.
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

/// A fault that is planted to show that the model finds it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    /// A crash forgets the vote of the current term.
    ForgottenVote,
    /// A crash forgets the last entry, though it was acknowledged.
    ForgottenEntry,
    /// A replica whose disk was lost comes back under its old id.
    OldIdentity,
    /// A change of members gains and loses votes in one step.
    TwoVotesAtOnce,
    /// A leader answers a read without asking whether it still leads.
    UnconfirmedRead,
}

/// What an observer has seen, and whether it breaks an invariant.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Seen {
    committed: BTreeMap<LogIndex, (Term, Payload<u8>)>,
    leaders: BTreeMap<Term, ReplicaId>,
    /// What was committed when a leader's newest round began.
    round_floor: BTreeMap<ReplicaId, (Round, LogIndex)>,
    violation: Option<&'static str>,
}

/// In long runs, messages beyond this many are lost.
const UNDER_WAY_MAX: usize = 12;
const LIMITS: MessageLimits = MessageLimits { entries_max: 2, chunk_bytes: 1 };

impl World {
    pub fn new(replicas: u64, left: Budget) -> Self {
        let members = Members::new((1..=replicas).map(|id| (id, format!("i{id}"))));
        let nodes = (1..=replicas)
            .map(|id| (id, rebuilt(id, DurableState::new(members.clone()))))
            .collect();
        Self { nodes, network: BTreeSet::new(), left, seen: Rc::default(), fault: None }
    }

    pub fn with_fault(mut self, fault: Fault) -> Self {
        self.fault = Some(fault);
        self
    }

    /// Elects a leader and commits its first entry, without anything going
    /// wrong, to begin from there.
    pub fn with_leader(mut self, id: ReplicaId) -> Self {
        let left = self.left;
        self.left = Budget { elections: 1, heartbeats: 1, ..Budget::default() };
        self = self.step(id, Input::ElectionTimeout);
        self = self.deliver_all();
        self = self.step(id, Input::HeartbeatTimeout).deliver_all();
        self.left = left;
        self
    }

    /// Loses messages at random while many are under way.
    pub fn lose_some(mut self, random: &mut StdRng) -> Self {
        while self.network.len() > UNDER_WAY_MAX {
            let lost = random.random_range(0..self.network.len());
            let lost = self.network.iter().nth(lost).cloned();
            self.network.remove(&lost.unwrap());
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
        self.seen.violation
    }

    pub fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for message in &self.network {
            next.push(self.clone().deliver(message, true));
            if self.left.duplicates > 0 {
                let mut world = self.clone();
                world.left.duplicates -= 1;
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
        let leads = self.nodes[&id].is_leader();
        if self.left.elections > 0 && !leads {
            let mut world = self.clone();
            world.left.elections -= 1;
            // The others' timeouts come with it: a pre-vote is refused by
            // whoever still hears a leader.
            for other in self.nodes.keys().filter(|other| **other != id) {
                if !world.nodes[other].is_leader() {
                    let silent = world.clone().silence(*other);
                    next.push(silent.step(id, Input::ElectionTimeout));
                }
            }
            next.push(world.step(id, Input::ElectionTimeout));
        }
        if self.left.heartbeats > 0 && leads {
            let mut world = self.clone();
            world.left.heartbeats -= 1;
            next.push(world.step(id, Input::HeartbeatTimeout));
        }
        next
    }

    /// Lets a replica lose sight of its leader without standing itself.
    fn silence(mut self, id: ReplicaId) -> Self {
        let mut node = Node::clone(&self.nodes[&id]);
        node.step(Input::ElectionTimeout);
        self.nodes.insert(id, Rc::new(node));
        self
    }

    fn commands(&self, id: ReplicaId) -> Vec<Self> {
        let node = &self.nodes[&id];
        let mut next = Vec::new();
        if self.left.proposals > 0 && node.is_leader() {
            let mut world = self.clone();
            world.left.proposals -= 1;
            let command = self.left.proposals as u8;
            next.push(world.step(id, Input::Propose(command)));
        }
        if self.left.compactions > 0 && node.commit_index() > node.durable().snapshot.index {
            let mut world = self.clone();
            world.left.compactions -= 1;
            let index = node.commit_index();
            next.push(world.step(id, Input::Compact { index, data: vec![index as u8, 0] }));
        }
        if self.left.member_changes > 0 && node.is_leader() {
            for members in self.member_steps(node) {
                let mut world = self.clone();
                world.left.member_changes -= 1;
                next.push(world.step(id, Input::ProposeMembers(members)));
            }
        }
        next
    }

    /// Lists the steps that replace replica 3 by replica 4.
    fn member_steps(&self, node: &Node<u8>) -> Vec<Members> {
        let members = node.members().clone();
        if self.fault == Some(Fault::TwoVotesAtOnce) {
            return vec![members.without(1).without(2)];
        }
        let mut steps = Vec::new();
        if members.get(4).is_none() && self.nodes.contains_key(&4) {
            steps.push(members.clone().with_learner(4, "i4".into()));
        }
        if members.get(3).is_some() {
            steps.push(members.clone().without(3));
        }
        if members.get(4).is_some_and(|member| !member.voter) {
            steps.push(members.with_vote(4));
        }
        steps
    }

    fn failures(&self, id: ReplicaId) -> Vec<Self> {
        let mut next = Vec::new();
        if self.left.crashes > 0 {
            let mut world = self.clone();
            world.left.crashes -= 1;
            let durable = world.after_crash(self.nodes[&id].durable().clone());
            world.nodes.insert(id, rebuilt(id, durable));
            next.push(world);
        }
        if self.left.lost_disks > 0 && id == 3 {
            let mut world = self.clone();
            world.left.lost_disks -= 1;
            let (back, members) = match self.fault {
                Some(Fault::OldIdentity) => (3, self.nodes[&1].members().clone()),
                _ => (4, Members::default()),
            };
            world.nodes.remove(&3);
            world.nodes.insert(back, rebuilt(back, DurableState::new(members)));
            next.push(world);
        }
        next
    }

    fn after_crash(&self, mut durable: DurableState<u8>) -> DurableState<u8> {
        match self.fault {
            Some(Fault::ForgottenVote) => {
                durable.ballot = Ballot { voted_for: None, ..durable.ballot };
            }
            Some(Fault::ForgottenEntry) => {
                durable.entries.pop();
            }
            _ => {}
        }
        durable
    }

    fn deliver(mut self, message: &Envelope<u8>, take: bool) -> Self {
        if take {
            self.network.remove(message);
        }
        if !self.nodes.contains_key(&message.to) {
            return self;
        }
        self.step(message.to, Input::Receive(message.clone()))
    }

    pub fn step(mut self, id: ReplicaId, input: Input<u8>) -> Self {
        if let (Some(Fault::TwoVotesAtOnce), Input::ProposeMembers(members)) = (self.fault, &input)
        {
            return self.force_members(id, members.clone());
        }
        let mut node = Node::clone(&self.nodes[&id]);
        let before = node.rounds().map(|(begun, _)| begun);
        let out = node.step(input);
        self.nodes.insert(id, Rc::new(node));
        self.observe(id, &out, before);
        self.network.extend(out.messages.into_iter().map(Rc::new));
        self
    }

    /// Puts members into a leader's log that the protocol would refuse.
    fn force_members(mut self, id: ReplicaId, members: Members) -> Self {
        let mut durable = self.nodes[&id].durable().clone();
        let (index, term) = (durable.last_index() + 1, durable.ballot.term);
        durable.truncate_and_push(Entry { index, term, payload: Payload::Members(members) });
        self.nodes.insert(id, rebuilt(id, durable));
        self
    }

    fn observe(&mut self, id: ReplicaId, out: &Outputs<u8>, round_before: Option<Round>) {
        for entry in &out.committed {
            self.observe_commit(entry);
        }
        let node = &self.nodes[&id];
        let Role::Leader(_) = node.role() else { return };
        let (term, seen) = (node.term(), Rc::make_mut(&mut self.seen));
        let holder = *seen.leaders.entry(term).or_insert(id);
        if holder != id {
            Rc::make_mut(&mut self.seen).violation = Some("two leaders in one term");
        }
        self.observe_round(id, round_before);
    }

    fn observe_commit(&mut self, entry: &Entry<u8>) {
        let seen = (entry.term, entry.payload.clone());
        let held = Rc::make_mut(&mut self.seen);
        let first = held.committed.entry(entry.index).or_insert_with(|| seen.clone());
        if *first != seen {
            Rc::make_mut(&mut self.seen).violation = Some("a committed entry was replaced");
        }
    }

    /// A read that waits for a round which began after it arrived must show
    /// all that was committed when it arrived.
    fn observe_round(&mut self, id: ReplicaId, before: Option<Round>) {
        let node = &self.nodes[&id];
        let Some((begun, confirmed)) = node.rounds() else { return };
        let committed = self.seen.committed.keys().next_back().copied().unwrap_or(0);
        if before != Some(begun) {
            let seen = Rc::make_mut(&mut self.seen);
            seen.round_floor.insert(id, (begun, committed));
        }
        let Some((round, floor)) = self.seen.round_floor.get(&id).copied() else { return };
        let sure = confirmed >= round || self.fault == Some(Fault::UnconfirmedRead);
        if sure && node.has_committed_in_term() && node.commit_index() < floor {
            Rc::make_mut(&mut self.seen).violation = Some("a read missed a committed entry");
        }
    }
}

/// Returns a replica that starts with a durable state.
fn rebuilt(id: ReplicaId, durable: DurableState<u8>) -> Rc<Node<u8>> {
    Rc::new(Node::new(id, durable).with_limits(LIMITS))
}
