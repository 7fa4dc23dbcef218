//! Proxies callers' requests to upstreams, directly or through the instance that owns the upstream.

mod attempt;
mod body;
mod callers;
mod claim;
mod headers;
mod links;
mod problem;
mod request;
mod response;
mod slot;

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use xtra::Address;

pub(super) use self::callers::{caller_routes, forward_routes};
use self::links::LinkLimiters;
use super::{
    admission_actor::AdmissionActor, clock::Clock, control_client::ControlClient,
    metrics::InstanceMetrics, view::View,
};
use crate::{
    core::{
        admission::{RetryBudget, Ticket},
        control::{Holder, InstanceName, RegionName, ServiceName},
    },
    settings::Settings,
};

/// Represents an instance's proxy for callers' requests. Clones share all state.
#[derive(Clone)]
pub(super) struct Gateway {
    shared: Arc<Shared>,
}

struct Shared {
    local_id: Holder,
    region: RegionName,
    settings: Arc<Settings>,
    clock: Clock,
    view: View,
    control: ControlClient,
    admission: Address<AdmissionActor>,
    metrics: InstanceMetrics,
    cluster_key: String,
    http: reqwest::Client,
    /// Opens a connection for each request, so that the first response on it is the one to it.
    http_without_reuse: reqwest::Client,
    link_limiters: LinkLimiters,
    retry_budgets: BTreeMap<ServiceName, Mutex<RetryBudget>>,
    /// For each other instance, the number of requests that were forwarded to it and whose
    /// response has not begun.
    forwarded: Mutex<BTreeMap<InstanceName, u32>>,
    next_ticket: AtomicU64,
}

/// Holds the arguments of [`Gateway::new`].
pub(super) struct GatewayParts {
    pub(super) local_id: Holder,
    pub(super) settings: Arc<Settings>,
    pub(super) clock: Clock,
    pub(super) view: View,
    pub(super) control: ControlClient,
    pub(super) admission: Address<AdmissionActor>,
    pub(super) metrics: InstanceMetrics,
    pub(super) cluster_key: String,
}

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

impl Gateway {
    /// Creates a gateway with its own HTTP client.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be built.
    pub(super) fn new(parts: GatewayParts) -> Result<Self, reqwest::Error> {
        let topology = &parts.settings.topology;
        let region =
            topology.region_of_instance(&parts.local_id.instance).cloned().unwrap_or_default();
        // The budgets of instances are independent, so each may start with a retry.
        let budget =
            |percent| Mutex::new(RetryBudget::new(percent).with_retries(u32::from(percent > 0)));
        let retry_budgets = topology
            .services
            .iter()
            .map(|(name, service)| (name.clone(), budget(service.retry_percent)))
            .collect();
        // The client must not retry: only this module decides which requests may be sent again.
        let build_client = |idle_max| {
            reqwest::Client::builder()
                .retry(reqwest::retry::never())
                .redirect(reqwest::redirect::Policy::none())
                .no_proxy()
                .connect_timeout(CONNECT_TIMEOUT)
                .pool_idle_timeout(POOL_IDLE_TIMEOUT)
                .pool_max_idle_per_host(idle_max)
                .tcp_nodelay(true)
                .http1_only()
                .build()
        };
        let (http, http_without_reuse) = (build_client(usize::MAX)?, build_client(0)?);
        let link_limiters = LinkLimiters::new(&parts.settings, &region);
        let shared = Shared {
            local_id: parts.local_id,
            region,
            settings: parts.settings,
            clock: parts.clock,
            view: parts.view,
            control: parts.control,
            admission: parts.admission,
            metrics: parts.metrics,
            cluster_key: parts.cluster_key,
            http,
            http_without_reuse,
            link_limiters,
            retry_budgets,
            forwarded: Mutex::default(),
            next_ticket: AtomicU64::new(1),
        };
        Ok(Self { shared: Arc::new(shared) })
    }

    fn next_ticket(&self) -> Ticket {
        self.shared.next_ticket.fetch_add(1, Ordering::Relaxed)
    }

    fn now(&self) -> Duration {
        self.shared.clock.now()
    }

    fn record_request(&self, service: &str) {
        if let Some(budget) = self.shared.retry_budgets.get(service) {
            budget.lock().unwrap_or_else(|error| error.into_inner()).record_request();
        }
    }

    /// Takes one retry from the service's budget and returns whether one was available.
    fn try_take_retry(&self, service: &str) -> bool {
        self.shared.retry_budgets.get(service).is_some_and(|budget| {
            budget.lock().unwrap_or_else(|error| error.into_inner()).try_take(rand::random())
        })
    }
}
