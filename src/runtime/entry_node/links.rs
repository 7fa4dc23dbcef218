//! Connects to upstreams, and notices when the links to those of a service are lost and
//! when they are back.

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};
use tracing::{info, warn};

use super::{
    pool::{UpstreamConnection, connect},
    state::EntryState,
};
use crate::core::{
    balance::{Choice, UpstreamLinks},
    control::ServiceName,
};

/// The links of an entry instance to upstreams.
#[derive(Default)]
pub(super) struct LinkState {
    links: RefCell<UpstreamLinks>,
    /// Since when the links to the upstreams of some service have been lost.
    lost_since: Cell<Option<Instant>>,
    /// Notified when links are lost, to start probes.
    lost: Notify,
}

/// The interval between two probes while links are lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// How long links must have been lost before callers are led elsewhere. A shorter loss is
/// over before callers learn of it.
const ANNOUNCE_DELAY: Duration = Duration::from_secs(1);

impl LinkState {
    /// Returns whether the links to the upstreams of a service are lost.
    pub(super) fn are_lost(&self, service: &ServiceName) -> bool {
        self.links.borrow().are_lost(service)
    }

    /// Returns whether any upstream of a service could not be reached since one was.
    pub(super) fn has_unreachable(&self, service: &ServiceName) -> bool {
        self.links.borrow().has_unreachable(service)
    }

    /// Returns whether the upstreams of every service are reached, apart from a short loss.
    pub(super) fn reaches_upstreams(&self) -> bool {
        self.lost_since.get().is_none_or(|since| since.elapsed() < ANNOUNCE_DELAY)
    }

    /// Returns whether the links to the upstreams of any service are lost.
    pub(super) fn is_any_lost(&self) -> bool {
        self.lost_since.get().is_some()
    }

    /// Records that an upstream of a service was reached.
    pub(super) fn record_reached(&self, service: &ServiceName) {
        if self.links.borrow_mut().record_reached(service) {
            if self.links.borrow().lost_services().next().is_none() {
                self.lost_since.set(None);
            }
            info!(service, "links to upstreams regained");
        }
    }
}

/// Records that an upstream could not be reached, or left a request unacknowledged.
pub(super) fn record_unreachable(state: &EntryState, choice: &Choice) {
    let links = &state.links;
    if links.links.borrow_mut().record_unreachable(&choice.service, &choice.id) {
        // A connection from before the loss may be dead without a reset.
        state.pool.borrow_mut().clear();
        links.lost_since.set(links.lost_since.get().or(Some(Instant::now())));
        links.lost.notify_one();
        let (service, peers) = (&choice.service, state.peers.borrow().len());
        warn!(service, peers, "links to upstreams lost; handing requests over to peers");
    }
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
    let result = connect(choice.address, state.settings.link_queue_time()).await;
    match result {
        Ok(_) => state.links.record_reached(&choice.service),
        Err(_) => record_unreachable(state, choice),
    }
    result
}

/// Opens a connection to an upstream of each service with lost links at regular intervals,
/// until one succeeds. Runs for as long as the process runs.
pub(super) async fn probe_upstreams(state: Rc<EntryState>) {
    let mut round = 0;
    loop {
        state.links.lost.notified().await;
        while state.links.is_any_lost() {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let services: Vec<ServiceName> =
                state.links.links.borrow().lost_services().cloned().collect();
            for service in services {
                let now = state.clock.now();
                let choice = state.balancer.borrow().probe_target(&service, round, now);
                if let Some(choice) = choice {
                    tokio::task::spawn_local(probe(state.clone(), choice));
                }
            }
            round += 1;
        }
    }
}

async fn probe(state: Rc<EntryState>, choice: Choice) {
    // A failure is recorded; it shows only that the links are still lost.
    if let Ok(connection) = connect_to_upstream(&state, &choice).await {
        state.pool.borrow_mut().put(choice.address, connection.stream, None);
    }
}
