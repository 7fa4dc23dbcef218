//! Runs a control replica: one actor round the replicated log, the control
//! state, and the leader's sessions.

mod disk;
mod handlers;
mod join;
mod pending;
mod queries;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use tokio::sync::{oneshot, watch};
use tracing::{error, info};
use xtra::prelude::*;

pub(super) use self::handlers::{
    CatchUp, Changes, ChangesReply, CurrentPolicy, Deliver, Probe, Query, Submit, Subscribe, Tick,
    Watch,
};
use self::{disk::DiskWriter, handlers::Flush};
use super::{clock::Clock, metrics::Metrics, peers::Peers};
use crate::{
    core::{
        control::{
            Command, ControlLimits, ControlState, InstanceName, Outcome, PlanInputs, Seed,
            Sessions, SessionsConfig, Topology, Version, plan,
        },
        replication::{
            DurableState, Entry, Envelope, Input, LogIndex, Node, Outputs, Payload, Round,
            Snapshot, Term, Timers, TimersConfig,
        },
    },
    net::wire::{QueryReply, QueryRequest, SubmitReply, WatchReply, WatchRequest, decode, encode},
    settings::{Settings, Timing},
    storage::Store,
};

/// Runs a control replica.
#[derive(xtra::Actor)]
pub(super) struct Replica {
    setup: ReplicaSetup,
    clock: Clock,
    metrics: Metrics,
    node: Node<Command>,
    disk: DiskWriter,
    timers: Timers,
    peers: Peers,
    state: ControlState,
    limits: ControlLimits,
    inputs: Vec<(Input<Command>, Option<oneshot::Sender<SubmitReply>>)>,
    flush_queued: bool,
    proposals: BTreeMap<LogIndex, (Term, oneshot::Sender<SubmitReply>)>,
    leader_state: Option<LeaderState>,
    /// When it was last looked how far the log is committed.
    commit_checked_at: Duration,
    /// When this replica, as a follower, last heard its leader.
    leader_heard_at: Option<Duration>,
    pending_watches: Vec<PendingWatch>,
    pending_queries: Vec<PendingQuery>,
    pending_catch_ups: Vec<PendingCatchUp>,
    published: watch::Sender<Version>,
    failure: Option<oneshot::Sender<()>>,
}

/// Holds what a replica is set up with. All replicas use the same.
#[derive(Clone, Debug)]
pub(super) struct ReplicaSetup {
    /// How long things take.
    pub(super) timing: Timing,
    /// What the settings fix of regions, services and upstreams.
    pub(super) topology: Arc<Topology>,
    /// The first state, where the settings give one.
    pub(super) seed: Option<Seed>,
}

impl ReplicaSetup {
    /// Returns what the settings of a whole deployment say.
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            timing: settings.timing,
            topology: Arc::new(settings.topology.clone()),
            seed: Some(settings.seed()),
        }
    }

    /// Returns a setup for instances that know nothing of one another, with
    /// nothing fixed but the timing.
    pub(super) fn with_timing(timing: Timing) -> Self {
        Self { timing, topology: Arc::default(), seed: None }
    }
}

/// Holds what a replica keeps only while it leads.
struct LeaderState {
    sessions: Sessions,
    round_starts: VecDeque<(Round, Duration)>,
    /// When the newest round began that a quorum answered.
    confirmed: Option<(Round, Duration)>,
    last_shift: Duration,
    /// The index of the last proposal of its own; the next plan waits for it.
    planned_through: LogIndex,
}

struct PendingWatch {
    request: WatchRequest,
    received_at: Duration,
    reply: oneshot::Sender<WatchReply>,
}

struct PendingQuery {
    request: QueryRequest,
    received_at: Duration,
    reply: oneshot::Sender<QueryReply>,
}

/// Waits until the state includes an index of the log.
struct PendingCatchUp {
    index: LogIndex,
    reply: oneshot::Sender<()>,
}

/// How often [`Tick`] comes.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// A snapshot is taken after this many entries at the latest.
const COMPACT_ENTRIES_MAX: usize = 100_000;
/// No snapshot is taken before this many entries.
const COMPACT_ENTRIES_MIN: usize = 200;
/// No snapshot is taken because of its length while the log is shorter.
const COMPACT_BYTES_MIN: u64 = 4 * 1024 * 1024;
/// How long a read waits until the leader is sure of its leadership.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);
/// How often it is made durable how far the log is committed.
const RECORD_COMMIT_INTERVAL: Duration = Duration::from_millis(250);
/// The most rounds whose beginning is remembered.
const ROUNDS_MAX: usize = 256;

impl Replica {
    pub(super) fn new(
        setup: ReplicaSetup,
        clock: Clock,
        metrics: Metrics,
        store: Store<Command>,
        durable: DurableState<Command>,
        peers: Peers,
        failure: oneshot::Sender<()>,
    ) -> Result<Self, rmp_serde::decode::Error> {
        let state = decode_state(&durable.snapshot)?;
        let disk = DiskWriter::new(store);
        let node = Node::new(disk.replica(), durable);
        let jitter_fraction = rand::random();
        let timers = Timers::new(timers_config(&setup.timing), jitter_fraction, clock.now());
        let mut replica = Self {
            setup,
            clock,
            metrics,
            node,
            disk,
            timers,
            peers,
            state,
            limits: ControlLimits::default(),
            inputs: Vec::new(),
            flush_queued: false,
            proposals: BTreeMap::new(),
            leader_state: None,
            commit_checked_at: Duration::ZERO,
            leader_heard_at: None,
            pending_watches: Vec::new(),
            pending_queries: Vec::new(),
            pending_catch_ups: Vec::new(),
            published: watch::Sender::new(0),
            failure: Some(failure),
        };
        replica.apply_committed();
        Ok(replica)
    }

    /// Applies what is known to be committed from before the start.
    fn apply_committed(&mut self) {
        let durable = self.node.durable();
        let count = self.node.commit_index().saturating_sub(durable.snapshot.index);
        let committed = durable.slice(durable.snapshot.index + 1, count as usize).to_vec();
        committed.into_iter().for_each(|entry| self.apply_entry(entry));
    }

    /// Gathers an input. All that are in the mailbox by then are carried out
    /// together, with one sync of the disk.
    fn queue(
        &mut self,
        input: Input<Command>,
        reply: Option<oneshot::Sender<SubmitReply>>,
        ctx: &Context<Self>,
    ) {
        self.inputs.push((input, reply));
        if self.flush_queued {
            return;
        }
        self.flush_queued = true;
        if let Some(address) = ctx.mailbox().address().try_upgrade() {
            tokio::spawn(async move { address.send(Flush).await.ok() });
        }
    }

    /// Carries out what was gathered, and what follows from it.
    async fn flush(&mut self, ctx: &mut Context<Self>) {
        self.flush_queued = false;
        while !self.inputs.is_empty() && self.failure.is_some() {
            self.flush_once(ctx).await;
            self.compact_if_needed();
        }
    }

    async fn flush_once(&mut self, ctx: &mut Context<Self>) {
        let mut merged = Outputs::default();
        for (input, reply) in std::mem::take(&mut self.inputs) {
            let outputs = self.node.step(input);
            self.record_proposal(&outputs, reply);
            self.record_rounds();
            self.timers.update(&self.node, &outputs, self.clock.now());
            merge(&mut merged, outputs);
        }
        if let Err(error) = self.disk.save(&mut merged, self.node.durable()).await {
            error!(%error, "the data folder failed; this replica stops");
            return self.fail(ctx);
        }
        let heard_leader = merged.reset_election_timeout;
        for message in std::mem::take(&mut merged.messages) {
            self.send(message);
        }
        self.apply(merged, ctx);
        self.update_role();
        self.record_leader_contact(heard_leader);
        self.answer_pending();
        self.publish();
    }

    fn send(&self, message: Envelope<Command>) {
        if let Some(member) = self.node.members().get(message.to) {
            return self.peers.send(&member.instance, message);
        }
        // A replica that asks without being known yet, or no longer, still
        // gets its answer.
        self.peers.broadcast(message);
    }

    fn record_proposal(
        &mut self,
        outputs: &Outputs<Command>,
        reply: Option<oneshot::Sender<SubmitReply>>,
    ) {
        let Some(reply) = reply else { return };
        match outputs.proposed {
            Some((index, term)) => {
                self.proposals.insert(index, (term, reply));
            }
            None => {
                reply.send(SubmitReply::NotLeader { leader: self.leader_name() }).ok();
            }
        }
    }

    fn record_rounds(&mut self) {
        let now = self.clock.now();
        let (Some(leader_state), Some((latest, confirmed))) =
            (&mut self.leader_state, self.node.rounds())
        else {
            return;
        };
        if leader_state.round_starts.back().is_none_or(|(round, _)| *round < latest) {
            leader_state.round_starts.push_back((latest, now));
        }
        while leader_state.round_starts.front().is_some_and(|(round, _)| *round <= confirmed) {
            let started = leader_state.round_starts.pop_front();
            leader_state.confirmed =
                started.filter(|(round, _)| *round > 0).or(leader_state.confirmed);
        }
        while leader_state.round_starts.len() > ROUNDS_MAX {
            leader_state.round_starts.pop_front();
        }
    }

    /// Stops the replica.
    fn fail(&mut self, ctx: &mut Context<Self>) {
        ctx.stop_self();
        self.failure.take().map(|failure| failure.send(()).ok());
    }

    fn apply(&mut self, outputs: Outputs<Command>, ctx: &mut Context<Self>) {
        if let Some(snapshot) = outputs.restore {
            match decode_state(&snapshot) {
                Ok(state) => self.state = state,
                Err(error) => {
                    error!(%error, "a snapshot can't be read; this replica stops");
                    return self.fail(ctx);
                }
            }
        }
        for entry in outputs.committed {
            self.apply_entry(entry);
        }
    }

    fn apply_entry(&mut self, entry: Entry<Command>) {
        let outcome = match entry.payload {
            Payload::Command(command) => {
                if let (Command::Shift { .. }, Some(leader_state)) =
                    (&command, &mut self.leader_state)
                {
                    leader_state.last_shift = self.clock.now();
                }
                self.state.apply(command, &self.setup.topology, &self.limits)
            }
            Payload::Noop | Payload::Members(_) => Outcome::Done,
        };
        if let Some((term, reply)) = self.proposals.remove(&entry.index) {
            let answer = if term == entry.term {
                SubmitReply::Committed(outcome)
            } else {
                SubmitReply::Unknown
            };
            reply.send(answer).ok();
        }
    }

    /// Takes note when this replica begins or ceases to lead.
    fn update_role(&mut self) {
        let leads = self.node.is_leader();
        if leads == self.leader_state.is_some() {
            return;
        }
        let now = self.clock.now();
        let term = self.node.term();
        if leads {
            info!(term, "leads the control state");
            let timing = self.setup.timing;
            let config = SessionsConfig { lease: timing.lease, drift_margin: timing.drift_margin };
            self.leader_state = Some(LeaderState {
                sessions: Sessions::new(config, now),
                round_starts: VecDeque::new(),
                confirmed: None,
                last_shift: now,
                planned_through: self.node.durable().last_index(),
            });
            self.metrics.elections.inc();
        } else {
            info!(term, "no longer leads the control state");
            self.leader_state = None;
            for (_, (_, reply)) in std::mem::take(&mut self.proposals) {
                reply.send(SubmitReply::Unknown).ok();
            }
        }
        self.metrics.leads.set(i64::from(leads));
    }

    fn compact_if_needed(&mut self) {
        let durable = self.node.durable();
        let applied = self.node.commit_index();
        let entries = applied.saturating_sub(durable.snapshot.index) as usize;
        // A snapshot costs as much as the state is large, so the log may grow
        // as long as the last one before it is compacted.
        let bytes_max = COMPACT_BYTES_MIN.max(durable.snapshot.data.len() as u64);
        let long = self.disk.log_bytes() > bytes_max && entries > COMPACT_ENTRIES_MIN;
        if entries < COMPACT_ENTRIES_MAX && !long {
            return;
        }
        if let Ok(data) = encode(&self.state) {
            self.inputs.push((Input::Compact { index: applied, data }, None));
        }
    }

    /// Notes when this replica was last in contact with a leader.
    fn record_leader_contact(&mut self, heard_leader: bool) {
        if heard_leader && self.node.leader().is_some() {
            self.leader_heard_at = Some(self.clock.now());
        }
    }

    /// Tells how long ago this replica last knew itself to be current.
    fn staleness(&self) -> Option<Duration> {
        let now = self.clock.now();
        let current_at = match &self.leader_state {
            Some(leader_state) => leader_state.confirmed.map(|(_, started)| started),
            None => self.leader_heard_at,
        };
        current_at.map(|current_at| now.saturating_sub(current_at))
    }

    /// Tells those who follow of a new version, and those who wait for an
    /// index that it is applied.
    fn publish(&mut self) {
        let version = self.state.policy().version;
        self.published
            .send_if_modified(|published| std::mem::replace(published, version) != version);
        let applied = self.node.commit_index();
        for pending in std::mem::take(&mut self.pending_catch_ups) {
            if pending.index <= applied {
                pending.reply.send(()).ok();
            } else if !pending.reply.is_closed() {
                self.pending_catch_ups.push(pending);
            }
        }
    }

    fn leader_name(&self) -> Option<InstanceName> {
        let leader = self.node.leader()?;
        self.node.members().get(leader).map(|member| member.instance.clone())
    }

    /// Tells whether the leader has applied all that earlier leaders
    /// committed, so that its state is current while it leads.
    fn is_current(&self) -> bool {
        self.leader_state.is_some() && self.node.has_committed_in_term()
    }

    /// Proposes what the leader does of its own accord.
    fn plan(&mut self, ctx: &Context<Self>) {
        let now = self.clock.now();
        let applied = self.node.commit_index();
        if !self.is_current() {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else { return };
        leader_state.sessions.remove_expired(now);
        if applied < leader_state.planned_through {
            return;
        }
        let commands = if self.state.is_seeded() {
            plan(&PlanInputs {
                state: &self.state,
                topology: &self.setup.topology,
                sessions: &leader_state.sessions,
                now,
                unix_ms: self.clock.unix_ms(),
                last_shift_at: leader_state.last_shift,
            })
        } else {
            self.setup.seed.clone().map(Command::Seed).into_iter().collect()
        };
        if commands.is_empty() {
            return;
        }
        leader_state.planned_through = self.node.durable().last_index() + commands.len() as u64;
        for command in commands {
            self.queue(Input::Propose(command), None, ctx);
        }
    }
}

fn timers_config(timing: &Timing) -> TimersConfig {
    TimersConfig { election_timeout: timing.election, heartbeat_interval: timing.heartbeat }
}

fn decode_state(snapshot: &Snapshot) -> Result<ControlState, rmp_serde::decode::Error> {
    if snapshot.data.is_empty() {
        return Ok(ControlState::new());
    }
    decode(&snapshot.data)
}

fn merge(into: &mut Outputs<Command>, outputs: Outputs<Command>) {
    into.ballot = outputs.ballot.or(into.ballot);
    // A snapshot rewrites the log as it is after the last step, so entries
    // that were gathered before it need not be written again.
    into.snapshot = outputs.snapshot.or(into.snapshot.take());
    into.entries.extend(outputs.entries);
    into.messages.extend(outputs.messages);
    if outputs.restore.is_some() {
        into.restore = outputs.restore;
        into.committed.clear();
    }
    into.committed.extend(outputs.committed);
    into.reset_election_timeout |= outputs.reset_election_timeout;
    into.commit_index = outputs.commit_index.or(into.commit_index);
}
