//! Runs the admission of one instance as an actor.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::sync::oneshot;
use tracing::info;
use xtra::prelude::*;

use super::{clock::Clock, control_client::ControlClient, metrics::Metrics, view::Followed};
use crate::{
    core::{
        admission::{
            Admission, AdmissionConfig, Finish, Offer, PoolEvent, RefusalReason, Released,
            SlotRequest, Ticket,
        },
        control::{Command, Holder, LoadReport, ServiceName, UpstreamName},
    },
    settings::Settings,
};

/// Runs the admission of one instance.
#[derive(xtra::Actor)]
pub(super) struct Desk {
    settings: Arc<Settings>,
    clock: Clock,
    control: ControlClient,
    metrics: Metrics,
    admission: Admission,
    followed: Arc<Followed>,
    waiting: BTreeMap<Ticket, oneshot::Sender<Admitted>>,
    releasing: BTreeSet<UpstreamName>,
}

/// Says what became of a request that wanted a slot.
#[derive(Clone, Debug)]
pub(super) enum Admitted {
    /// It holds a slot of the upstream and may be sent.
    To(UpstreamName),
    /// It is not run.
    Refused { reason: RefusalReason, retry_after: Duration },
}

/// Takes over a policy, if it changed, and the lease.
pub(super) struct FollowPolicy {
    pub(super) policy: Option<Arc<Followed>>,
    pub(super) lease_until: Duration,
}
/// Offers a request; the answer may come later.
pub(super) struct OfferRequest {
    pub(super) service: ServiceName,
    pub(super) waiting: SlotRequest,
    /// Whether it may wait.
    pub(super) may_wait: bool,
    pub(super) reply: oneshot::Sender<Admitted>,
}
/// Gives up a request: takes it back if it waits, ends it if it runs.
pub(super) struct FinishRequest {
    pub(super) service: ServiceName,
    pub(super) ticket: Ticket,
    pub(super) finish: Finish,
}
/// Notes which upstreams the platform lists as leaving.
pub(super) struct PlatformLeaving(pub(super) BTreeSet<UpstreamName>);
/// Reports the load.
pub(super) struct Report;
/// Gives everything up, because the process stops.
pub(super) struct LeaveAll;
/// Asks whether nothing runs or waits.
pub(super) struct IsIdle;
/// Asks whether no upstream is owned.
pub(super) struct OwnsNothing;
/// Lets time pass.
pub(super) struct TickDesk;
/// Notes that an attempt to release an upstream has ended.
struct ReleaseEnded(UpstreamName);

/// How often [`TickDesk`] comes.
pub(super) const DESK_TICK: Duration = Duration::from_millis(10);
const RELEASE_WITHIN: Duration = Duration::from_secs(5);

impl Desk {
    pub(super) fn new(
        me: Holder,
        settings: Arc<Settings>,
        clock: Clock,
        control: ControlClient,
        metrics: Metrics,
    ) -> Self {
        let config = AdmissionConfig { cancel_hold: settings.timing.cancel_hold };
        let admission = Admission::new(me, &settings.topology, config);
        Self {
            settings,
            clock,
            control,
            metrics,
            admission,
            followed: Arc::default(),
            waiting: BTreeMap::new(),
            releasing: BTreeSet::new(),
        }
    }

    fn follow(&mut self) {
        let now = self.clock.now();
        self.admission.apply_policy(&self.followed.policy, &self.settings.topology, now);
        for (upstream, took) in self.admission.take_drained() {
            info!(%upstream, took_ms = took.as_millis() as u64, "an upstream is drained");
            self.metrics.drain_time.observe(took.as_secs_f64());
        }
    }

    fn announce(&mut self, events: Vec<PoolEvent>) {
        for event in events {
            let (ticket, admitted) = match event {
                PoolEvent::Dispatch { ticket, upstream } => (ticket, Admitted::To(upstream)),
                PoolEvent::Refused { ticket, reason, retry_after } => {
                    (ticket, Admitted::Refused { reason, retry_after })
                }
            };
            // A receiver that is gone gives its slot back by itself: it has
            // sent, or will send, a FinishRequest.
            if let Some(reply) = self.waiting.remove(&ticket) {
                reply.send(admitted).ok();
            }
        }
    }

    fn release_idle(&mut self, ctx: &Context<Self>) {
        for Released { upstream, epoch } in self.admission.releasable(&self.followed.policy) {
            if !self.releasing.insert(upstream.clone()) {
                continue;
            }
            let control = self.control.clone();
            let me = ctx.mailbox().address();
            tokio::spawn(async move {
                let command = Command::Release { upstream: upstream.clone(), epoch };
                control.submit(command, RELEASE_WITHIN).await.ok();
                if let Some(me) = me.try_upgrade() {
                    me.send(ReleaseEnded(upstream)).await.ok();
                }
            });
        }
    }

    fn show_load(&self) {
        for (service, load) in self.admission.load(self.clock.now()).services {
            let labels = &[service.as_str()];
            self.metrics.slots_used.with_label_values(labels).set(i64::from(load.used_slots));
            self.metrics.slots_usable.with_label_values(labels).set(i64::from(load.usable_slots));
            self.metrics.waiting.with_label_values(labels).set(i64::from(load.waiting));
        }
    }
}

impl Handler<FollowPolicy> for Desk {
    type Return = ();

    async fn handle(&mut self, message: FollowPolicy, ctx: &mut Context<Self>) {
        self.admission.set_lease(message.lease_until);
        if let Some(policy) = message.policy {
            self.followed = policy;
            self.follow();
            self.release_idle(ctx);
        }
        let events = self.admission.poll(self.clock.now());
        self.announce(events);
    }
}

impl Handler<OfferRequest> for Desk {
    type Return = ();

    async fn handle(&mut self, message: OfferRequest, _ctx: &mut Context<Self>) {
        let ticket = message.waiting.ticket;
        let now = self.clock.now();
        if !message.may_wait {
            if let Some(to) = self.admission.offer_now(&message.service, &message.waiting, now) {
                message.reply.send(Admitted::To(to)).ok();
            }
            return;
        }
        match self.admission.offer(&message.service, message.waiting, now) {
            Some(Offer::Dispatch { upstream }) => {
                message.reply.send(Admitted::To(upstream)).ok();
            }
            Some(Offer::Queued) => {
                self.waiting.insert(ticket, message.reply);
            }
            Some(Offer::Refused { reason, retry_after }) => {
                message.reply.send(Admitted::Refused { reason, retry_after }).ok();
            }
            None => {}
        }
    }
}

impl Handler<FinishRequest> for Desk {
    type Return = ();

    async fn handle(&mut self, message: FinishRequest, ctx: &mut Context<Self>) {
        self.waiting.remove(&message.ticket);
        if self.admission.withdraw(&message.service, message.ticket) {
            return;
        }
        let now = self.clock.now();
        let events = self.admission.finish(&message.service, message.ticket, message.finish, now);
        self.announce(events);
        self.release_idle(ctx);
    }
}

impl Handler<PlatformLeaving> for Desk {
    type Return = ();

    async fn handle(&mut self, PlatformLeaving(leaving): PlatformLeaving, _: &mut Context<Self>) {
        self.admission.set_platform_leaving(leaving);
        self.follow();
    }
}

impl Handler<Report> for Desk {
    type Return = LoadReport;

    async fn handle(&mut self, _: Report, _ctx: &mut Context<Self>) -> LoadReport {
        self.admission.load(self.clock.now())
    }
}

impl Handler<LeaveAll> for Desk {
    type Return = ();

    async fn handle(&mut self, _: LeaveAll, ctx: &mut Context<Self>) {
        self.admission.leave();
        self.follow();
        self.release_idle(ctx);
    }
}

impl Handler<IsIdle> for Desk {
    type Return = bool;

    async fn handle(&mut self, _: IsIdle, _ctx: &mut Context<Self>) -> bool {
        self.admission.is_idle()
    }
}

impl Handler<OwnsNothing> for Desk {
    type Return = bool;

    async fn handle(&mut self, _: OwnsNothing, _ctx: &mut Context<Self>) -> bool {
        self.admission.owns_nothing()
    }
}

impl Handler<TickDesk> for Desk {
    type Return = ();

    async fn handle(&mut self, _: TickDesk, ctx: &mut Context<Self>) {
        let events = self.admission.poll(self.clock.now());
        self.announce(events);
        self.follow();
        self.release_idle(ctx);
        self.show_load();
    }
}

impl Handler<ReleaseEnded> for Desk {
    type Return = ();

    async fn handle(&mut self, ReleaseEnded(upstream): ReleaseEnded, _: &mut Context<Self>) {
        self.releasing.remove(&upstream);
    }
}
