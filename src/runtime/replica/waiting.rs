//! Answers instances that watch and operators that read.

use std::time::Duration;

use super::{READ_WAIT, Replica, Watcher};
use crate::{
    core::control::Session,
    net::wire::{QueryReply, Update, WatchReply},
};

impl Replica {
    pub(super) fn answer_waiting(&mut self) {
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
        let hold = self.setup.timing.watch_hold;
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
        let lease = self.setup.timing.lease;
        let Some(lead) = &mut self.lead else { return };
        // A leader that no quorum confirmed yet grants nothing.
        let Some((_, confirmed)) = lead.confirmed else {
            self.watchers.push(watcher);
            return;
        };
        let request = watcher.request;
        let asker = request.holder.instance.clone();
        if request.gone {
            lead.sessions.record_end(request.holder);
        } else {
            let session = Session {
                granted_at: now,
                version: request.version,
                stopping: request.stopping,
                load: request.load,
            };
            lead.sessions.record_grant(request.holder, session);
        }
        // Requests are offered to owners in the own region first, so the
        // reports of other regions would only cost bytes.
        let topology = &self.setup.topology;
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
}
