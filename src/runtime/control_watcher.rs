//! Keeps the lease and the policy of an instance up to date.

use std::{sync::Arc, time::Duration};

use tokio::sync::watch;
use tracing::{info, warn};
use xtra::Address;

use super::{
    admission_actor::{AdmissionActor, GetLoad, SetPolicy},
    clock::Clock,
    control_client::ControlClient,
    metrics::InstanceMetrics,
    view::View,
};
use crate::{
    core::control::{Holder, LoadReport},
    net::wire::{PolicyUpdate, WatchReply, WatchRequest},
    settings::Settings,
};

/// Watches the control leader, from which the lease and the policy come, until the
/// process ends.
pub(super) struct ControlWatcher {
    pub(super) holder: Holder,
    pub(super) settings: Arc<Settings>,
    pub(super) clock: Clock,
    pub(super) control: ControlClient,
    pub(super) view: View,
    pub(super) admission: Address<AdmissionActor>,
    pub(super) metrics: InstanceMetrics,
    pub(super) stopping: watch::Receiver<bool>,
}

/// The log target of this module, kept under its former name for log filters.
const TARGET: &str = "bulrushspan::runtime::follower";
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// How much longer a watch request may take than the leader holds it open, and the
/// timeout of the last watch request, which the leader does not hold open.
const WATCH_MARGIN: Duration = Duration::from_millis(750);

impl ControlWatcher {
    pub(super) async fn run(mut self) {
        let mut had_lease = false;
        let mut stop_reported = false;
        loop {
            let stopping = *self.stopping.borrow_and_update();
            // The leader must not hold open the first watch request that reports a stop.
            let at_once = stopping && !stop_reported;
            if self.watch_once(stopping, at_once).await {
                stop_reported = stopping;
            } else {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            had_lease = self.record_lease(had_lease);
        }
    }

    /// Sends one watch request and applies the reply. Returns whether a leader replied.
    async fn watch_once(&mut self, stopping: bool, at_once: bool) -> bool {
        let request = WatchRequest {
            holder: self.holder.clone(),
            version: self.view.current().policy.version,
            stopping,
            gone: false,
            at_once,
            load: self.admission.send(GetLoad).await.unwrap_or_default(),
        };
        let timeout = self.settings.timing.watch_hold + WATCH_MARGIN;
        // The lease is counted from before the request is sent.
        let sent_at = self.clock.now();
        let control = self.control.clone();
        let reply = tokio::select! {
            reply = control.watch(&request, timeout) => reply,
            // A stop is reported immediately, without waiting for the reply to the watch request
            // that the leader holds open.
            _ = self.stopping.changed() => return false,
        };
        let Ok(WatchReply::Granted { confirmed_before_ms, lease_ms, update, loads }) = reply else {
            return false;
        };
        let lease_until = (sent_at + Duration::from_millis(lease_ms))
            .saturating_sub(Duration::from_millis(confirmed_before_ms));
        self.apply(update, lease_until).await;
        self.view.set_loads(loads);
        true
    }

    async fn apply(&self, update: PolicyUpdate, lease_until: Duration) {
        let changed = self.view.apply_update(update);
        self.view.extend_lease(lease_until);
        let policy_state = self.view.current();
        let lease_until = self.view.lease_until();
        if changed {
            self.metrics.version.set(policy_state.policy.version as i64);
            self.metrics.revision.set(policy_state.policy.revision as i64);
        }
        let policy = changed.then_some(policy_state);
        // The policy is in force once the admission actor has it too; only the
        // next watch request reports that.
        self.admission.send(SetPolicy { policy, lease_until }).await.ok();
    }

    fn record_lease(&self, had_lease: bool) -> bool {
        let has_lease = self.view.has_lease();
        self.metrics.lease.set(i64::from(has_lease));
        if has_lease && !had_lease {
            info!(target: TARGET, "lease acquired");
        }
        if had_lease && !has_lease {
            warn!(
                target: TARGET,
                "lease expired; requests are refused without being run until it is renewed"
            );
        }
        has_lease
    }
}

/// Reports to the leader, once, that an instance has stopped serving. A failure is
/// ignored, since the lease then expires.
pub(super) async fn report_stopped(control: &ControlClient, holder: Holder, view: &View) {
    let request = WatchRequest {
        holder,
        version: view.current().policy.version,
        stopping: true,
        gone: true,
        at_once: true,
        load: LoadReport::default(),
    };
    control.watch(&request, WATCH_MARGIN).await.ok();
}
