//! The actor that decides which requests of an instance get a slot.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::sync::oneshot;
use tracing::info;
use xtra::prelude::*;

use super::{
    clock::Clock, control_client::ControlClient, metrics::InstanceMetrics, view::PolicyState,
};
use crate::{
    core::{
        admission::{
            Admission, AdmissionConfig, Finish, OfferOutcome, PoolEvent, RefusalReason, Released,
            SlotRequest, Ticket,
        },
        control::{Command, Holder, LoadReport, ServiceName, UpstreamName},
    },
    settings::Settings,
};

/// Represents the admission of one instance: its queues and the slots of the
/// upstreams that it owns.
#[derive(xtra::Actor)]
pub(super) struct AdmissionActor {
    settings: Arc<Settings>,
    clock: Clock,
    control: ControlClient,
    metrics: InstanceMetrics,
    admission: Admission,
    policy_state: Arc<PolicyState>,
    /// The sender of the outcome for each queued request.
    pending_replies: BTreeMap<Ticket, oneshot::Sender<AdmissionOutcome>>,
    /// The upstreams whose release is being committed. A failed release is retried at
    /// the next tick.
    releasing: BTreeSet<UpstreamName>,
}

/// Represents the outcome of a request for a slot.
#[derive(Clone, Debug)]
pub(super) enum AdmissionOutcome {
    /// The request holds a slot of the upstream and may be sent.
    Admitted(UpstreamName),
    /// The request is not run.
    Refused { reason: RefusalReason, retry_after: Duration },
}

/// Sets the policy, if it changed, and the time until which the lease is valid.
pub(super) struct SetPolicy {
    pub(super) policy: Option<Arc<PolicyState>>,
    pub(super) lease_until: Duration,
}

/// Requests a slot. The outcome is sent to `reply`, for a queued request only when it leaves the
/// queue.
pub(super) struct OfferRequest {
    pub(super) service: ServiceName,
    pub(super) request: SlotRequest,
    /// Whether the request may wait in the queue. If not and no slot is free,
    /// `reply` is dropped without an outcome.
    pub(super) may_wait: bool,
    pub(super) reply: oneshot::Sender<AdmissionOutcome>,
}

/// Ends a request: withdraws it from the queue if it waits, or returns its slot
/// if it runs.
pub(super) struct FinishRequest {
    pub(super) service: ServiceName,
    pub(super) ticket: Ticket,
    pub(super) finish: Finish,
}

/// Sets the upstreams that the platform lists as leaving.
pub(super) struct SetPlatformLeaving(pub(super) BTreeSet<UpstreamName>);

/// Returns the load report of the instance.
pub(super) struct GetLoad;

/// Stops dispatching and releases all upstreams, because the process stops.
pub(super) struct ReleaseAll;

/// Returns whether no request is running or queued.
pub(super) struct IsIdle;

/// Returns whether the instance owns no upstream.
pub(super) struct HasNoUpstreams;

/// Polls the queues, reapplies the policy, releases idle upstreams and updates the load
/// metrics.
pub(super) struct Tick;

/// Records that an attempt to release an upstream has ended.
struct ReleaseEnded(UpstreamName);

/// How often [`Tick`] is sent.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The log target of this module, kept under its former name for log filters.
const TARGET: &str = "bulrushspan::runtime::desk";
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

impl AdmissionActor {
    pub(super) fn new(
        holder: Holder,
        settings: Arc<Settings>,
        clock: Clock,
        control: ControlClient,
        metrics: InstanceMetrics,
    ) -> Self {
        let config = AdmissionConfig { cancel_hold: settings.timing.cancel_hold };
        let admission = Admission::new(holder, &settings.topology, config);
        Self {
            settings,
            clock,
            control,
            metrics,
            admission,
            policy_state: Arc::default(),
            pending_replies: BTreeMap::new(),
            releasing: BTreeSet::new(),
        }
    }

    fn apply_policy(&mut self) {
        let now = self.clock.now();
        self.admission.apply_policy(&self.policy_state.policy, &self.settings.topology, now);
        for (upstream, elapsed) in self.admission.take_drained() {
            info!(
                target: TARGET,
                %upstream,
                took_ms = elapsed.as_millis() as u64,
                "upstream drained"
            );
            self.metrics.drain_time.observe(elapsed.as_secs_f64());
        }
    }

    fn send_outcomes(&mut self, events: Vec<PoolEvent>) {
        for event in events {
            let (ticket, outcome) = match event {
                PoolEvent::Dispatch { ticket, upstream } => {
                    (ticket, AdmissionOutcome::Admitted(upstream))
                }
                PoolEvent::Refused { ticket, reason, retry_after } => {
                    (ticket, AdmissionOutcome::Refused { reason, retry_after })
                }
            };
            // If the receiver is dropped, the slot is still returned: the
            // requester has sent, or will send, a `FinishRequest`.
            if let Some(reply) = self.pending_replies.remove(&ticket) {
                reply.send(outcome).ok();
            }
        }
    }

    fn release_idle(&mut self, ctx: &Context<Self>) {
        for Released { upstream, epoch } in self.admission.releasable(&self.policy_state.policy) {
            if !self.releasing.insert(upstream.clone()) {
                continue;
            }
            let control = self.control.clone();
            let actor = ctx.mailbox().address();
            tokio::spawn(async move {
                let command = Command::Release { upstream: upstream.clone(), epoch };
                control.submit(command, RELEASE_TIMEOUT).await.ok();
                if let Some(actor) = actor.try_upgrade() {
                    actor.send(ReleaseEnded(upstream)).await.ok();
                }
            });
        }
    }

    fn set_load_metrics(&self) {
        for (service, load) in self.admission.load(self.clock.now()).services {
            let labels = &[service.as_str()];
            self.metrics.slots_used.with_label_values(labels).set(i64::from(load.used_slots));
            self.metrics.slots_usable.with_label_values(labels).set(i64::from(load.usable_slots));
            self.metrics.queued_requests.with_label_values(labels).set(i64::from(load.waiting));
        }
    }
}

impl Handler<SetPolicy> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, message: SetPolicy, ctx: &mut Context<Self>) {
        self.admission.set_lease(message.lease_until);
        if let Some(policy) = message.policy {
            self.policy_state = policy;
            self.apply_policy();
            self.release_idle(ctx);
        }
        let events = self.admission.poll(self.clock.now());
        self.send_outcomes(events);
    }
}

impl Handler<OfferRequest> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, message: OfferRequest, _ctx: &mut Context<Self>) {
        let ticket = message.request.ticket;
        let now = self.clock.now();
        if !message.may_wait {
            if let Some(upstream) =
                self.admission.offer_now(&message.service, &message.request, now)
            {
                message.reply.send(AdmissionOutcome::Admitted(upstream)).ok();
            }
            return;
        }
        match self.admission.offer(&message.service, message.request, now) {
            Some(OfferOutcome::Dispatch { upstream }) => {
                message.reply.send(AdmissionOutcome::Admitted(upstream)).ok();
            }
            Some(OfferOutcome::Queued) => {
                self.pending_replies.insert(ticket, message.reply);
            }
            Some(OfferOutcome::Refused { reason, retry_after }) => {
                message.reply.send(AdmissionOutcome::Refused { reason, retry_after }).ok();
            }
            None => {}
        }
    }
}

impl Handler<FinishRequest> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, message: FinishRequest, ctx: &mut Context<Self>) {
        self.pending_replies.remove(&message.ticket);
        if self.admission.withdraw(&message.service, message.ticket) {
            return;
        }
        let now = self.clock.now();
        let events = self.admission.finish(&message.service, message.ticket, message.finish, now);
        self.send_outcomes(events);
        self.release_idle(ctx);
    }
}

impl Handler<SetPlatformLeaving> for AdmissionActor {
    type Return = ();

    async fn handle(
        &mut self,
        SetPlatformLeaving(leaving): SetPlatformLeaving,
        _: &mut Context<Self>,
    ) {
        self.admission.set_platform_leaving(leaving);
        self.apply_policy();
    }
}

impl Handler<GetLoad> for AdmissionActor {
    type Return = LoadReport;

    async fn handle(&mut self, _: GetLoad, _ctx: &mut Context<Self>) -> LoadReport {
        self.admission.load(self.clock.now())
    }
}

impl Handler<ReleaseAll> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, _: ReleaseAll, ctx: &mut Context<Self>) {
        self.admission.leave();
        self.apply_policy();
        self.release_idle(ctx);
    }
}

impl Handler<IsIdle> for AdmissionActor {
    type Return = bool;

    async fn handle(&mut self, _: IsIdle, _ctx: &mut Context<Self>) -> bool {
        self.admission.is_idle()
    }
}

impl Handler<HasNoUpstreams> for AdmissionActor {
    type Return = bool;

    async fn handle(&mut self, _: HasNoUpstreams, _ctx: &mut Context<Self>) -> bool {
        self.admission.owns_nothing()
    }
}

impl Handler<Tick> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, _: Tick, ctx: &mut Context<Self>) {
        let events = self.admission.poll(self.clock.now());
        self.send_outcomes(events);
        self.apply_policy();
        self.release_idle(ctx);
        self.set_load_metrics();
    }
}

impl Handler<ReleaseEnded> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, ReleaseEnded(upstream): ReleaseEnded, _: &mut Context<Self>) {
        self.releasing.remove(&upstream);
    }
}
