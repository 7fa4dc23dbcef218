//! Runs a control replica: one actor round the replicated log, the control
//! state, and the leader's sessions.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use tokio::sync::oneshot;
use tracing::{error, info};
use xtra::prelude::*;

use super::{clock::Clock, metrics::Metrics, peers::Peers};
use crate::{
    core::{
        control::{
            Command, ControlLimits, ControlState, InstanceName, LoadReport, Outcome, PlanInputs,
            Session, Sessions, SessionsConfig, plan,
        },
        replication::{
            Durable, Entry, Envelope, Input, LogIndex, Members, Node, Outputs, Payload, ReplicaId,
            Role, Round, Snapshot, Term, Timers, TimersConfig,
        },
    },
    net::wire::{
        InstanceStatus, Presets, ProbeReply, QueryReply, QueryRequest, ReplicaStatus, Status,
        SubmitReply, SubmitRequest, Update, WatchReply, WatchRequest, decode, encode,
    },
    settings::{Settings, Timing},
    storage::Store,
};

/// Runs a control replica.
#[derive(xtra::Actor)]
pub(super) struct Replica {
    settings: Arc<Settings>,
    clock: Clock,
    metrics: Metrics,
    node: Node<Command>,
    store: Store<Command>,
    timers: Timers,
    peers: Peers,
    state: ControlState,
    limits: ControlLimits,
    inputs: Vec<(Input<Command>, Option<oneshot::Sender<SubmitReply>>)>,
    flush_queued: bool,
    proposals: BTreeMap<LogIndex, (Term, oneshot::Sender<SubmitReply>)>,
    lead: Option<Lead>,
    watchers: Vec<Watcher>,
    readers: Vec<Reader>,
    fail: Option<oneshot::Sender<()>>,
}

/// Holds what a replica keeps only while it leads.
struct Lead {
    sessions: Sessions,
    round_began: VecDeque<(Round, Duration)>,
    /// When the newest round began that a quorum answered.
    confirmed: Option<(Round, Duration)>,
    last_shift: Duration,
    /// The index of the last proposal of its own; the next plan waits for it.
    planned: LogIndex,
}

struct Watcher {
    request: WatchRequest,
    arrived: Duration,
    reply: oneshot::Sender<WatchReply>,
}

struct Reader {
    request: QueryRequest,
    arrived: Duration,
    reply: oneshot::Sender<QueryReply>,
}

/// Takes messages of the replicated log.
pub(super) struct Deliver(pub(super) Vec<Envelope<Command>>);
/// Commits something.
pub(super) struct Submit(pub(super) SubmitRequest, pub(super) oneshot::Sender<SubmitReply>);
/// Renews a lease.
pub(super) struct Watch(pub(super) WatchRequest, pub(super) oneshot::Sender<WatchReply>);
/// Reads the state.
pub(super) struct Query(pub(super) QueryRequest, pub(super) oneshot::Sender<QueryReply>);
/// Says what the replica holds.
pub(super) struct Probe;
/// Lets time pass.
pub(super) struct Tick;
/// Carries out the inputs that were gathered.
struct Flush;

/// How often [`Tick`] comes.
pub(super) const TICK: Duration = Duration::from_millis(20);
/// A snapshot is taken after this many entries at the latest.
const COMPACT_ENTRIES_MAX: usize = 100_000;
/// No snapshot is taken before this many entries.
const COMPACT_ENTRIES_MIN: usize = 200;
/// No snapshot is taken because of its length while the log is shorter.
const COMPACT_BYTES: u64 = 4 * 1024 * 1024;
/// How long a read waits until the leader is sure of its leadership.
const READ_WAIT: Duration = Duration::from_secs(3);
/// The most rounds whose beginning is remembered.
const ROUNDS_MAX: usize = 256;

impl Replica {
    pub(super) fn new(
        settings: Arc<Settings>,
        clock: Clock,
        metrics: Metrics,
        store: Store<Command>,
        durable: Durable<Command>,
        peers: Peers,
        fail: oneshot::Sender<()>,
    ) -> Result<Self, rmp_serde::decode::Error> {
        let state = decode_state(&durable.snapshot)?;
        let node = Node::new(store.identity().replica, durable);
        let timers = Timers::new(timers_config(&settings.timing), clock.now());
        Ok(Self {
            settings,
            clock,
            metrics,
            node,
            store,
            timers,
            peers,
            state,
            limits: ControlLimits::default(),
            inputs: Vec::new(),
            flush_queued: false,
            proposals: BTreeMap::new(),
            lead: None,
            watchers: Vec::new(),
            readers: Vec::new(),
            fail: Some(fail),
        })
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
        if let Some(me) = ctx.mailbox().address().try_upgrade() {
            tokio::spawn(async move { me.send(Flush).await.ok() });
        }
    }

    fn flush(&mut self) {
        self.flush_queued = false;
        let mut merged = Outputs::default();
        for (input, reply) in std::mem::take(&mut self.inputs) {
            let out = self.node.step(input);
            self.note_proposal(&out, reply);
            self.note_round();
            self.timers.note(&self.node, &out, self.clock.now());
            merge(&mut merged, out);
        }
        if let Err(error) = self.save(&merged) {
            error!(%error, "the data folder failed; this replica stops");
            self.fail.take().map(|fail| fail.send(()).ok());
            return;
        }
        for message in std::mem::take(&mut merged.messages) {
            self.send(message);
        }
        self.apply(merged);
        self.note_role();
        self.answer_waiting();
        self.compact_if_long();
    }

    fn save(&mut self, out: &Outputs<Command>) -> Result<(), crate::storage::StoreError> {
        let Self { store, node, .. } = self;
        tokio::task::block_in_place(|| store.save(out, node.durable()))
    }

    fn send(&self, message: Envelope<Command>) {
        if let Some(member) = self.node.members().get(message.to) {
            return self.peers.send(&member.instance, message);
        }
        // A replica that asks without being known yet, or no longer, still
        // gets its answer: all others drop what is not addressed to them.
        for name in self.settings.control_instances().keys() {
            self.peers.send(name, message.clone());
        }
    }

    fn note_proposal(
        &mut self,
        out: &Outputs<Command>,
        reply: Option<oneshot::Sender<SubmitReply>>,
    ) {
        let Some(reply) = reply else { return };
        match out.proposed {
            Some((index, term)) => {
                self.proposals.insert(index, (term, reply));
            }
            None => {
                reply.send(SubmitReply::NotLeader { leader: self.leader_name() }).ok();
            }
        }
    }

    fn note_round(&mut self) {
        let now = self.clock.now();
        let (Some(lead), Some((begun, confirmed))) = (&mut self.lead, self.node.rounds()) else {
            return;
        };
        if lead.round_began.back().is_none_or(|(round, _)| *round < begun) {
            lead.round_began.push_back((begun, now));
        }
        while lead.round_began.front().is_some_and(|(round, _)| *round <= confirmed) {
            let began = lead.round_began.pop_front();
            lead.confirmed = began.filter(|(round, _)| *round > 0).or(lead.confirmed);
        }
        while lead.round_began.len() > ROUNDS_MAX {
            lead.round_began.pop_front();
        }
    }

    fn apply(&mut self, out: Outputs<Command>) {
        if let Some(snapshot) = out.restore {
            match decode_state(&snapshot) {
                Ok(state) => self.state = state,
                Err(error) => {
                    error!(%error, "a snapshot can't be read; this replica stops");
                    self.fail.take().map(|fail| fail.send(()).ok());
                    return;
                }
            }
        }
        for entry in out.committed {
            self.apply_entry(entry);
        }
    }

    fn apply_entry(&mut self, entry: Entry<Command>) {
        let outcome = match entry.payload {
            Payload::Command(command) => {
                if let (Command::Shift { .. }, Some(lead)) = (&command, &mut self.lead) {
                    lead.last_shift = self.clock.now();
                }
                self.state.apply(command, &self.settings.topology, &self.limits)
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
    fn note_role(&mut self) {
        let leads = self.node.is_leader();
        if leads == self.lead.is_some() {
            return;
        }
        let now = self.clock.now();
        let term = self.node.term();
        if leads {
            info!(term, "leads the control state");
            let timing = self.settings.timing;
            let config = SessionsConfig { lease: timing.lease, drift_margin: timing.drift_margin };
            self.lead = Some(Lead {
                sessions: Sessions::new(config, now),
                round_began: VecDeque::new(),
                confirmed: None,
                last_shift: now,
                planned: self.node.durable().last_index(),
            });
            self.metrics.elections.inc();
        } else {
            info!(term, "no longer leads the control state");
            self.lead = None;
            for (_, (_, reply)) in std::mem::take(&mut self.proposals) {
                reply.send(SubmitReply::Unknown).ok();
            }
        }
        self.metrics.leads.set(i64::from(leads));
    }

    fn compact_if_long(&mut self) {
        let durable = self.node.durable();
        let applied = self.node.commit();
        let entries = applied.saturating_sub(durable.snapshot.index) as usize;
        // A snapshot costs as much as the state is large, so the log may grow
        // as long as the last one before it is compacted.
        let bytes_max = COMPACT_BYTES.max(durable.snapshot.data.len() as u64);
        let long = self.store.log_bytes() > bytes_max && entries > COMPACT_ENTRIES_MIN;
        if entries < COMPACT_ENTRIES_MAX && !long {
            return;
        }
        if let Ok(data) = encode(&self.state) {
            self.inputs.push((Input::Compact { index: applied, data }, None));
            self.flush();
        }
    }

    fn leader_name(&self) -> Option<InstanceName> {
        let leader = self.node.leader()?;
        self.node.members().get(leader).map(|member| member.instance.clone())
    }

    /// Tells whether the leader has applied all that earlier leaders
    /// committed, so that its state is current while it leads.
    fn is_current(&self) -> bool {
        self.lead.is_some() && self.node.has_committed_in_term()
    }

    fn answer_waiting(&mut self) {
        let now = self.clock.now();
        if self.lead.is_none() {
            let leader = self.leader_name();
            for watcher in std::mem::take(&mut self.watchers) {
                watcher.reply.send(WatchReply::NotLeader { leader: leader.clone() }).ok();
            }
            for reader in std::mem::take(&mut self.readers) {
                reader.reply.send(QueryReply::NotLeader { leader: leader.clone() }).ok();
            }
            return;
        }
        if self.is_current() {
            self.answer_watchers(now);
        }
        self.answer_readers(now);
    }

    fn answer_watchers(&mut self, now: Duration) {
        let version = self.state.policy().version;
        let hold = self.settings.timing.watch_hold;
        let (due, waiting): (Vec<Watcher>, Vec<Watcher>) =
            std::mem::take(&mut self.watchers).into_iter().partition(|watcher| {
                watcher.request.at_once
                    || watcher.request.version < version
                    || now >= watcher.arrived + hold
            });
        self.watchers = waiting;
        for watcher in due {
            self.answer_watcher(watcher, now);
        }
    }

    fn answer_watcher(&mut self, watcher: Watcher, now: Duration) {
        let lease = self.settings.timing.lease;
        let Some(lead) = &mut self.lead else { return };
        // A leader that no quorum confirmed yet grants nothing.
        let Some((_, confirmed)) = lead.confirmed else {
            self.watchers.push(watcher);
            return;
        };
        let request = watcher.request;
        let asker = request.holder.instance.clone();
        if request.gone {
            lead.sessions.end(request.holder);
        } else {
            let session = Session {
                granted: now,
                version: request.version,
                stopping: request.stopping,
                load: request.load,
            };
            lead.sessions.grant(request.holder, session);
        }
        // Requests are offered to owners in the own region first, so the
        // reports of other regions would only cost bytes.
        let topology = &self.settings.topology;
        let region = topology.region_of_instance(&asker);
        let loads = lead
            .sessions
            .live(now)
            .filter(|(holder, _)| topology.region_of_instance(&holder.instance) == region)
            .map(|(holder, session)| (holder.instance.clone(), session.load.clone()))
            .collect();
        let update = match self.state.deltas_after(request.version) {
            Some(deltas) => Update::Deltas(deltas),
            None => Update::Whole(Box::new(self.state.policy().clone())),
        };
        let confirmed_before = watcher.arrived.saturating_sub(confirmed);
        let granted = WatchReply::Granted {
            confirmed_before_ms: confirmed_before.as_millis() as u64 + 1,
            lease_ms: lease.as_millis() as u64,
            update,
            loads,
        };
        watcher.reply.send(granted).ok();
    }

    fn answer_readers(&mut self, now: Duration) {
        let current = self.is_current();
        let confirmed = self.lead.as_ref().and_then(|lead| lead.confirmed);
        for reader in std::mem::take(&mut self.readers) {
            let sure = confirmed.is_some_and(|(_, began)| began > reader.arrived);
            if current && sure {
                let reply = self.read(&reader.request, now);
                reader.reply.send(reply).ok();
            } else if now > reader.arrived + READ_WAIT {
                reader.reply.send(QueryReply::NotLeader { leader: None }).ok();
            } else {
                self.readers.push(reader);
            }
        }
    }

    fn read(&self, request: &QueryRequest, now: Duration) -> QueryReply {
        let policy = self.state.policy();
        match request {
            QueryRequest::Status => QueryReply::Status(Box::new(self.status(now))),
            QueryRequest::Presets => QueryReply::Presets(Presets {
                revision: policy.revision,
                in_force: policy.in_force.clone(),
                presets: policy.presets.clone(),
            }),
            QueryRequest::Audit(filter) => QueryReply::Audit(filter.select(self.state.audit())),
            QueryRequest::Lagging { version } => {
                let (instances, settled) = self.lagging(*version, now);
                QueryReply::Lagging { instances, settled }
            }
        }
    }

    fn lagging(&self, version: u64, now: Duration) -> (Vec<InstanceName>, bool) {
        self.lead.as_ref().map_or((Vec::new(), false), |lead| {
            let instances = lead.sessions.lagging(version, now).into_iter().collect();
            (instances, lead.sessions.is_settled(now))
        })
    }

    fn status(&self, now: Duration) -> Status {
        let policy = self.state.policy();
        let (lagging, settled) = self.lagging(policy.version, now);
        Status {
            revision: policy.revision,
            version: policy.version,
            in_force: policy.in_force.clone(),
            in_force_everywhere: lagging.is_empty() && settled,
            layouts: policy.layouts.clone(),
            instances: self.instance_statuses(&lagging, now),
            owners: policy.owners.clone(),
            drained: policy.drained.iter().cloned().collect(),
            replicas: self.replica_statuses(),
            term: self.node.term(),
            commit: self.node.commit(),
            log_bytes: self.store.log_bytes(),
            claims: self.state.claims().len(),
            key_epoch: policy.claim_epoch,
        }
    }

    fn instance_statuses(
        &self,
        lagging: &[InstanceName],
        now: Duration,
    ) -> BTreeMap<InstanceName, InstanceStatus> {
        let policy = self.state.policy();
        let mut sessions: BTreeMap<&InstanceName, &Session> = BTreeMap::new();
        if let Some(lead) = &self.lead {
            sessions = lead.sessions.live(now).map(|(h, s)| (&h.instance, s)).collect();
        }
        let status = |(name, state): (&InstanceName, &_)| {
            let session = sessions.get(name);
            let described = InstanceStatus {
                state: Clone::clone(state),
                leaving: policy.leaving.contains(name),
                version: session.map(|session| session.version),
                lags: lagging.contains(name),
                load: session.map_or_else(LoadReport::default, |session| session.load.clone()),
            };
            (name.clone(), described)
        };
        policy.instances.iter().map(status).collect()
    }

    fn replica_statuses(&self) -> Vec<ReplicaStatus> {
        let last_index = self.node.durable().last_index();
        let matched = |id: ReplicaId| match self.node.role() {
            _ if id == self.node.id() => last_index,
            Role::Leader(leadership) => leadership.matched(id),
            _ => 0,
        };
        self.node
            .members()
            .iter()
            .map(|(id, member)| ReplicaStatus {
                id,
                instance: member.instance.clone(),
                voter: member.voter,
                leads: self.node.leader() == Some(id),
                matched: matched(id),
            })
            .collect()
    }

    /// Proposes what the leader does of its own accord.
    fn plan(&mut self, ctx: &Context<Self>) {
        let now = self.clock.now();
        let applied = self.node.commit();
        if !self.is_current() {
            return;
        }
        let Some(lead) = &mut self.lead else { return };
        lead.sessions.forget_expired(now);
        if applied < lead.planned {
            return;
        }
        let commands = if self.state.is_seeded() {
            plan(&PlanInputs {
                state: &self.state,
                topology: &self.settings.topology,
                sessions: &lead.sessions,
                now,
                unix_ms: self.clock.unix_ms(),
                last_shift: lead.last_shift,
            })
        } else {
            vec![Command::Seed(self.settings.seed())]
        };
        if commands.is_empty() {
            return;
        }
        lead.planned = self.node.durable().last_index() + commands.len() as u64;
        for command in commands {
            self.queue(Input::Propose(command), None, ctx);
        }
    }

    /// Does the next step of taking a replica in. Each step changes one vote
    /// at most, and a replica gets its vote only once it has caught up.
    fn join(
        &mut self,
        instance: &InstanceName,
        replica: ReplicaId,
        ctx: &Context<Self>,
    ) -> SubmitReply {
        let Role::Leader(leadership) = self.node.role() else {
            return SubmitReply::NotLeader { leader: self.leader_name() };
        };
        let members = self.node.members();
        if members.is_voter(replica) {
            return SubmitReply::Joined;
        }
        let caught_up = leadership.matched(replica) + JOIN_LAG_MAX >= self.node.commit();
        let next = next_members(members, instance, replica, caught_up);
        if let Some(next) = next {
            info!(%instance, replica, "changes the control replicas");
            self.queue(Input::ProposeMembers(next), None, ctx);
        }
        SubmitReply::Joining
    }
}

/// A replica counts as caught up when it lacks at most this many entries.
const JOIN_LAG_MAX: u64 = 16;

/// Returns the members after the next step of taking a replica in. The
/// replica that the instance ran before loses its vote first: its disk is
/// gone, so it only makes a quorum harder to reach.
fn next_members(
    members: &Members,
    instance: &InstanceName,
    replica: ReplicaId,
    caught_up: bool,
) -> Option<Members> {
    if members.get(replica).is_none() {
        return Some(members.clone().with_learner(replica, instance.clone()));
    }
    if !caught_up {
        return None;
    }
    let mut former = members.iter().filter(|(id, m)| *id != replica && m.instance == *instance);
    match former.next() {
        Some((id, _)) => Some(members.clone().without(id)),
        None => Some(members.clone().with_vote(replica)),
    }
}

fn timers_config(timing: &Timing) -> TimersConfig {
    TimersConfig { election: timing.election, heartbeat: timing.heartbeat }
}

fn decode_state(snapshot: &Snapshot) -> Result<ControlState, rmp_serde::decode::Error> {
    if snapshot.data.is_empty() {
        return Ok(ControlState::new());
    }
    decode(&snapshot.data)
}

fn merge(into: &mut Outputs<Command>, out: Outputs<Command>) {
    into.ballot = out.ballot.or(into.ballot);
    // A snapshot rewrites the log as it is after the last step, so entries
    // that were gathered before it need not be written again.
    into.snapshot = out.snapshot.or(into.snapshot.take());
    into.entries.extend(out.entries);
    into.messages.extend(out.messages);
    if out.restore.is_some() {
        into.restore = out.restore;
        into.committed.clear();
    }
    into.committed.extend(out.committed);
}

impl Handler<Deliver> for Replica {
    type Return = ();

    async fn handle(&mut self, Deliver(messages): Deliver, ctx: &mut Context<Self>) {
        for message in messages {
            self.queue(Input::Receive(message), None, ctx);
        }
    }
}

impl Handler<Submit> for Replica {
    type Return = ();

    async fn handle(&mut self, Submit(request, reply): Submit, ctx: &mut Context<Self>) {
        match request {
            // A leader that has not caught up with its own term could decide
            // on an old state only when it applies, which comes later; to
            // write is always safe.
            SubmitRequest::Command(command) => {
                self.queue(Input::Propose(command), Some(reply), ctx);
            }
            SubmitRequest::Join { instance, replica } => {
                reply.send(self.join(&instance, replica, ctx)).ok();
            }
        }
    }
}

impl Handler<Watch> for Replica {
    type Return = ();

    async fn handle(&mut self, Watch(request, reply): Watch, _ctx: &mut Context<Self>) {
        let arrived = self.clock.now();
        if let Some(lead) = &mut self.lead {
            lead.sessions.note_version(&request.holder, request.version);
        }
        self.watchers.push(Watcher { request, arrived, reply });
        self.answer_waiting();
    }
}

impl Handler<Query> for Replica {
    type Return = ();

    async fn handle(&mut self, Query(request, reply): Query, ctx: &mut Context<Self>) {
        let arrived = self.clock.now();
        self.readers.push(Reader { request, arrived, reply });
        // A round that begins now makes sure of the leadership sooner than
        // the next heartbeat would.
        if self.lead.is_some() {
            self.queue(Input::HeartbeatTimeout, None, ctx);
        }
        self.answer_waiting();
    }
}

impl Handler<Probe> for Replica {
    type Return = ProbeReply;

    async fn handle(&mut self, _: Probe, _ctx: &mut Context<Self>) -> ProbeReply {
        ProbeReply {
            replica: self.node.id(),
            members: Some(self.node.members().clone()),
            commit: self.node.commit(),
        }
    }
}

impl Handler<Tick> for Replica {
    type Return = ();

    async fn handle(&mut self, _: Tick, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        for input in self.timers.due(&self.node, now) {
            self.queue(input, None, ctx);
        }
        self.plan(ctx);
        self.answer_waiting();
        let version = self.state.policy().version;
        self.metrics.replica_version.set(version as i64);
        self.metrics.claims_held.set(self.state.claims().len() as i64);
    }
}

impl Handler<Flush> for Replica {
    type Return = ();

    async fn handle(&mut self, _: Flush, _ctx: &mut Context<Self>) {
        self.flush();
    }
}
