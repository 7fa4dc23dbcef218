//! Runs a control replica as one actor, which holds the replicated log, the control state and, on
//! the leader, the instances' sessions.

mod compact;
mod disk;
mod flush;
mod handlers;
mod join;
mod pending;
mod queries;
mod setup;

use std::{collections::BTreeMap, time::Duration};

use tokio::sync::{oneshot, watch};
use tracing::info;
use xtra::prelude::*;

use self::disk::DiskWriter;
pub(super) use self::{
    handlers::{
        CatchUp, CurrentPolicy, Deliver, GetEvacuationOrders, GetPolicyUpdate, PolicyUpdateReply,
        Probe, Query, Submit, Subscribe, Tick, Watch,
    },
    setup::ReplicaSetup,
};
use super::{clock::Clock, metrics::InstanceMetrics, peers::Peers};
use crate::{
    core::{
        control::{
            Command, ControlState, InstanceName, PlanInputs, Sessions, SessionsConfig, Version,
            plan,
        },
        replication::{
            DurableState, Input, LogIndex, RaftNode, ReplyTimes, RoundTimes, Snapshot, Term,
            Timers, TimersConfig,
        },
    },
    net::wire::{QueryReply, QueryRequest, SubmitReply, WatchReply, WatchRequest, decode},
    settings::Timing,
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
        let node = RaftNode::new(disk.replica(), durable).with_limits(setup.budget.messages);
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
        let first_index = self.node.durable().snapshot.index + 1;
        for index in first_index..=self.node.commit_index() {
            let entry = self.node.durable().get(index).cloned();
            entry.into_iter().for_each(|entry| self.apply_entry(entry));
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
        let commands = match &self.setup.initial_policy {
            Some(initial) if !self.state.has_initial_policy() => {
                vec![Command::Seed(initial.clone())]
            }
            _ => plan(&PlanInputs {
                state: &self.state,
                topology: &self.setup.topology,
                sessions: &leadership.sessions,
                now,
                unix_ms: self.clock.unix_ms(),
                last_shift_at: leadership.last_shift_at,
            }),
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
