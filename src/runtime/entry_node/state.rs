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
    next_demand_at: Cell<Duration>,
    retry_budgets: RefCell<BTreeMap<ServiceName, RetryBudget>>,
    recent_entry_counts: RefCell<RecentMax>,
    /// How many entry instances share the limits.
    entry_count: Cell<u32>,
    /// Where control replicas are reached.
    pub(super) control_addresses: RefCell<Vec<SocketAddr>>,
    /// Where control replicas are reached according to the settings.
    pub(super) seeds: RefCell<Vec<SocketAddr>>,
    /// Tells that an upstream failed.
    pub(super) upstream_failed: Notify,
    /// When the list of upstreams that is held was read.
    pub(super) list_read_at: Cell<Option<Duration>>,
    pub(super) is_ready: Flag,
    pub(super) stopping: watch::Sender<bool>,
    /// When the stop began.
    stop_started_at: Cell<Option<Duration>>,
    pub(super) open_requests: Cell<usize>,
    pub(super) metrics: EntryMetrics,
    dropped: DroppedLines,
}

/// How many entry instances are assumed before control tells.
const ENTRY_COUNT_DEFAULT: u32 = 64;
/// How long the greatest number of entry instances counts.
const ENTRY_COUNT_WINDOW: Duration = Duration::from_secs(20);
/// The part of the retries that is used, for instances that join meanwhile.
const RETRY_FRACTION: f64 = 0.8;

/// The time between two reports of demand.
const DEMAND_REPORT_INTERVAL: Duration = Duration::from_millis(1500);
/// How long after a stop began new requests are still taken. What is taken
/// later might not end before the process must.
const STOP_ACCEPT_WINDOW: Duration = Duration::from_millis(2500);

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
            entry_count: ENTRY_COUNT_DEFAULT,
        };
        Self {
            seeds: RefCell::new(settings.seed_cluster_addresses()),
            demand: RefCell::new(DemandMeter::new(Duration::ZERO)),
            next_demand_at: Cell::new(DEMAND_REPORT_INTERVAL),
            retry_budgets: RefCell::default(),
            recent_entry_counts: RefCell::new(RecentMax::new(ENTRY_COUNT_WINDOW)),
            entry_count: Cell::new(ENTRY_COUNT_DEFAULT),
            upstream_failed: Notify::new(),
            control_addresses: RefCell::new(settings.seed_cluster_addresses()),
            clock: Clock::new(),
            policy: RefCell::default(),
            routes: RefCell::default(),
            balancer: RefCell::new(Balancer::new(place, cold_limit)),
            pool: RefCell::default(),
            list_read_at: Cell::new(None),
            is_ready: Flag::default(),
            stopping: watch::Sender::new(false),
            stop_started_at: Cell::new(None),
            open_requests: Cell::new(0),
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
    pub(super) fn all_control_addresses(&self) -> Vec<SocketAddr> {
        let mut known = self.control_addresses.borrow().clone();
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
    pub(super) fn record_entry_count(&self, count: u32) {
        let entry_count =
            self.recent_entry_counts.borrow_mut().record(count, self.clock.now()).max(1);
        if entry_count == self.entry_count.replace(entry_count) {
            return;
        }
        self.balancer.borrow_mut().set_entry_count(entry_count);
        let saved_max = self.saved_retries_max();
        self.retry_budgets.borrow_mut().values_mut().for_each(|budget| budget.set_burst(saved_max));
    }

    /// Returns how much objects are asked for, if that is due to be told.
    pub(super) fn take_demand_report(&self) -> Option<DemandReport> {
        let now = self.clock.now();
        if now < self.next_demand_at.get() {
            return None;
        }
        self.next_demand_at.set(now + DEMAND_REPORT_INTERVAL);
        let (instance, region) = (&self.settings.instance, &self.settings.region);
        Some(self.demand.borrow_mut().report(instance, region, now))
    }

    /// Notes a request for a service.
    pub(super) fn record_request(&self, service: &ServiceName) {
        self.with_retry_budget(service, RetryBudget::record_request);
    }

    /// Takes a retry from the budget of a service, if there is one.
    pub(super) fn take_retry(&self, service: &ServiceName) -> bool {
        let taken = self.with_retry_budget(service, RetryBudget::take);
        self.metrics.record_retry(service, taken);
        taken
    }

    fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        run: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.retry_budgets.borrow_mut();
        if !budgets.contains_key(service) {
            let percent = (self.settings.bounds.retry_ratio * 100.0 * RETRY_FRACTION) as u32;
            let budget = RetryBudget::new(percent).with_burst(self.saved_retries_max());
            budgets.insert(service.clone(), budget);
        }
        run(budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(0)))
    }

    /// Returns this instance's part of the retries that are free in a window.
    fn saved_retries_max(&self) -> u32 {
        let slack = self.settings.bounds.retry_slack * RETRY_FRACTION;
        (slack / f64::from(self.entry_count.get())) as u32
    }

    /// Brings the metrics up to date that tell how things stand.
    pub(super) fn update_metrics(&self) {
        self.metrics.update(self, &self.dropped);
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
        let age = self.clock.now().saturating_sub(self.list_read_at.get()?);
        Some(age.as_millis() as u64)
    }

    /// Tells whether requests can be routed.
    pub(super) fn has_configuration(&self) -> bool {
        self.policy.borrow().routing.version > 0
    }

    /// Tells whether requests are refused because the process will end soon.
    pub(super) fn refuses_requests(&self) -> bool {
        let started_at = self.stop_started_at.get();
        started_at.is_some_and(|started_at| self.clock.now() > started_at + STOP_ACCEPT_WINDOW)
    }

    /// Notes what makes the instance ready.
    pub(super) fn update_readiness(&self) {
        let ready = self.has_configuration()
            && !self.balancer.borrow().is_empty()
            && !*self.stopping.borrow();
        self.is_ready.store(ready, Ordering::Relaxed);
    }

    /// Takes no more callers than those that still know the instance.
    pub(super) fn begin_stop(&self) {
        self.stop_started_at.set(Some(self.clock.now()));
        self.stopping.send_replace(true);
        self.update_readiness();
    }
}
