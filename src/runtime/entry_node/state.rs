//! State that the tasks of an entry instance share.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::atomic::Ordering,
    time::Duration,
};

use tokio::sync::{Notify, watch};
use tracing::info;

use super::{
    Flag, link::InstanceLink, links::LinkState, metrics::EntryMetrics, pool::ConnectionPool,
    ready_response::Sender, request::Request,
};
use crate::{
    core::{
        EntryCount, StopPhase, StopPlan,
        admission::RetryBudget,
        balance::{Balancer, ColdLimit, Locality},
        control::{InstanceName, Policy, ServiceName, ZoneName},
        peers::Peers,
        placement::{DemandMeter, DemandReport},
        routing::{CallerLimits, ConfigVersion, RouteIndex},
        suspects::{CrashReport, Suspects},
    },
    net::{connections::Connections, held_bytes::SharedBudget},
    runtime::{clock::Clock, logs::DroppedLines},
    settings::NodeSettings,
};

/// The maximum timeout of callers' connections. An `Instant` can't represent moments that are much
/// further away.
const CALLER_TIMEOUT_MAX: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// The shared state of an entry instance. Times are measured by [`Clock`].
pub(super) struct EntryState {
    pub(super) settings: NodeSettings,
    pub(super) clock: Clock,
    pub(super) policy: RefCell<Policy>,
    pub(super) routes: RefCell<Rc<RouteIndex>>,
    pub(super) balancer: RefCell<Balancer>,
    pub(super) pool: RefCell<ConnectionPool>,
    /// The links to upstreams.
    pub(super) links: LinkState,
    /// The entry instances that can take over requests.
    pub(super) peers: RefCell<Peers>,
    pub(super) peer_pool: RefCell<ConnectionPool>,
    /// When the peers are next requested from a control replica.
    next_peers_request_at: Cell<Duration>,
    pub(super) link: InstanceLink,
    /// The memory that all messages may take together.
    pub(super) memory: SharedBudget,
    /// The connections of callers.
    caller_connections: Connections,
    /// The connections of entry instances that hand over requests.
    peer_connections: Connections,
    pub(super) demand: RefCell<DemandMeter>,
    /// When the next demand report may be sent to a control replica.
    next_demand_report_at: Cell<Duration>,
    retry_budgets: RefCell<BTreeMap<ServiceName, RetryBudget>>,
    /// The number of entry instances that share the limits.
    entry_count: RefCell<EntryCount>,
    /// The addresses of the control replicas, as last reported by one of them.
    pub(super) control_addresses: RefCell<Vec<SocketAddr>>,
    /// The addresses of the control replicas in the settings.
    pub(super) seeds: RefCell<Vec<SocketAddr>>,
    /// The requests under which upstreams crashed.
    pub(super) suspects: RefCell<Suspects>,
    /// When crashes may next be reported to a control replica.
    next_crash_reports_at: Cell<Duration>,
    /// Notified when an upstream fails, to start health checks.
    pub(super) upstream_failed: Notify,
    /// The last time at which the configuration in force is known to have been the newest.
    config_confirmed_at: Cell<Option<Duration>>,
    /// When the current list of upstreams was read from the platform.
    pub(super) list_read_at: Cell<Option<Duration>>,
    pub(super) is_ready: Flag,
    pub(super) stop_phase: watch::Sender<StopPhase>,
    /// The times of the stop, once one has begun.
    stop_plan: Cell<Option<StopPlan>>,
    pub(super) open_requests: Cell<usize>,
    pub(super) metrics: EntryMetrics,
    dropped_lines: DroppedLines,
}

/// The fraction of the allowed retries that is used. The rest is left for retries that reach
/// upstreams late, and for instances that have joined but are not counted yet.
const RETRY_FRACTION: f64 = 0.8;

/// The minimum time between two reports of crashes.
const CRASH_REPORTS_INTERVAL: Duration = Duration::from_secs(1);
/// How often the peers are requested.
const PEERS_INTERVAL: Duration = Duration::from_secs(5);
/// The minimum time between two demand reports.
const DEMAND_REPORT_INTERVAL: Duration = Duration::from_millis(1500);

impl EntryState {
    /// Creates the state of an instance that has not reached a control replica yet.
    pub(super) fn new(
        settings: NodeSettings,
        metrics: EntryMetrics,
        dropped_lines: DroppedLines,
    ) -> Self {
        let locality = Locality {
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            regions_of_zones: settings.regions_of_zones.clone(),
        };
        let entry_count = EntryCount::new(settings.bounds.retry_window);
        let cold_limit = ColdLimit {
            factor: settings.bounds.cold_factor,
            slack: settings.bounds.cold_slack,
            entry_count: entry_count.current(),
        };
        let clock = Clock::new();
        let mut balancer = Balancer::new(locality, cold_limit)
            .with_phase(rand::random())
            .with_started_at(clock.now());
        let pool = || RefCell::new(ConnectionPool::new(settings.idle_connections_max()));
        // Until a rank is known, instances are unlikely to assume the same one.
        balancer.set_entry_rank(rand::random());
        Self {
            links: LinkState::default(),
            peers: RefCell::new(Peers::new(settings.region.clone())),
            peer_pool: pool(),
            next_peers_request_at: Cell::default(),
            link: InstanceLink::new(clock, settings.link_bytes_per_s()),
            memory: SharedBudget::new(settings.messages_max_bytes()),
            caller_connections: Connections::new(settings.caller_connections()),
            peer_connections: Connections::new(settings.peer_connections()),
            seeds: RefCell::new(settings.seed_cluster_addresses()),
            demand: RefCell::new(DemandMeter::new(Duration::ZERO)),
            next_demand_report_at: Cell::new(DEMAND_REPORT_INTERVAL),
            retry_budgets: RefCell::default(),
            entry_count: RefCell::new(entry_count),
            suspects: RefCell::default(),
            next_crash_reports_at: Cell::default(),
            upstream_failed: Notify::new(),
            control_addresses: RefCell::new(settings.seed_cluster_addresses()),
            clock,
            policy: RefCell::default(),
            routes: RefCell::default(),
            balancer: RefCell::new(balancer),
            pool: pool(),
            config_confirmed_at: Cell::new(None),
            list_read_at: Cell::new(None),
            is_ready: Flag::default(),
            stop_phase: watch::Sender::default(),
            stop_plan: Cell::new(None),
            open_requests: Cell::new(0),
            metrics,
            dropped_lines,
            settings,
        }
    }

    /// Returns the open connections on which `sender` sends requests.
    pub(super) fn connections(&self, sender: Sender) -> &Connections {
        match sender {
            Sender::Caller => &self.caller_connections,
            Sender::Peer => &self.peer_connections,
        }
    }

    /// Replaces the seeds with those of the new settings.
    pub(super) fn reload(&self, settings: &NodeSettings) {
        *self.seeds.borrow_mut() = settings.seed_cluster_addresses();
    }

    /// Returns the addresses of the control replicas: the last known members
    /// first, then the seeds that are not among them.
    pub(super) fn all_control_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.control_addresses.borrow().clone();
        let seeds = self.seeds.borrow();
        let other_seeds: Vec<SocketAddr> =
            seeds.iter().filter(|seed| !addresses.contains(seed)).copied().collect();
        addresses.extend(other_seeds);
        addresses
    }

    /// Returns 0 for the instance's own availability zone, 1 for another zone
    /// of its region, and 2 for any other zone.
    pub(super) fn distance_to(&self, zone: &ZoneName) -> u8 {
        if *zone == self.settings.zone {
            return 0;
        }
        let region = self.settings.regions_of_zones.get(zone);
        if region == Some(&self.settings.region) { 1 } else { 2 }
    }

    /// Records the number of entry instances that a control replica reports, and the rank of this
    /// one. They share the limits, so the greatest number reported recently is used.
    pub(super) fn record_entry_count(&self, count: u32, rank: Option<u32>) {
        let previous = self.entry_count();
        self.entry_count.borrow_mut().record(count, self.clock.now());
        let entries = self.entry_count();
        if entries != previous {
            info!(entries, previous, reported = count, "entry instances counted");
            self.balancer.borrow_mut().set_entry_count(entries);
        }
        if let Some(rank) = rank {
            self.entry_count.borrow_mut().record_ranked();
            self.balancer.borrow_mut().set_entry_rank(rank);
        }
    }

    /// Returns a report of the demand for each object since the last report,
    /// or `None` if the next one is not due yet.
    pub(super) fn take_demand_report(&self) -> Option<DemandReport> {
        let now = self.clock.now();
        if now < self.next_demand_report_at.get() {
            return None;
        }
        self.next_demand_report_at.set(now + DEMAND_REPORT_INTERVAL);
        let (instance, region) = (&self.settings.instance, &self.settings.region);
        Some(self.demand.borrow_mut().take_report(instance, region, now))
    }

    /// Returns this instance's name if its peers and its rank are to be requested now: at regular
    /// intervals, and whenever they are needed or not known.
    pub(super) fn take_peers_request(&self) -> Option<InstanceName> {
        let now = self.clock.now();
        let needs_peers = self.links.is_any_lost() || self.peers.borrow().is_empty();
        let needs_rank = self.entry_count.borrow().needs_rank();
        if now < self.next_peers_request_at.get() && !needs_peers && !needs_rank {
            return None;
        }
        self.next_peers_request_at.set(now + PEERS_INTERVAL);
        Some(self.settings.instance.clone())
    }

    /// Returns whether a request has crashed so many upstreams that it is refused.
    pub(super) fn has_crashed_upstreams(&self, request: &Request) -> bool {
        let (policy, suspects) = (self.policy.borrow(), self.suspects.borrow());
        if policy.suspects.is_empty() && suspects.is_empty() {
            return false;
        }
        let fingerprint = request.fingerprint().map(|fingerprint| format!("{fingerprint:032x}"));
        fingerprint.is_some_and(|fingerprint| suspects.is_refused(&fingerprint, &policy.suspects))
    }

    /// Returns the crashes that are not in the policy yet, if they are to be reported now. A report
    /// takes a while to get into the policy, and each makes a new version of it.
    pub(super) fn take_crash_reports(&self) -> Vec<CrashReport> {
        let now = self.clock.now();
        if now < self.next_crash_reports_at.get() {
            return Vec::new();
        }
        let reports = self.suspects.borrow().unreported(&self.policy.borrow().suspects);
        if !reports.is_empty() {
            self.next_crash_reports_at.set(now + CRASH_REPORTS_INTERVAL);
        }
        reports
    }

    /// Records a request in the retry budget of its service.
    pub(super) fn record_request(&self, service: &ServiceName) {
        self.with_retry_budget(service, RetryBudget::record_request);
    }

    /// Takes a retry from the budget of a service. Returns whether one was left, and how many are
    /// left now.
    pub(super) fn try_take_retry(&self, service: &ServiceName) -> (bool, f64) {
        let (is_granted, left) = self.with_retry_budget(service, |budget| {
            (budget.try_take(rand::random()), budget.available())
        });
        self.metrics.record_retry(service, is_granted);
        (is_granted, left)
    }

    fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        update: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.retry_budgets.borrow_mut();
        let percent = (self.settings.bounds.retry_ratio * 100.0 * RETRY_FRACTION) as u32;
        let slack = self.settings.bounds.retry_slack * RETRY_FRACTION;
        let budget = budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(percent));
        budget.set_burst(self.entry_count.borrow().share_of(slack, self.clock.now()));
        update(budget)
    }

    /// Updates the gauges.
    pub(super) fn update_metrics(&self) {
        self.metrics.update(self, &self.dropped_lines);
    }

    /// Returns the number of entry instances that share the limits.
    pub(super) fn entry_count(&self) -> u32 {
        self.entry_count.borrow().current()
    }

    /// Returns the limits on callers' requests and connections, with timeouts of at most
    /// [`CALLER_TIMEOUT_MAX`].
    pub(super) fn limits(&self) -> CallerLimits {
        let limits = self.policy.borrow().routing.limits.clone();
        CallerLimits {
            header_timeout: limits.header_timeout.min(CALLER_TIMEOUT_MAX),
            idle_timeout: limits.idle_timeout.min(CALLER_TIMEOUT_MAX),
            ..limits
        }
    }

    /// Returns the version of the configuration in force, or `None` before the first one.
    pub(super) fn config_version(&self) -> Option<ConfigVersion> {
        self.policy.borrow().routing.version
    }

    /// Records that the configuration in force was the newest at a time.
    pub(super) fn record_config_confirmed(&self, at: Duration) {
        self.config_confirmed_at.set(self.config_confirmed_at.get().max(Some(at)));
    }

    /// Returns the time since the configuration in force was last known to be the newest, or
    /// `None` if it never was.
    pub(super) fn config_age(&self) -> Option<Duration> {
        Some(self.clock.now().saturating_sub(self.config_confirmed_at.get()?))
    }

    /// Returns whether the configuration in force is known to have been the newest so lately that
    /// each one acknowledged since may still be on its way.
    pub(super) fn is_config_newest(&self) -> bool {
        let age_max = self.settings.bounds.config_propagation;
        self.config_age().is_some_and(|age| age <= age_max)
    }

    /// Returns [`EntryState::config_age`] in milliseconds.
    pub(super) fn config_age_ms(&self) -> Option<u64> {
        self.config_age().map(|age| age.as_millis() as u64)
    }

    /// Returns the age of the list of upstreams in milliseconds, or `None`
    /// before the first list.
    pub(super) fn list_age_ms(&self) -> Option<u64> {
        let age = self.clock.now().saturating_sub(self.list_read_at.get()?);
        Some(age.as_millis() as u64)
    }

    /// Returns whether a configuration is in force, so that requests can be
    /// routed.
    pub(super) fn has_configuration(&self) -> bool {
        self.config_version().is_some()
    }

    /// Returns whether a request that ends at `end` is answered before the process exits.
    pub(super) fn can_complete(&self, end: Duration) -> bool {
        self.stop_plan.get().is_none_or(|plan| end <= plan.answer_by)
    }

    /// Returns how far the stop has come.
    pub(super) fn stop_phase(&self) -> StopPhase {
        *self.stop_phase.borrow()
    }

    /// Completes when all requests in progress have to be answered because the process is
    /// about to exit.
    pub(super) async fn stop_ends(&self) {
        let mut phases = self.stop_phase.subscribe();
        // The sender lives as long as `self`.
        phases.wait_for(|phase| *phase == StopPhase::Ending).await.ok();
    }

    /// Recomputes whether the instance is ready for callers.
    pub(super) fn update_readiness(&self) {
        let ready = self.has_configuration()
            && !self.balancer.borrow().is_empty()
            && self.stop_phase() == StopPhase::Serving;
        self.is_ready.store(ready, Ordering::Relaxed);
    }

    /// Begins a stop and returns its times. Marks the instance as not ready, so that the
    /// directory stops naming it to callers.
    pub(super) fn begin_stop(&self) -> StopPlan {
        let plan = StopPlan::new(self.clock.now(), self.settings.bounds.stop_grace);
        self.stop_plan.set(Some(plan));
        self.stop_phase.send_replace(StopPhase::Draining);
        self.update_readiness();
        plan
    }
}
