//! Searches for a control replica that is up to date.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::time::{Instant, timeout};
use tracing::warn;

use super::{
    replica_call::{
        Client, FollowState, PendingReply, REPLY_MARGIN, ReplicaReply, apply_probe_reply,
        apply_reply, fetch_state, is_up_to_date, new_client, probe,
    },
    state::EntryState,
};
use crate::net::{mesh::MeshError, wire::FollowReply};

/// How long to wait for a nearer replica once an up-to-date one has replied.
const NEARER_WAIT: Duration = Duration::from_millis(200);
/// The pause before a replica that was not up to date, or did not reply, is probed again
/// while others are still awaited. Replicas that start together elect a leader before the
/// probe of a silent one times out.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// The pause before all replicas are probed again if none was up to date.
const FIND_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A search for a replica that is up to date.
///
/// Connections and awaited replies are kept from one round of probes to the next, since a
/// queue on the instance's link can delay a reply for longer than a round takes.
#[derive(Default)]
pub(super) struct Search {
    clients: BTreeMap<SocketAddr, Client>,
    replies: FuturesUnordered<PendingReply>,
    /// The replicas whose reply is awaited.
    awaited: BTreeSet<SocketAddr>,
    /// When the state may be fetched although another replica was asked for it, by the
    /// instance's clock.
    next_fetch_at: Duration,
}

impl Search {
    /// Returns a search that keeps the connection to a replica.
    pub(super) fn with_client(address: SocketAddr, client: Client) -> Self {
        Self { clients: BTreeMap::from([(address, client)]), ..Self::default() }
    }

    /// Returns a search in which a late reply of a replica is still awaited.
    pub(super) fn with_late_reply(
        address: SocketAddr,
        client: Client,
        reply: PendingReply,
    ) -> Self {
        let mut search = Self::with_client(address, client);
        search.awaited.insert(address);
        search.replies.push(reply);
        search
    }

    /// Probes all known replicas until one is up to date, and returns the nearest of those. If
    /// another replica has newer state than this instance, that state is fetched and applied
    /// meanwhile.
    ///
    /// The probes don't ask for the policy or the list, which keeps the replies
    /// small: on a narrow link, the list from every replica at once would delay all
    /// other traffic.
    pub(super) async fn find_replica(
        mut self,
        state: &Rc<EntryState>,
        progress: &mut FollowState,
    ) -> (SocketAddr, Client) {
        loop {
            for address in state.all_control_addresses() {
                if !self.awaited.contains(&address) {
                    self.probe(state, address, Duration::ZERO);
                }
            }
            if let Some(found) = self.await_replies(state, progress).await {
                return found;
            }
            tokio::time::sleep(FIND_RETRY_DELAY).await;
        }
    }

    /// Handles the replies of one round, and returns the nearest replica that is up to date.
    async fn await_replies(
        &mut self,
        state: &Rc<EntryState>,
        progress: &mut FollowState,
    ) -> Option<(SocketAddr, Client)> {
        let mut deadline = Instant::now() + REPLY_MARGIN + state.settings.link_queue_time();
        let mut nearest: Option<(u8, SocketAddr)> = None;
        let mut nearest_behind = u8::MAX;
        let mut counts = ReplyCounts::default();
        while let Ok(Some(received)) =
            timeout(deadline.saturating_duration_since(Instant::now()), self.replies.next()).await
        {
            let ReplicaReply { address, call, result } = received;
            self.awaited.remove(&address);
            if call.is_state {
                self.next_fetch_at = Duration::ZERO;
            }
            let reply = match result {
                Ok(reply) => reply,
                Err(error) => {
                    counts.record_error(error);
                    progress.record_failed(&call, state.clock.now());
                    // The connection may have stopped delivering data without a reset.
                    self.clients.remove(&address);
                    if state.all_control_addresses().contains(&address) {
                        self.probe(state, address, PROBE_INTERVAL);
                    }
                    continue;
                }
            };
            let distance = state.distance_to(&reply.zone);
            let (up_to_date, is_newer) = (is_up_to_date(&reply), has_newer_state(state, &reply));
            if call.is_state {
                apply_reply(state, *reply, &call, progress);
            } else {
                apply_probe_reply(state, &reply, &call);
            }
            if up_to_date {
                if nearest.is_none() {
                    deadline = deadline.min(Instant::now() + NEARER_WAIT);
                }
                if nearest.is_none_or(|(nearest_distance, _)| distance < nearest_distance) {
                    nearest = Some((distance, address));
                }
                if distance == 0 {
                    break;
                }
                continue;
            }
            counts.behind += 1;
            // Probing all of them again would load the replicas while they elect a leader.
            nearest_behind = nearest_behind.min(distance);
            let may_fetch = state.clock.now() >= self.next_fetch_at && !self.is_receiving();
            if is_newer && !call.is_state && may_fetch {
                self.fetch(state, address, progress);
            } else if distance == nearest_behind {
                self.probe(state, address, PROBE_INTERVAL);
            }
        }
        let Some((_, address)) = nearest else {
            counts.log(state, self.awaited.len());
            return None;
        };
        Some((address, self.client(state, address)))
    }

    fn probe(&mut self, state: &Rc<EntryState>, address: SocketAddr, delay: Duration) {
        let client = self.client(state, address);
        self.awaited.insert(address);
        self.replies.push(probe(state, address, &client, delay));
    }

    /// Fetches a replica's state, whether or not the replica is up to date.
    fn fetch(&mut self, state: &Rc<EntryState>, address: SocketAddr, progress: &FollowState) {
        let client = self.client(state, address);
        self.awaited.insert(address);
        self.replies.push(fetch_state(state, address, &client, Duration::ZERO, progress));
        self.next_fetch_at = state.clock.now() + progress.state_timeout() / 2;
    }

    /// Returns whether part of a long reply is arriving from any replica.
    fn is_receiving(&self) -> bool {
        self.clients.values().any(Client::is_receiving)
    }

    fn client(&mut self, state: &EntryState, address: SocketAddr) -> Client {
        self.clients.entry(address).or_insert_with(|| new_client(state, address)).clone()
    }
}

/// Returns whether a replica has a newer policy, or a list of upstreams while
/// this instance has none.
fn has_newer_state(state: &EntryState, reply: &FollowReply) -> bool {
    let has_first_list = state.list_read_at.get().is_none() && reply.list_age_ms.is_some();
    has_first_list || reply.version > state.policy.borrow().version
}

/// How replicas replied during a round of a search that failed.
#[derive(Default)]
struct ReplyCounts {
    unreachable: u32,
    no_reply: u32,
    behind: u32,
}

impl ReplyCounts {
    fn record_error(&mut self, error: MeshError) {
        match error {
            MeshError::Unreachable => self.unreachable += 1,
            MeshError::NoReply | MeshError::Encode | MeshError::TooLong => self.no_reply += 1,
        }
    }

    fn log(&self, state: &EntryState, awaited: usize) {
        state.metrics.record_failed_search();
        warn!(
            unreachable = self.unreachable,
            no_reply = self.no_reply,
            behind = self.behind,
            awaited,
            config_age_ms = state.config_age_ms(),
            "no control replica is up to date; searching on"
        );
    }
}
