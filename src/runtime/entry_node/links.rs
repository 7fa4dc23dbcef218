//! Connects to upstreams, and notices when the links to those of a service are lost and
//! when they are back.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    io,
    rc::Rc,
    time::Duration,
};

use futures_util::future::join_all;
use tokio::{sync::Notify, time::timeout};
use tracing::{info, warn};

use super::{
    pool::{UpstreamConnection, connect},
    state::EntryState,
};
use crate::core::{
    balance::{AwaitedRequest, Choice, ReachFailure, UpstreamLinks},
    control::ServiceName,
    upstreams::UpstreamId,
};

/// The links of an entry instance to upstreams.
#[derive(Default)]
pub(super) struct LinkState {
    links: RefCell<UpstreamLinks>,
    /// The services whose links are lost, as probes have confirmed.
    lost: RefCell<BTreeSet<ServiceName>>,
    /// When the upstreams of a service whose links are lost were last heard, by the instance's
    /// clock.
    lost_since: Cell<Option<Duration>>,
    /// Notified when links may be lost, to start probes.
    suspected: Notify,
    /// Notified when links are lost or back, to announce it.
    pub(super) changed: Notify,
}

/// The interval between two rounds of probes while links are or may be lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The interval between two checks for silent services.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long an upstream of a silent service may take to accept a connection before the links to
/// the service are probed. It is more than a round trip between regions.
const SILENCE_PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// The number of upstreams of a service that are probed in one round.
const PROBES_PER_ROUND: usize = 4;
/// How long links must have been lost before callers are led elsewhere. A shorter loss is
/// over before callers learn of it.
const ANNOUNCE_DELAY: Duration = Duration::from_secs(1);

impl LinkState {
    /// Returns whether the links to the upstreams of a service are lost.
    pub(super) fn are_lost(&self, service: &ServiceName) -> bool {
        self.lost.borrow().contains(service)
    }

    /// Returns whether the upstreams of every service are reached, apart from a short loss.
    pub(super) fn reaches_upstreams(&self, now: Duration) -> bool {
        self.lost_since.get().is_none_or(|since| now < since + ANNOUNCE_DELAY)
    }

    /// Returns whether the links to the upstreams of any service are lost.
    pub(super) fn is_any_lost(&self) -> bool {
        self.lost_since.get().is_some()
    }

    /// Records that a new connection to an upstream of a service was opened.
    pub(super) fn record_reached(&self, service: &ServiceName, now: Duration) {
        self.links.borrow_mut().record_reached(service, now);
        if self.lost.borrow_mut().remove(service) {
            if self.lost.borrow().is_empty() {
                self.lost_since.set(None);
            }
            self.changed.notify_one();
            info!(service, "links to upstreams regained");
        }
    }

    /// Records a response of an upstream of a service. It may have come over a connection from
    /// before the links were lost, so it does not show that they are back.
    pub(super) fn record_response(&self, service: &ServiceName, now: Duration) {
        if !self.are_lost(service) {
            self.links.borrow_mut().record_reached(service, now);
        }
    }

    fn suspected_services(&self) -> Vec<ServiceName> {
        self.links.borrow().lost_services().into_iter().cloned().collect()
    }

    /// Returns whether the links to the upstreams of a service are or may be lost.
    pub(super) fn is_suspected(&self, service: &ServiceName) -> bool {
        self.links.borrow().are_lost(service)
    }
}

/// Counts a request as awaited until dropped.
pub(super) struct AwaitedResponse {
    state: Rc<EntryState>,
    request: AwaitedRequest,
}

impl AwaitedResponse {
    pub(super) fn new(state: &Rc<EntryState>, choice: &Choice) -> Self {
        let now = state.clock.now();
        let request = state.links.links.borrow_mut().record_sent(&choice.service, &choice.id, now);
        Self { state: state.clone(), request }
    }
}

impl Drop for AwaitedResponse {
    fn drop(&mut self) {
        self.state.links.links.borrow_mut().record_ended(&self.request);
    }
}

/// Records that an upstream could not be reached, or left a request unacknowledged, in an
/// attempt that began at `began_at`.
pub(super) fn record_unreachable(
    state: &EntryState,
    choice: &Choice,
    error: &io::Error,
    began_at: Duration,
) {
    let links = &state.links;
    let is_timeout = error.kind() == io::ErrorKind::TimedOut;
    let failure = ReachFailure { began_at, is_timeout };
    if links.links.borrow_mut().record_unreachable(&choice.service, &choice.id, failure) {
        links.suspected.notify_one();
    }
}

fn record_lost(state: &EntryState, service: &ServiceName) {
    let links = &state.links;
    if !links.lost.borrow_mut().insert(service.clone()) {
        return;
    }
    // A connection from before the loss may be dead without a reset.
    state.pool.borrow_mut().clear();
    let heard_at = links.links.borrow().heard_at(service).unwrap_or_else(|| state.clock.now());
    links.lost_since.set(links.lost_since.get().or(Some(heard_at)));
    links.changed.notify_one();
    suspect_other_services(state, service);
    let peers = state.peers.borrow().len();
    warn!(service, peers, "links to upstreams lost; handing requests over to peers");
}

/// Has the links to the upstreams of all other services probed. A service with few requests would
/// otherwise be the last to be found out of reach.
fn suspect_other_services(state: &EntryState, lost: &ServiceName) {
    let policy = state.policy.borrow();
    let mut links = state.links.links.borrow_mut();
    for service in policy.routing.services.keys().filter(|service| *service != lost) {
        links.suspect(service);
    }
    state.links.suspected.notify_one();
}

/// Opens a connection to an upstream and records whether that succeeded.
///
/// # Errors
///
/// Returns an error if the connection fails or times out.
pub(super) async fn connect_to_upstream(
    state: &EntryState,
    choice: &Choice,
) -> io::Result<UpstreamConnection> {
    let began_at = state.clock.now();
    let result = connect(choice.address, state.settings.link_queue_time()).await;
    match &result {
        Ok(_) => state.links.record_reached(&choice.service, state.clock.now()),
        Err(error) => record_unreachable(state, choice, error, began_at),
    }
    result
}

/// Opens connections to upstreams of each service whose links are or may be lost, at regular
/// intervals, until one succeeds. Runs for as long as the process runs.
pub(super) async fn probe_upstreams(state: Rc<EntryState>) {
    // Instances that lose their links together should not all probe the same upstreams.
    let mut round = usize::from(rand::random::<u16>());
    loop {
        state.links.suspected.notified().await;
        loop {
            let services = state.links.suspected_services();
            if services.is_empty() {
                break;
            }
            join_all(services.iter().map(|service| probe_service(&state, service, round))).await;
            round += 1;
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }
}

/// Tries an upstream of each service whose upstreams are silent, at regular intervals. Runs for
/// as long as the process runs.
pub(super) async fn check_silent_services(state: Rc<EntryState>) {
    loop {
        tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
        let services = state.links.links.borrow().silent_services(state.clock.now());
        let checks = services.iter().map(|service| check_silent_service(&state, service));
        join_all(checks).await;
    }
}

/// Tries one upstream of a service. Unless it takes a connection at once, the links may be lost.
async fn check_silent_service(state: &EntryState, service: &ServiceName) {
    let (round, now) = (usize::from(rand::random::<u16>()), state.clock.now());
    let target = state.balancer.borrow().probe_target(service, round, now);
    let Some(target) = target else { return };
    if timeout(SILENCE_PROBE_TIMEOUT, probe(state, target)).await.is_ok()
        && !state.links.links.borrow().silent_services(state.clock.now()).contains(service)
    {
        return;
    }
    if state.links.links.borrow_mut().suspect(service) {
        info!(service, "upstreams are silent; probing the links to them");
        state.links.suspected.notify_one();
    }
}

/// Probes some upstreams of a service. If none can be reached, the links are lost.
async fn probe_service(state: &EntryState, service: &ServiceName, round: usize) {
    let now = state.clock.now();
    let targets: BTreeMap<UpstreamId, Choice> = (0..PROBES_PER_ROUND)
        .filter_map(|probe| {
            state.balancer.borrow().probe_target(service, round * PROBES_PER_ROUND + probe, now)
        })
        .map(|choice| (choice.id.clone(), choice))
        .collect();
    if targets.is_empty() {
        // Without upstreams that take work there are no links that could be lost.
        state.links.record_reached(service, now);
        return;
    }
    join_all(targets.into_values().map(|choice| probe(state, choice))).await;
    if state.links.is_suspected(service) {
        record_lost(state, service);
    }
}

async fn probe(state: &EntryState, choice: Choice) {
    // A failure is recorded; it shows only that the links are still lost.
    if let Ok(connection) = connect_to_upstream(state, &choice).await {
        state.pool.borrow_mut().put(choice.address, connection, None);
    }
}
