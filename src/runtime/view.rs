//! The control state that an instance has received, shared between its tasks.

use std::{
    collections::BTreeMap,
    sync::{Arc, RwLock},
    time::Duration,
};

use super::clock::Clock;
use crate::{
    core::{
        control::{InstanceName, LoadReport, Policy, PolicyEdit, RegionName},
        steering::Steering,
    },
    net::wire::PolicyUpdate,
    settings::Settings,
};

/// Represents the policy, the lease and the load reports that an instance has
/// received from the control leader. Clones share them.
#[derive(Clone, Debug)]
pub(super) struct View {
    settings: Arc<Settings>,
    clock: Clock,
    inner: Arc<RwLock<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    current: Arc<PolicyState>,
    lease_until: Duration,
    loads: Arc<BTreeMap<InstanceName, LoadReport>>,
}

/// Represents one version of the policy and the steering derived from it.
#[derive(Clone, Debug, Default)]
pub(super) struct PolicyState {
    /// The policy.
    pub(super) policy: Policy,
    /// The steering, which answers look-ups according to the policy.
    pub(super) steering: Steering,
}

impl View {
    pub(super) fn new(settings: Arc<Settings>, clock: Clock) -> Self {
        Self { settings, clock, inner: Arc::default() }
    }

    /// Returns the policy in use.
    pub(super) fn current(&self) -> Arc<PolicyState> {
        self.read(|inner| inner.current.clone())
    }

    /// Returns the latest load reports of the instances in this region.
    pub(super) fn loads(&self) -> Arc<BTreeMap<InstanceName, LoadReport>> {
        self.read(|inner| inner.loads.clone())
    }

    /// Returns the time until which the lease is valid.
    pub(super) fn lease_until(&self) -> Duration {
        self.read(|inner| inner.lease_until)
    }

    /// Returns whether the lease is valid.
    pub(super) fn has_lease(&self) -> bool {
        self.clock.now() < self.lease_until()
    }

    fn read<T>(&self, f: impl FnOnce(&Inner) -> T) -> T {
        f(&self.inner.read().unwrap_or_else(|error| error.into_inner()))
    }

    /// Extends the lease. It is never shortened.
    pub(super) fn extend_lease(&self, lease_until: Duration) {
        let mut inner = self.inner.write().unwrap_or_else(|error| error.into_inner());
        inner.lease_until = inner.lease_until.max(lease_until);
    }

    pub(super) fn set_loads(&self, loads: BTreeMap<InstanceName, LoadReport>) {
        let mut inner = self.inner.write().unwrap_or_else(|error| error.into_inner());
        inner.loads = Arc::new(loads);
    }

    /// Applies an update and returns whether anything changed. Updates that are
    /// not newer than the current version are ignored.
    pub(super) fn apply_update(&self, update: PolicyUpdate) -> bool {
        let current = self.current();
        let next = match update {
            PolicyUpdate::Deltas(deltas) if deltas.is_empty() => return false,
            PolicyUpdate::Deltas(deltas) => {
                let mut next = PolicyState::clone(&current);
                for delta in &deltas {
                    if next.policy.apply_delta(delta) {
                        self.update_steering(&mut next, &delta.edits);
                    }
                }
                next
            }
            PolicyUpdate::Whole(policy) => self.rebuild(*policy),
        };
        if next.policy.version <= current.policy.version {
            return false;
        }
        let mut inner = self.inner.write().unwrap_or_else(|error| error.into_inner());
        inner.current = Arc::new(next);
        true
    }

    fn rebuild(&self, policy: Policy) -> PolicyState {
        let default_region = self.settings.default_region.clone();
        let steering = Steering::new(&policy, default_region, |name| self.region_of(name));
        PolicyState { policy, steering }
    }

    fn update_steering(&self, next: &mut PolicyState, edits: &[PolicyEdit]) {
        if next.steering.block_count() == 0 {
            *next = self.rebuild(next.policy.clone());
            return;
        }
        for edit in edits {
            match edit {
                PolicyEdit::Blocks(blocks) => next.steering.put_blocks(blocks),
                PolicyEdit::Instance(..) | PolicyEdit::Leaving(..) => {
                    next.steering.update_instances(&next.policy, |name| self.region_of(name));
                }
                _ => {}
            }
        }
    }

    fn region_of(&self, instance: &InstanceName) -> Option<RegionName> {
        self.settings.topology.region_of_instance(instance).cloned()
    }
}
