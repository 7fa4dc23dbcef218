//! Holds the configuration of a replica.

use std::{sync::Arc, time::Duration};

use crate::{
    core::{
        control::{ControlLimits, InitialPolicy, Topology},
        replication::StateBudget,
        suspects::CRASH_RETENTION,
    },
    settings::{Settings, Timing},
};

/// Holds the configuration of a replica, which is the same for all replicas.
#[derive(Clone, Debug)]
pub(in crate::runtime) struct ReplicaSetup {
    /// Durations and intervals from the settings.
    pub(in crate::runtime) timing: Timing,
    /// The regions, services and upstreams in the settings.
    pub(in crate::runtime) topology: Arc<Topology>,
    /// The policy of a new deployment, if the settings have one.
    pub(in crate::runtime) initial_policy: Option<InitialPolicy>,
    /// How long a member may not reply before the leader may remove it; `None` to keep all
    /// members, for replicas that don't ask to join again.
    pub(in crate::runtime) silent_member_timeout: Option<Duration>,
    /// The limits of the control state.
    pub(in crate::runtime) limits: ControlLimits,
    /// The limits on the size of the log and of messages.
    pub(in crate::runtime) budget: StateBudget,
}

impl ReplicaSetup {
    /// Creates the setup from the settings of a whole deployment.
    pub(in crate::runtime) fn new(settings: &Settings) -> Self {
        Self {
            timing: settings.timing,
            topology: Arc::new(settings.topology.clone()),
            initial_policy: Some(settings.initial_policy()),
            silent_member_timeout: None,
            limits: ControlLimits::default(),
            budget: StateBudget::default(),
        }
    }

    /// Creates a setup without a topology or an initial policy, for instances whose settings don't
    /// describe the other instances.
    pub(in crate::runtime) fn with_timing(timing: Timing) -> Self {
        let topology = Topology { suspect_retention: CRASH_RETENTION, ..Topology::default() };
        Self {
            timing,
            topology: Arc::new(topology),
            initial_policy: None,
            silent_member_timeout: None,
            limits: ControlLimits::default(),
            budget: StateBudget::default(),
        }
    }

    /// Returns the setup with another limit on the encoded length of the deltas that are kept.
    pub(in crate::runtime) fn with_deltas_max_bytes(mut self, max_bytes: usize) -> Self {
        self.limits.deltas_max_bytes = max_bytes;
        self
    }

    /// Returns the setup with a timeout after which the leader may remove a member that does
    /// not reply. A replica that is removed has to ask to join again.
    pub(in crate::runtime) fn with_silent_member_timeout(mut self, timeout: Duration) -> Self {
        self.silent_member_timeout = Some(timeout);
        self
    }

    /// Returns the setup with other limits on the size of the log and of messages.
    pub(in crate::runtime) fn with_budget(mut self, budget: StateBudget) -> Self {
        self.budget = budget;
        self
    }
}
