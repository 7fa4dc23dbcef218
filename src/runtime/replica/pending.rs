//! Answers pending watches of instances and pending queries.

use std::time::Duration;

use super::{PendingWatch, QUERY_TIMEOUT, Replica};
use crate::{
    core::control::Session,
    net::wire::{QueryReply, Update, WatchReply},
};

impl Replica {
    pub(super) fn answer_pending(&mut self) {
        let now = self.clock.now();
        if self.leader_state.is_none() {
            let leader = self.leader_name();
            for pending in std::mem::take(&mut self.pending_watches) {
                pending.reply.send(WatchReply::NotLeader { leader: leader.clone() }).ok();
            }
            for pending in std::mem::take(&mut self.pending_queries) {
                pending.reply.send(QueryReply::NotLeader { leader: leader.clone() }).ok();
            }
            return;
        }
        if self.is_current() {
            self.answer_watches(now);
        }
        self.answer_queries(now);
    }

    fn answer_watches(&mut self, now: Duration) {
        let version = self.state.policy().version;
        let hold = self.setup.timing.watch_hold;
        let (due, waiting): (Vec<PendingWatch>, Vec<PendingWatch>) =
            std::mem::take(&mut self.pending_watches).into_iter().partition(|pending| {
                pending.request.at_once
                    || pending.request.version < version
                    || now >= pending.received_at + hold
            });
        self.pending_watches = waiting;
        for pending in due {
            self.answer_watch(pending, now);
        }
    }

    fn answer_watch(&mut self, pending: PendingWatch, now: Duration) {
        let lease = self.setup.timing.lease;
        let Some(leader_state) = &mut self.leader_state else { return };
        // A leader grants no lease before a quorum has confirmed its leadership.
        let Some((_, confirmed)) = leader_state.confirmed else {
            self.pending_watches.push(pending);
            return;
        };
        let request = pending.request;
        let requester = request.holder.instance.clone();
        if request.gone {
            leader_state.sessions.record_end(request.holder);
        } else {
            let session = Session {
                granted_at: now,
                version: request.version,
                stopping: request.stopping,
                load: request.load,
            };
            leader_state.sessions.record_grant(request.holder, session);
        }
        // Requests are offered to owners in their own region first, so load reports of other
        // regions would only take bandwidth.
        let topology = &self.setup.topology;
        let region = topology.region_of_instance(&requester);
        let loads = leader_state
            .sessions
            .live(now)
            .filter(|(holder, _)| topology.region_of_instance(&holder.instance) == region)
            .map(|(holder, session)| (holder.instance.clone(), session.load.clone()))
            .collect();
        let update = match self.state.deltas_after(request.version) {
            Some(deltas) => Update::Deltas(deltas),
            None => Update::Whole(Box::new(self.state.policy().clone())),
        };
        let confirmed_before = pending.received_at.saturating_sub(confirmed);
        let granted = WatchReply::Granted {
            confirmed_before_ms: confirmed_before.as_millis() as u64 + 1,
            lease_ms: lease.as_millis() as u64,
            update,
            loads,
        };
        pending.reply.send(granted).ok();
    }

    fn answer_queries(&mut self, now: Duration) {
        let current = self.is_current();
        let confirmed = self.leader_state.as_ref().and_then(|leader_state| leader_state.confirmed);
        for pending in std::mem::take(&mut self.pending_queries) {
            let confirmed_since =
                confirmed.is_some_and(|(_, started)| started > pending.received_at);
            if current && confirmed_since {
                let reply = self.answer_query(&pending.request, now);
                pending.reply.send(reply).ok();
            } else if now > pending.received_at + QUERY_TIMEOUT {
                pending.reply.send(QueryReply::NotLeader { leader: None }).ok();
            } else {
                self.pending_queries.push(pending);
            }
        }
    }
}
