//! Keeps an instance's lease and policy up to date.

use std::{sync::Arc, time::Duration};

use tokio::sync::watch;
use tracing::{info, warn};
use xtra::Address;

use super::{
    clock::Clock,
    control_client::ControlClient,
    desk::{Desk, FollowPolicy, Report},
    metrics::Metrics,
    view::View,
};
use crate::{
    core::control::{Holder, LoadReport},
    net::wire::{Update, WatchReply, WatchRequest},
    settings::Settings,
};

/// Keeps an instance's lease and policy up to date until its process ends.
pub(super) struct Follower {
    pub(super) me: Holder,
    pub(super) settings: Arc<Settings>,
    pub(super) clock: Clock,
    pub(super) control: ControlClient,
    pub(super) view: View,
    pub(super) desk: Address<Desk>,
    pub(super) metrics: Metrics,
    pub(super) stopping: watch::Receiver<bool>,
}

const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// What a watch may take beyond the time that it is held.
const WATCH_SLACK: Duration = Duration::from_millis(750);

impl Follower {
    pub(super) async fn run(mut self) {
        let mut held = false;
        let mut told_stopping = false;
        loop {
            let stopping = *self.stopping.borrow_and_update();
            // The first word of a stop is not held back.
            let at_once = stopping && !told_stopping;
            if self.watch_once(stopping, at_once).await {
                told_stopping = stopping;
            } else {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            held = self.note_lease(held);
        }
    }

    /// Asks once. Returns whether a leader answered.
    async fn watch_once(&mut self, stopping: bool, at_once: bool) -> bool {
        let request = WatchRequest {
            holder: self.me.clone(),
            version: self.view.followed().policy.version,
            stopping,
            gone: false,
            at_once,
            load: self.desk.send(Report).await.unwrap_or_default(),
        };
        let timeout = self.settings.timing.watch_hold + WATCH_SLACK;
        // The lease counts from before the request is sent.
        let asked = self.clock.now();
        let control = self.control.clone();
        let answer = tokio::select! {
            answer = control.watch(&request, timeout) => answer,
            // A stop is told at once rather than after the watch that is
            // being held.
            _ = self.stopping.changed() => return false,
        };
        let Ok(WatchReply::Granted { confirmed_before_ms, lease_ms, update, loads }) = answer
        else {
            return false;
        };
        let until = (asked + Duration::from_millis(lease_ms))
            .saturating_sub(Duration::from_millis(confirmed_before_ms));
        self.take(update, until).await;
        self.view.set_loads(loads);
        true
    }

    async fn take(&self, update: Update, lease_until: Duration) {
        let changed = self.view.update(update);
        self.view.extend_lease(lease_until);
        let followed = self.view.followed();
        let lease_until = self.view.lease_until();
        if changed {
            self.metrics.version.set(followed.policy.version as i64);
            self.metrics.revision.set(followed.policy.revision as i64);
        }
        let policy = changed.then_some(followed);
        // The policy is in force once the desk follows it too; only the next
        // watch says so.
        self.desk.send(FollowPolicy { policy, lease_until }).await.ok();
    }

    fn note_lease(&self, held: bool) -> bool {
        let holds = self.view.has_lease();
        self.metrics.lease.set(i64::from(holds));
        if holds && !held {
            info!("holds its lease");
        }
        if held && !holds {
            warn!("its lease ran out; requests are refused as not run until it is renewed");
        }
        holds
    }
}

/// Tells the leader that an instance serves nothing any more.
pub(super) async fn say_gone(control: &ControlClient, me: Holder, view: &View) {
    let request = WatchRequest {
        holder: me,
        version: view.followed().policy.version,
        stopping: true,
        gone: true,
        at_once: true,
        load: LoadReport::default(),
    };
    control.watch(&request, WATCH_SLACK).await.ok();
}
