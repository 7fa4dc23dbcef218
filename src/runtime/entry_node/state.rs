//! Holds what the parts of an entry instance share.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::atomic::Ordering,
    time::Duration,
};

use tokio::sync::{Notify, watch};

use super::{Flag, metrics::EntryMetrics, pool::Pool};
use crate::{
    core::{
        RecentMax,
        admission::RetryBudget,
        balance::{Balancer, ColdLimit, Locality},
        control::{Policy, ServiceName, ZoneName},
        placement::{DemandMeter, DemandReport},
        routing::{CallerLimits, RouteIndex},
    },
    runtime::{clock::Clock, logs::DroppedLines},
    settings::NodeSettings,
};

/// Holds what the parts of an entry instance share.
pub(super) struct EntryState {
    pub(super) settings: NodeSettings,
    pub(super) clock: Clock,
    pub(super) policy: RefCell<Policy>,
    pub(super) routes: RefCell<Rc<RouteIndex>>,
    pub(super) balancer: RefCell<Balancer>,
    pub(super) pool: RefCell<Pool>,
    pub(super) demand: RefCell<DemandMeter>,
    demand_due: Cell<Duration>,
    retries: RefCell<BTreeMap<ServiceName, RetryBudget>>,
    entries: RefCell<RecentMax>,
    /// How many entry instances share the limits.
    entry_count: Cell<u32>,
    /// Where control replicas are reached.
    pub(super) control: RefCell<Vec<SocketAddr>>,
    /// Where control replicas are reached according to the settings.
    pub(super) seeds: RefCell<Vec<SocketAddr>>,
    /// Tells that an upstream failed.
    pub(super) failed: Notify,
    /// When the list of upstreams that is held was read.
    pub(super) list_read: Cell<Option<Duration>>,
    pub(super) is_ready: Flag,
    pub(super) stopping: watch::Sender<bool>,
    /// When the stop began.
    stop_began: Cell<Option<Duration>>,
    pub(super) requests_open: Cell<usize>,
    pub(super) metrics: EntryMetrics,
    dropped: DroppedLines,
}

/// How many entry instances are assumed before control tells.
const ENTRIES_ASSUMED: u32 = 64;
/// How long the greatest number of entry instances counts.
const ENTRIES_WINDOW: Duration = Duration::from_secs(20);
/// The part of the retries that is used, for instances that join meanwhile.
const RETRIES_USED_PART: f64 = 0.8;

/// The time between two reports of demand.
const DEMAND_INTERVAL: Duration = Duration::from_millis(1500);
/// How long after a stop began new requests are still taken. What is taken
/// later might not end before the process must.
const STOP_TAKES: Duration = Duration::from_millis(2500);

impl EntryState {
    pub(super) fn new(
        settings: NodeSettings,
        metrics: EntryMetrics,
        dropped: DroppedLines,
    ) -> Self {
        let place = Locality {
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            regions_of_zones: settings.regions_of_zones.clone(),
        };
        let cold_limit = ColdLimit {
            factor: settings.bounds.cold_factor,
            slack: settings.bounds.cold_slack,
            entry_count: ENTRIES_ASSUMED,
        };
        Self {
            seeds: RefCell::new(settings.seed_cluster_addresses()),
            demand: RefCell::new(DemandMeter::new(Duration::ZERO)),
            demand_due: Cell::new(DEMAND_INTERVAL),
            retries: RefCell::default(),
            entries: RefCell::new(RecentMax::new(ENTRIES_WINDOW)),
            entry_count: Cell::new(ENTRIES_ASSUMED),
            failed: Notify::new(),
            control: RefCell::new(settings.seed_cluster_addresses()),
            clock: Clock::new(),
            policy: RefCell::default(),
            routes: RefCell::default(),
            balancer: RefCell::new(Balancer::new(place, cold_limit)),
            pool: RefCell::default(),
            list_read: Cell::new(None),
            is_ready: Flag::default(),
            stopping: watch::Sender::new(false),
            stop_began: Cell::new(None),
            requests_open: Cell::new(0),
            metrics,
            dropped,
            settings,
        }
    }

    /// Takes over settings that changed while the process runs.
    pub(super) fn reload(&self, settings: &NodeSettings) {
        *self.seeds.borrow_mut() = settings.seed_cluster_addresses();
    }

    /// Returns where control replicas may be reached: those that are members
    /// as far as is known, and then those of the settings.
    pub(super) fn known_control(&self) -> Vec<SocketAddr> {
        let mut known = self.control.borrow().clone();
        let seeds = self.seeds.borrow();
        let more: Vec<SocketAddr> =
            seeds.iter().filter(|seed| !known.contains(seed)).copied().collect();
        known.extend(more);
        known
    }

    /// Returns 0 for the instance's own availability zone, 1 for its region
    /// and 2 for others.
    pub(super) fn distance_to(&self, zone: &ZoneName) -> u8 {
        if *zone == self.settings.zone {
            return 0;
        }
        let region = self.settings.regions_of_zones.get(zone);
        if region == Some(&self.settings.region) { 1 } else { 2 }
    }

    /// Notes how many entry instances there are. They share the limits, so
    /// the greatest number of late counts.
    pub(super) fn note_entries(&self, entries: u32) {
        let most = self.entries.borrow_mut().record(entries, self.clock.now()).max(1);
        if most == self.entry_count.replace(most) {
            return;
        }
        self.balancer.borrow_mut().set_entry_count(most);
        let saved = self.retries_saved_max();
        self.retries.borrow_mut().values_mut().for_each(|budget| budget.set_burst(saved));
    }

    /// Returns how much objects are asked for, if that is due to be told.
    pub(super) fn take_demand(&self) -> Option<DemandReport> {
        let now = self.clock.now();
        if now < self.demand_due.get() {
            return None;
        }
        self.demand_due.set(now + DEMAND_INTERVAL);
        let (instance, region) = (&self.settings.instance, &self.settings.region);
        Some(self.demand.borrow_mut().report(instance, region, now))
    }

    /// Notes a request for a service.
    pub(super) fn note_request(&self, service: &ServiceName) {
        self.with_budget(service, RetryBudget::record_request);
    }

    /// Takes a retry from the budget of a service, if there is one.
    pub(super) fn take_retry(&self, service: &ServiceName) -> bool {
        let taken = self.with_budget(service, RetryBudget::take);
        self.metrics.note_retry(service, taken);
        taken
    }

    fn with_budget<T>(&self, service: &ServiceName, run: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.retries.borrow_mut();
        if !budgets.contains_key(service) {
            let percent = (self.settings.bounds.retry_ratio * 100.0 * RETRIES_USED_PART) as u32;
            let budget = RetryBudget::new(percent).with_burst(self.retries_saved_max());
            budgets.insert(service.clone(), budget);
        }
        run(budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(0)))
    }

    /// Returns this instance's part of the retries that are free in a window.
    fn retries_saved_max(&self) -> u32 {
        let slack = self.settings.bounds.retry_slack * RETRIES_USED_PART;
        (slack / f64::from(self.entry_count.get())) as u32
    }

    /// Brings the metrics up to date that tell how things stand.
    pub(super) fn note_metrics(&self) {
        self.metrics.note_state(self, &self.dropped);
    }

    /// Returns how many entry instances share the limits.
    pub(super) fn entry_count(&self) -> u32 {
        self.entry_count.get()
    }

    /// Returns what callers may send.
    pub(super) fn limits(&self) -> CallerLimits {
        self.policy.borrow().routing.limits.clone()
    }

    /// Returns the version of the configuration in force.
    pub(super) fn config_version(&self) -> u64 {
        self.policy.borrow().routing.version
    }

    /// Returns how long ago the list of upstreams was read.
    pub(super) fn list_age_ms(&self) -> Option<u64> {
        let age = self.clock.now().saturating_sub(self.list_read.get()?);
        Some(age.as_millis() as u64)
    }

    /// Tells whether requests can be routed.
    pub(super) fn has_configuration(&self) -> bool {
        self.policy.borrow().routing.version > 0
    }

    /// Tells whether requests are refused because the process will end soon.
    pub(super) fn refuses_new(&self) -> bool {
        let began = self.stop_began.get();
        began.is_some_and(|began| self.clock.now() > began + STOP_TAKES)
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
        self.stop_began.set(Some(self.clock.now()));
        self.stopping.send_replace(true);
        self.note_readiness();
    }
}
