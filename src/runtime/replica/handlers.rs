//! Defines and handles the messages of the replica actor.

use std::time::Duration;

use tokio::sync::{oneshot, watch};
use xtra::prelude::*;

use super::{PendingCatchUp, PendingQuery, PendingWatch, RECORD_COMMIT_INTERVAL, Replica};
use crate::{
    core::{
        control::{Command, EvacuationOrders, InstanceName, Policy, Version, ZoneName},
        replication::{Envelope, Input, LogIndex, Message, Payload},
    },
    net::wire::{
        PolicyUpdate, ProbeReply, QueryReply, QueryRequest, SubmitReply, SubmitRequest, WatchReply,
        WatchRequest,
    },
};

/// Delivers messages of the replicated log.
pub(in crate::runtime) struct Deliver(pub(in crate::runtime) Vec<Envelope<Command>>);
/// Submits a command or a request to join, and replies once it is committed or refused.
pub(in crate::runtime) struct Submit(
    pub(in crate::runtime) SubmitRequest,
    pub(in crate::runtime) oneshot::Sender<SubmitReply>,
);
/// Renews an instance's lease, and replies when the policy changes or the hold time has elapsed,
/// or immediately if the request has `at_once` set.
pub(in crate::runtime) struct Watch(
    pub(in crate::runtime) WatchRequest,
    pub(in crate::runtime) oneshot::Sender<WatchReply>,
);
/// Queries the control state on the leader.
pub(in crate::runtime) struct Query(
    pub(in crate::runtime) QueryRequest,
    pub(in crate::runtime) oneshot::Sender<QueryReply>,
);
/// Returns the replica's id, members and commit index.
pub(in crate::runtime) struct Probe;
/// Waits until the state includes an index of the log.
pub(in crate::runtime) struct CatchUp(
    pub(in crate::runtime) LogIndex,
    pub(in crate::runtime) oneshot::Sender<()>,
);
/// Returns the update of the policy since a version, if one is given, and how current it is. Any
/// replica replies, whether or not it leads.
pub(in crate::runtime) struct GetPolicyUpdate(pub(in crate::runtime) Option<Version>);
/// Returns the policy that this replica has applied.
pub(in crate::runtime) struct CurrentPolicy;
/// Returns the number of evacuation orders of a zone that this replica has applied.
pub(in crate::runtime) struct GetEvacuationOrders(pub(in crate::runtime) ZoneName);
/// Subscribes to the version of the policy.
pub(in crate::runtime) struct Subscribe;

/// Represents the reply to [`GetPolicyUpdate`].
pub(in crate::runtime) struct PolicyUpdateReply {
    /// The applied version of the policy.
    pub(in crate::runtime) version: Version,
    /// The update since the given version; without deltas if none was given.
    pub(in crate::runtime) update: PolicyUpdate,
    /// The replicas' instances.
    pub(in crate::runtime) replicas: Vec<InstanceName>,
    /// The leader's instance, if known.
    pub(in crate::runtime) leader: Option<InstanceName>,
    /// How long ago this replica's state was last known to be current, or `None` if it never was.
    pub(in crate::runtime) staleness: Option<Duration>,
}
/// Processes expired timers; sent every [`TICK_INTERVAL`](super::TICK_INTERVAL).
pub(in crate::runtime) struct Tick;
/// Processes the queued inputs.
pub(super) struct Flush;

impl Replica {
    /// Lets an entry share the routes that are in force, since many versions of a large
    /// configuration may be in the log.
    fn share_routes(&self, payload: &mut Payload<Command>) {
        if let Payload::Command(command) = payload {
            command.share_routes(self.state.policy());
        }
    }
}

impl Handler<Deliver> for Replica {
    type Return = ();

    async fn handle(&mut self, Deliver(messages): Deliver, ctx: &mut Context<Self>) {
        for mut message in messages {
            if let Message::Append { entries, .. } = &mut message.message {
                entries.iter_mut().for_each(|entry| self.share_routes(&mut entry.payload));
            }
            self.queue(Input::Receive(message), None, ctx);
        }
    }
}

impl Handler<Submit> for Replica {
    type Return = ();

    async fn handle(&mut self, Submit(request, reply): Submit, ctx: &mut Context<Self>) {
        match request {
            // A command is decided on when it is applied, which comes after all entries of earlier
            // terms. So proposing is safe even if this leader has not committed one in its term.
            SubmitRequest::Command(mut command) => {
                command.share_routes(self.state.policy());
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
        let received_at = self.clock.now();
        if let Some(leadership) = &mut self.leadership {
            leadership.sessions.record_version(&request.holder, request.version);
        }
        self.pending_watches.push(PendingWatch { request, received_at, reply });
        self.reply_to_pending();
    }
}

impl Handler<Query> for Replica {
    type Return = ();

    async fn handle(&mut self, Query(request, reply): Query, ctx: &mut Context<Self>) {
        let received_at = self.clock.now();
        self.pending_queries.push(PendingQuery { request, received_at, reply });
        // A round that starts now confirms the leadership sooner than the next heartbeat would.
        if self.leadership.is_some() {
            self.queue(Input::HeartbeatTimeout, None, ctx);
        }
        self.reply_to_pending();
    }
}

impl Handler<Probe> for Replica {
    type Return = ProbeReply;

    async fn handle(&mut self, _: Probe, _ctx: &mut Context<Self>) -> ProbeReply {
        ProbeReply {
            replica: self.node.id(),
            members: Some(self.node.members().clone()),
            commit: self.node.commit_index(),
        }
    }
}

impl Handler<CatchUp> for Replica {
    type Return = ();

    async fn handle(&mut self, CatchUp(index, reply): CatchUp, _ctx: &mut Context<Self>) {
        self.pending_catch_ups.push(PendingCatchUp { index, reply });
        self.notify_applied();
    }
}

impl Handler<GetPolicyUpdate> for Replica {
    type Return = PolicyUpdateReply;

    async fn handle(
        &mut self,
        GetPolicyUpdate(after_version): GetPolicyUpdate,
        _ctx: &mut Context<Self>,
    ) -> PolicyUpdateReply {
        let update = match after_version.map(|version| self.state.deltas_after(version)) {
            None => PolicyUpdate::Deltas(Vec::new()),
            Some(Some(deltas)) => PolicyUpdate::Deltas(deltas),
            Some(None) => PolicyUpdate::Whole(Box::new(self.state.policy().clone())),
        };
        let members = self.node.members().iter();
        let replicas = members.map(|(_, member)| member.instance.clone()).collect();
        let version = self.state.policy().version;
        PolicyUpdateReply {
            version,
            update,
            replicas,
            leader: self.leader_name(),
            staleness: self.staleness(),
        }
    }
}

impl Handler<CurrentPolicy> for Replica {
    type Return = Policy;

    async fn handle(&mut self, _: CurrentPolicy, _ctx: &mut Context<Self>) -> Policy {
        self.state.policy().clone()
    }
}

impl Handler<GetEvacuationOrders> for Replica {
    type Return = EvacuationOrders;

    async fn handle(
        &mut self,
        GetEvacuationOrders(zone): GetEvacuationOrders,
        _ctx: &mut Context<Self>,
    ) -> EvacuationOrders {
        self.state.evacuation_orders(&zone)
    }
}

impl Handler<Subscribe> for Replica {
    type Return = watch::Receiver<Version>;

    async fn handle(&mut self, _: Subscribe, _ctx: &mut Context<Self>) -> Self::Return {
        self.version_sender.subscribe()
    }
}

impl Handler<Tick> for Replica {
    type Return = ();

    async fn handle(&mut self, _: Tick, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        for input in self.timers.take_due(&self.node, now) {
            self.queue(input, None, ctx);
        }
        if now >= self.commit_checked_at + RECORD_COMMIT_INTERVAL {
            self.commit_checked_at = now;
            if self.node.commit_index() > self.node.durable().commit_index {
                self.queue(Input::RecordCommit, None, ctx);
            }
        }
        self.remove_silent_member(ctx);
        self.plan(ctx);
        self.reply_to_pending();
        let version = self.state.policy().version;
        self.metrics.replica_version.set(version as i64);
        self.metrics.claims_held.set(self.state.claims().len() as i64);
        self.metrics.delta_bytes.set(self.state.deltas_bytes() as i64);
        self.record_sizes();
    }
}

impl Handler<Flush> for Replica {
    type Return = ();

    async fn handle(&mut self, _: Flush, ctx: &mut Context<Self>) {
        self.flush(ctx).await;
    }
}
