//! Replies to pending watches of instances and pending queries.

use std::time::Duration;

use super::{PendingWatch, QUERY_TIMEOUT, Replica};
use crate::{
    core::control::Session,
    net::wire::{PolicyUpdate, QueryReply, WatchReply},
};

impl Replica {
    pub(super) fn reply_to_pending(&mut self) {
        let now = self.clock.now();
        if self.leadership.is_none() {
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
            self.reply_to_watches(now);
        }
        self.reply_to_queries(now);
    }

    fn reply_to_watches(&mut self, now: Duration) {
        let version = self.state.policy().version;
        let hold_time = self.setup.timing.watch_hold;
        let (due, not_due): (Vec<PendingWatch>, Vec<PendingWatch>) =
            std::mem::take(&mut self.pending_watches).into_iter().partition(|pending| {
                pending.request.at_once
                    || pending.request.version < version
                    || now >= pending.received_at + hold_time
            });
        self.pending_watches = not_due;
        for pending in due {
            self.reply_to_watch(pending, now);
        }
    }

    fn reply_to_watch(&mut self, pending: PendingWatch, now: Duration) {
        let lease = self.setup.timing.lease;
        let Some(leadership) = &mut self.leadership else { return };
        // A leader grants no lease before a quorum has confirmed its leadership.
        let Some(confirmed_at) = leadership.round_times.confirmed_at() else {
            self.pending_watches.push(pending);
            return;
        };
        let request = pending.request;
        let requester = request.holder.instance.clone();
        if request.gone {
            leadership.sessions.record_end(request.holder);
        } else {
            let session = Session {
                granted_at: now,
                version: request.version,
                stopping: request.stopping,
                load: request.load,
            };
            leadership.sessions.record_grant(request.holder, session);
        }
        // Requests are offered to owners in their own region first, so load reports of other
        // regions would only take bandwidth.
        let topology = &self.setup.topology;
        let region = topology.region_of_instance(&requester);
        let loads = leadership
            .sessions
            .live(now)
            .filter(|(holder, _)| topology.region_of_instance(&holder.instance) == region)
            .map(|(holder, session)| (holder.instance.clone(), session.load.clone()))
            .collect();
        let update = match self.state.deltas_after(request.version) {
            Some(deltas) => PolicyUpdate::Deltas(deltas),
            None => PolicyUpdate::Whole(Box::new(self.state.policy().clone())),
        };
        let since_confirmation = pending.received_at.saturating_sub(confirmed_at);
        let reply = WatchReply::Granted {
            confirmed_before_ms: since_confirmation.as_millis() as u64 + 1,
            lease_ms: lease.as_millis() as u64,
            update,
            loads,
        };
        pending.reply.send(reply).ok();
    }

    fn reply_to_queries(&mut self, now: Duration) {
        let is_current = self.is_current();
        let leadership = self.leadership.as_ref();
        let confirmed_at = leadership.and_then(|leadership| leadership.round_times.confirmed_at());
        for pending in std::mem::take(&mut self.pending_queries) {
            let is_confirmed_since_receipt =
                confirmed_at.is_some_and(|confirmed_at| confirmed_at > pending.received_at);
            if is_current && is_confirmed_since_receipt {
                let reply = self.query_reply(&pending.request, now);
                pending.reply.send(reply).ok();
            } else if now > pending.received_at + QUERY_TIMEOUT {
                pending.reply.send(QueryReply::NotLeader { leader: None }).ok();
            } else {
                self.pending_queries.push(pending);
            }
        }
    }
}
