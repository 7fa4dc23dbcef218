//! Runs a control replica as one actor, which holds the replicated log, the control state and, on
//! the leader, the instances' sessions.

mod disk;
mod handlers;
mod join;
mod pending;
mod queries;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::sync::{oneshot, watch};
use tracing::{error, info};
use xtra::prelude::*;

pub(super) use self::handlers::{
    CatchUp, CurrentPolicy, Deliver, GetEvacuationOrders, GetPolicyUpdate, PolicyUpdateReply,
    Probe, Query, Submit, Subscribe, Tick, Watch,
};
use self::{disk::DiskWriter, handlers::Flush};
use super::{clock::Clock, metrics::InstanceMetrics, peers::Peers};
use crate::{
    core::{
        control::{
            Command, ControlLimits, ControlState, InitialPolicy, InstanceName, Outcome, PlanInputs,
            Sessions, SessionsConfig, Topology, Version, plan,
        },
        replication::{
            DurableState, Entry, Envelope, Input, LogIndex, Outputs, Payload, RaftNode, ReplyTimes,
            RoundTimes, Snapshot, Term, Timers, TimersConfig,
        },
        suspects::CRASH_RETENTION,
    },
    net::wire::{QueryReply, QueryRequest, SubmitReply, WatchReply, WatchRequest, decode, encode},
    settings::{Settings, Timing},
    storage::Store,
};

/// Represents a running control replica.
#[derive(xtra::Actor)]
pub(super) struct Replica {
    setup: ReplicaSetup,
    clock: Clock,
    metrics: InstanceMetrics,
    node: RaftNode<Command>,
    disk: DiskWriter,
    timers: Timers,
    peers: Peers,
    state: ControlState,
    /// Inputs since the last flush, each with the sender of its reply if one is awaited.
    inputs: Vec<(Input<Command>, Option<oneshot::Sender<SubmitReply>>)>,
    flush_queued: bool,
    /// For the index of each proposed entry: its term, and the sender of the reply to the submitted
    /// command.
    pending_submits: BTreeMap<LogIndex, (Term, oneshot::Sender<SubmitReply>)>,
    /// `Some` while this replica leads.
    leadership: Option<Leadership>,
    /// The time of the last check whether the commit index has to be made durable.
    commit_checked_at: Duration,
    /// When this replica, as a follower, last learned that it has all that its leader committed.
    follower_current_at: Option<Duration>,
    pending_watches: Vec<PendingWatch>,
    pending_queries: Vec<PendingQuery>,
    pending_catch_ups: Vec<PendingCatchUp>,
    version_sender: watch::Sender<Version>,
    /// Signals once that this replica has failed; `None` after that.
    failure: Option<oneshot::Sender<()>>,
}

/// Holds the configuration of a replica, which is the same for all replicas.
#[derive(Clone, Debug)]
pub(super) struct ReplicaSetup {
    /// Durations and intervals from the settings.
    pub(super) timing: Timing,
    /// The regions, services and upstreams in the settings.
    pub(super) topology: Arc<Topology>,
    /// The policy of a new deployment, if the settings have one.
    pub(super) initial_policy: Option<InitialPolicy>,
    /// How long a member may not reply before the leader may remove it; `None` to keep all
    /// members, for replicas that don't ask to join again.
    pub(super) silent_member_timeout: Option<Duration>,
    /// The limits of the control state.
    pub(super) limits: ControlLimits,
}

impl ReplicaSetup {
    /// Creates the setup from the settings of a whole deployment.
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            timing: settings.timing,
            topology: Arc::new(settings.topology.clone()),
            initial_policy: Some(settings.initial_policy()),
            silent_member_timeout: None,
            limits: ControlLimits::default(),
        }
    }

    /// Creates a setup without a topology or an initial policy, for instances whose settings don't
    /// describe the other instances.
    pub(super) fn with_timing(timing: Timing) -> Self {
        let topology = Topology { suspect_retention: CRASH_RETENTION, ..Topology::default() };
        Self {
            timing,
            topology: Arc::new(topology),
            initial_policy: None,
            silent_member_timeout: None,
            limits: ControlLimits::default(),
        }
    }

    /// Returns the setup with another limit on the encoded length of the deltas that are kept.
    pub(super) fn with_deltas_max_bytes(mut self, max_bytes: usize) -> Self {
        self.limits.deltas_max_bytes = max_bytes;
        self
    }

    /// Returns the setup with a timeout after which the leader may remove a member that does
    /// not reply. A replica that is removed has to ask to join again.
    pub(super) fn with_silent_member_timeout(mut self, timeout: Duration) -> Self {
        self.silent_member_timeout = Some(timeout);
        self
    }
}

/// Holds the state that a replica has only while it leads.
struct Leadership {
    sessions: Sessions,
    round_times: RoundTimes,
    /// When a step of a shift was last applied, or else when the leadership began.
    last_shift_at: Duration,
    /// The index that must be committed before the next plan: that of the last planned command, or
    /// the end of the log when the leadership began.
    planned_through: LogIndex,
    reply_times: ReplyTimes,
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

/// Represents a wait until the state includes an index of the log.
struct PendingCatchUp {
    index: LogIndex,
    reply: oneshot::Sender<()>,
}

/// The interval between two [`Tick`]s.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The number of log entries at which a snapshot is always taken.
const COMPACT_ENTRIES_MAX: usize = 100_000;
/// The number of log entries up to which no snapshot is taken, however long the log is.
const COMPACT_ENTRIES_MIN: usize = 200;
/// The log length in bytes up to which its length alone causes no snapshot.
const COMPACT_BYTES_MIN: u64 = 4 * 1024 * 1024;
/// The timeout of a query, which waits for a quorum to confirm the leadership.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval at which a new commit index is made durable.
const RECORD_COMMIT_INTERVAL: Duration = Duration::from_millis(250);

impl Replica {
    /// Creates a replica from its durable state. `failure` receives a message if the replica fails.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot can't be decoded.
    pub(super) fn new(
        setup: ReplicaSetup,
        clock: Clock,
        metrics: InstanceMetrics,
        store: Store<Command>,
        durable: DurableState<Command>,
        peers: Peers,
        failure: oneshot::Sender<()>,
    ) -> Result<Self, rmp_serde::decode::Error> {
        let state = decode_state(&durable.snapshot)?;
        let disk = DiskWriter::new(store);
        let node = RaftNode::new(disk.replica(), durable);
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
            inputs: Vec::new(),
            flush_queued: false,
            pending_submits: BTreeMap::new(),
            leadership: None,
            commit_checked_at: Duration::ZERO,
            follower_current_at: None,
            pending_watches: Vec::new(),
            pending_queries: Vec::new(),
            pending_catch_ups: Vec::new(),
            version_sender: watch::Sender::new(0),
            failure: Some(failure),
        };
        replica.apply_committed();
        Ok(replica)
    }

    /// Applies the entries that were known to be committed before the process started.
    fn apply_committed(&mut self) {
        let durable = self.node.durable();
        let count = self.node.commit_index().saturating_sub(durable.snapshot.index);
        let committed_entries = durable.slice(durable.snapshot.index + 1, count as usize).to_vec();
        committed_entries.into_iter().for_each(|entry| self.apply_entry(entry));
    }

    /// Queues an input. All inputs in the mailbox by the next [`Flush`] are processed together,
    /// with one sync to disk.
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

    /// Processes the queued inputs, and the inputs that result from them.
    async fn flush(&mut self, ctx: &mut Context<Self>) {
        self.flush_queued = false;
        while !self.inputs.is_empty() && self.failure.is_some() {
            self.flush_once(ctx).await;
            self.compact_if_needed();
        }
    }

    async fn flush_once(&mut self, ctx: &mut Context<Self>) {
        let mut merged_outputs = Outputs::default();
        for (input, reply) in std::mem::take(&mut self.inputs) {
            let outputs = self.node.step(input);
            self.record_proposal(&outputs, reply);
            self.record_rounds();
            self.timers.update(&self.node, &outputs, self.clock.now());
            merge(&mut merged_outputs, outputs);
        }
        if let Err(error) = self.disk.save(&mut merged_outputs, self.node.durable()).await {
            error!(%error, "could not write to the data folder; this replica stops");
            return self.fail(ctx);
        }
        let is_current = merged_outputs.is_current;
        for message in std::mem::take(&mut merged_outputs.messages) {
            self.send(message);
        }
        self.apply(merged_outputs, ctx);
        self.update_role();
        if is_current {
            self.follower_current_at = Some(self.clock.now());
        }
        self.reply_to_pending();
        self.notify_applied();
    }

    fn send(&self, message: Envelope<Command>) {
        if let Some(member) = self.node.members().get(message.to) {
            return self.peers.send(&member.instance, message);
        }
        // The receiver is not a member yet, or no longer, but still gets its reply.
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
                self.pending_submits.insert(index, (term, reply));
            }
            None => {
                reply.send(SubmitReply::NotLeader { leader: self.leader_name() }).ok();
            }
        }
    }

    fn record_rounds(&mut self) {
        if let (Some(leadership), Some((latest, confirmed))) =
            (&mut self.leadership, self.node.rounds())
        {
            leadership.round_times.record(latest, confirmed, self.clock.now());
        }
    }

    /// Stops the replica and signals its failure.
    fn fail(&mut self, ctx: &mut Context<Self>) {
        ctx.stop_self();
        self.failure.take().map(|failure| failure.send(()).ok());
    }

    fn apply(&mut self, outputs: Outputs<Command>, ctx: &mut Context<Self>) {
        if let Some(snapshot) = outputs.restore {
            match decode_state(&snapshot) {
                Ok(state) => self.state = state,
                Err(error) => {
                    error!(%error, "could not decode a snapshot; this replica stops");
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
                if let (Command::Shift { .. }, Some(leadership)) = (&command, &mut self.leadership)
                {
                    leadership.last_shift_at = self.clock.now();
                }
                self.state.apply(command, &self.setup.topology, &self.setup.limits)
            }
            Payload::Noop | Payload::Members(_) => Outcome::Done,
        };
        if let Some((term, reply)) = self.pending_submits.remove(&entry.index) {
            let submit_reply = if term == entry.term {
                SubmitReply::Committed(outcome)
            } else {
                SubmitReply::Unknown
            };
            reply.send(submit_reply).ok();
        }
    }

    /// Begins or ends the leadership when the role of the node has changed.
    fn update_role(&mut self) {
        let is_leader = self.node.is_leader();
        if is_leader == self.leadership.is_some() {
            return;
        }
        let now = self.clock.now();
        let term = self.node.term();
        if is_leader {
            info!(term, "leads the control state");
            let timing = self.setup.timing;
            let config = SessionsConfig { lease: timing.lease, drift_margin: timing.drift_margin };
            self.leadership = Some(Leadership {
                sessions: Sessions::new(config, now),
                round_times: RoundTimes::default(),
                last_shift_at: now,
                planned_through: self.node.durable().last_index(),
                reply_times: ReplyTimes::default(),
            });
            self.metrics.elections.inc();
        } else {
            info!(term, "no longer leads the control state");
            self.leadership = None;
            for (_, (_, reply)) in std::mem::take(&mut self.pending_submits) {
                reply.send(SubmitReply::Unknown).ok();
            }
        }
        self.metrics.leads.set(i64::from(is_leader));
    }

    fn compact_if_needed(&mut self) {
        let durable = self.node.durable();
        let applied_index = self.node.commit_index();
        let entries = applied_index.saturating_sub(durable.snapshot.index) as usize;
        // The cost of a snapshot grows with the size of the state, so the log may grow to the size
        // of the last snapshot before it is compacted.
        let bytes_max = COMPACT_BYTES_MIN.max(durable.snapshot.data.len() as u64);
        let is_long = self.disk.log_bytes() > bytes_max && entries > COMPACT_ENTRIES_MIN;
        if entries < COMPACT_ENTRIES_MAX && !is_long {
            return;
        }
        if let Ok(data) = encode(&self.state) {
            self.inputs.push((Input::Compact { index: applied_index, data }, None));
        }
    }

    /// Returns how long ago this replica's state was last known to be current, or `None` if it
    /// never was.
    fn staleness(&self) -> Option<Duration> {
        let now = self.clock.now();
        let current_at = match &self.leadership {
            Some(leadership) if self.is_current() => leadership.round_times.confirmed_at(),
            _ => self.follower_current_at,
        };
        current_at.map(|current_at| now.saturating_sub(current_at))
    }

    /// Notifies subscribers of a new version, and pending catch-ups whose index is applied.
    fn notify_applied(&mut self) {
        let version = self.state.policy().version;
        self.version_sender.send_if_modified(|published_version| {
            std::mem::replace(published_version, version) != version
        });
        let applied_index = self.node.commit_index();
        for pending in std::mem::take(&mut self.pending_catch_ups) {
            if pending.index <= applied_index {
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

    /// Returns whether this replica leads and has applied all that earlier leaders committed, so
    /// that its state is current.
    fn is_current(&self) -> bool {
        self.leadership.is_some() && self.node.has_committed_in_term()
    }

    /// Proposes the commands that the leader issues by itself: the initial policy first, and
    /// planned ones after that.
    fn plan(&mut self, ctx: &Context<Self>) {
        let now = self.clock.now();
        let applied_index = self.node.commit_index();
        if !self.is_current() {
            return;
        }
        let Some(leadership) = &mut self.leadership else { return };
        leadership.sessions.remove_expired(now);
        if applied_index < leadership.planned_through {
            return;
        }
        let commands = if self.state.has_initial_policy() {
            plan(&PlanInputs {
                state: &self.state,
                topology: &self.setup.topology,
                sessions: &leadership.sessions,
                now,
                unix_ms: self.clock.unix_ms(),
                last_shift_at: leadership.last_shift_at,
            })
        } else {
            self.setup.initial_policy.clone().map(Command::Seed).into_iter().collect()
        };
        if commands.is_empty() {
            return;
        }
        leadership.planned_through = self.node.durable().last_index() + commands.len() as u64;
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
    // Saving a snapshot rewrites the log as it is after the last step, so the entries merged so
    // far need not be written again.
    into.snapshot = outputs.snapshot.or(into.snapshot.take());
    into.entries.extend(outputs.entries);
    into.messages.extend(outputs.messages);
    if outputs.restore.is_some() {
        into.restore = outputs.restore;
        into.committed.clear();
    }
    into.committed.extend(outputs.committed);
    into.reset_election_timeout |= outputs.reset_election_timeout;
    into.is_current |= outputs.is_current;
    into.commit_index = outputs.commit_index.or(into.commit_index);
}
