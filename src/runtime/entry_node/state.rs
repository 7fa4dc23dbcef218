//! Holds what the parts of an entry instance share.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::atomic::Ordering,
};

use tokio::sync::watch;

use super::{Flag, pool::Pool};
use crate::{
    core::{
        balance::{Balancer, Place},
        control::Policy,
        routing::{CallerLimits, Matched},
    },
    runtime::clock::Clock,
    settings::NodeSettings,
};

/// Holds what the parts of an entry instance share.
pub(super) struct EntryState {
    pub(super) settings: NodeSettings,
    pub(super) clock: Clock,
    pub(super) policy: RefCell<Policy>,
    pub(super) routes: RefCell<Rc<Matched>>,
    pub(super) balancer: RefCell<Balancer>,
    pub(super) pool: RefCell<Pool>,
    /// Where control replicas are reached.
    pub(super) control: RefCell<Vec<SocketAddr>>,
    pub(super) is_ready: Flag,
    pub(super) stopping: watch::Sender<bool>,
    pub(super) requests_open: Cell<usize>,
}

impl EntryState {
    pub(super) fn new(settings: NodeSettings) -> Self {
        let place = Place {
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            regions_of_zones: settings.regions_of_zones.clone(),
        };
        Self {
            control: RefCell::new(settings.seed_cluster_addresses()),
            clock: Clock::new(),
            policy: RefCell::default(),
            routes: RefCell::default(),
            balancer: RefCell::new(Balancer::new(place)),
            pool: RefCell::default(),
            is_ready: Flag::default(),
            stopping: watch::Sender::new(false),
            requests_open: Cell::new(0),
            settings,
        }
    }

    /// Returns what callers may send.
    pub(super) fn limits(&self) -> CallerLimits {
        self.policy.borrow().routing.limits.clone()
    }

    /// Tells whether requests can be routed.
    pub(super) fn has_configuration(&self) -> bool {
        self.policy.borrow().routing.version > 0
    }

    /// Notes what makes the instance ready.
    pub(super) fn note_readiness(&self) {
        let ready = self.has_configuration()
            && !self.balancer.borrow().is_empty()
            && !*self.stopping.borrow();
        self.is_ready.store(ready, Ordering::Relaxed);
    }

    /// Takes no more callers than those that still know the instance.
    pub(super) fn begin_stop(&self) {
        self.stopping.send_replace(true);
        self.note_readiness();
    }
}
