//! Follows a control replica to keep the policy and the list of upstreams
//! current.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::time::{Instant, timeout};
use tracing::{info, warn};

use super::state::EntryState;
use crate::{
    core::{control::Version, routing::RouteIndex},
    net::{
        mesh::{MeshClient, MeshError},
        wire::{
            Cursor, FollowReply, FollowRequest, ListDelta, NodeReply, NodeRequest, PolicyUpdate,
        },
    },
};

/// How long a replica may hold back its reply while nothing has changed.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long a reply may take in addition to the time for which it is held back.
const REPLY_MARGIN: Duration = Duration::from_millis(700);
/// A replica is not followed if it was last known to be up to date longer ago
/// than this.
const BEHIND_MAX: Duration = Duration::from_millis(1200);
/// How long to wait for a nearer replica once an up-to-date one has replied.
const NEARER_WAIT: Duration = Duration::from_millis(200);
/// The pause before a replica that was not up to date, or did not reply, is probed again
/// while others are still awaited. Replicas that start together elect a leader before the
/// probe of a silent one times out.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// The pause before all replicas are probed again if none was up to date.
const FIND_RETRY_DELAY: Duration = Duration::from_millis(100);

type Client = MeshClient<NodeRequest, NodeReply>;

/// Follows one control replica at a time, for as long as the process runs.
pub(super) async fn follow_control(state: Rc<EntryState>) {
    let mut progress = FollowState::default();
    loop {
        match find_replica(&state, &mut progress).await {
            Some((address, client)) => {
                follow_replica(&state, address, &client, &mut progress).await
            }
            None => tokio::time::sleep(FIND_RETRY_DELAY).await,
        }
    }
}

/// Probes all known replicas and returns the nearest one that is up to date. If
/// another replica has newer state than this instance, that state is fetched
/// and applied meanwhile.
///
/// The probes don't ask for the policy or the list, which keeps the replies
/// small: on a narrow link, the list from every replica at once would delay all
/// other traffic.
async fn find_replica(
    state: &Rc<EntryState>,
    progress: &mut FollowState,
) -> Option<(SocketAddr, Client)> {
    let call_timeout = REPLY_MARGIN + state.settings.link_queue_time();
    let addresses = state.all_control_addresses().into_iter();
    let probes = addresses
        .map(|address| probe(state, address, Client::new(address), Duration::ZERO, call_timeout));
    let mut replies: FuturesUnordered<_> = probes.collect();
    let mut nearest: Option<(u8, SocketAddr, Client)> = None;
    let mut nearest_behind = u8::MAX;
    let mut deadline = Instant::now() + call_timeout;
    let mut counts = ReplyCounts::default();
    while let Ok(Some(ProbeReply { address, client, sent_at, reply })) =
        timeout(deadline.saturating_duration_since(Instant::now()), replies.next()).await
    {
        let reply = match reply {
            Ok(NodeReply::Follow(reply)) => reply,
            Err(MeshError::Unreachable) => {
                counts.unreachable += 1;
                replies.push(probe(state, address, client, PROBE_INTERVAL, call_timeout));
                continue;
            }
            _ => {
                counts.no_reply += 1;
                replies.push(probe(state, address, client, PROBE_INTERVAL, call_timeout));
                continue;
            }
        };
        apply_replicas(state, &reply);
        record_confirmation(state, reply.version, current_at(state, &reply, sent_at));
        let distance = state.distance_to(&reply.zone);
        if is_up_to_date(&reply) {
            if nearest.is_none() {
                deadline = deadline.min(Instant::now() + NEARER_WAIT);
            }
            if nearest.as_ref().is_none_or(|(nearest_distance, ..)| distance < *nearest_distance) {
                nearest = Some((distance, address, client));
            }
            if distance == 0 {
                break;
            }
        } else {
            counts.behind += 1;
            if has_newer_state(state, &reply) {
                fetch_state(state, &client, progress, call_timeout).await;
            }
            // Probing all of them again would load the replicas while they elect a leader.
            nearest_behind = nearest_behind.min(distance);
            if distance == nearest_behind {
                replies.push(probe(state, address, client, PROBE_INTERVAL, call_timeout));
            }
        }
    }
    if nearest.is_none() {
        counts.log(state, replies.len());
    }
    nearest.map(|(_, address, client)| (address, client))
}

/// How replicas replied during a search that failed.
#[derive(Default)]
struct ReplyCounts {
    unreachable: u32,
    no_reply: u32,
    behind: u32,
}

impl ReplyCounts {
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

/// The reply of a replica to a probe.
struct ProbeReply {
    address: SocketAddr,
    client: Client,
    /// When the probe was sent, by the instance's clock.
    sent_at: Duration,
    reply: Result<NodeReply, MeshError>,
}

/// Asks a replica how up to date it is, after a delay.
async fn probe(
    state: &EntryState,
    address: SocketAddr,
    client: Client,
    delay: Duration,
    call_timeout: Duration,
) -> ProbeReply {
    tokio::time::sleep(delay).await;
    let sent_at = state.clock.now();
    let request =
        FollowRequest { version: None, list: None, demand: Vec::new(), hold_ms: 0, peers_of: None };
    let reply = client.call(NodeRequest::Follow(request), call_timeout).await;
    ProbeReply { address, client, sent_at, reply }
}

/// Returns whether a replica has a newer policy, or a list of upstreams while
/// this instance has none.
fn has_newer_state(state: &EntryState, reply: &FollowReply) -> bool {
    let has_first_list = state.list_read_at.get().is_none() && reply.list_age_ms.is_some();
    has_first_list || reply.version > state.policy.borrow().version
}

/// Fetches and applies a replica's state, whether or not the replica is up to
/// date.
async fn fetch_state(
    state: &Rc<EntryState>,
    client: &Client,
    progress: &mut FollowState,
    call_timeout: Duration,
) {
    let request = build_request(state, progress, Duration::ZERO);
    let sent_at = state.clock.now();
    if let Ok(NodeReply::Follow(reply)) =
        client.call(NodeRequest::Follow(request), call_timeout).await
    {
        apply_reply(state, *reply, sent_at, progress);
    }
}

/// Follows one replica until it does not reply in time or is not up to date.
async fn follow_replica(
    state: &Rc<EntryState>,
    address: SocketAddr,
    client: &Client,
    progress: &mut FollowState,
) {
    info!(replica = %address, config_age_ms = state.config_age_ms(), "control regained");
    let call_timeout = LONG_POLL_TIMEOUT + REPLY_MARGIN + state.settings.link_queue_time();
    loop {
        let request = build_request(state, progress, LONG_POLL_TIMEOUT);
        let sent_at = state.clock.now();
        let reply = client.call(NodeRequest::Follow(request), call_timeout).await;
        let Ok(NodeReply::Follow(reply)) = reply else {
            warn!(
                replica = %address,
                config_age_ms = state.config_age_ms(),
                "control lost: the replica does not reply; looking for another"
            );
            return;
        };
        let (up_to_date, behind_ms) = (is_up_to_date(&reply), reply.behind_ms);
        apply_reply(state, *reply, sent_at, progress);
        if !up_to_date {
            warn!(
                replica = %address,
                behind_ms,
                config_age_ms = state.config_age_ms(),
                "control lost: the replica is not up to date; looking for another"
            );
            return;
        }
    }
}

fn build_request(
    state: &EntryState,
    progress: &FollowState,
    poll_timeout: Duration,
) -> FollowRequest {
    FollowRequest {
        version: Some(state.policy.borrow().version),
        list: Some(progress.list_cursor),
        demand: state.take_demand_report().into_iter().collect(),
        hold_ms: poll_timeout.as_millis() as u64,
        peers_of: state.take_peers_request(),
    }
}

fn is_up_to_date(reply: &FollowReply) -> bool {
    reply.behind_ms.is_some_and(|behind| Duration::from_millis(behind) <= BEHIND_MAX)
}

/// The progress in following the control replicas.
#[derive(Default)]
struct FollowState {
    /// Identifies the last delta of the list of upstreams that was applied.
    list_cursor: Cursor,
}

fn apply_reply(
    state: &EntryState,
    reply: FollowReply,
    sent_at: Duration,
    progress: &mut FollowState,
) {
    apply_replicas(state, &reply);
    let (version, current_at) = (reply.version, current_at(state, &reply, sent_at));
    apply_policy(state, reply.update);
    record_confirmation(state, version, current_at);
    apply_list(state, reply.list, reply.list_age_ms, progress);
    state.record_entry_count(reply.entries);
    if let Some(peers) = reply.peers {
        state.peers.borrow_mut().set(peers);
    }
    state.update_readiness();
}

fn apply_replicas(state: &EntryState, reply: &FollowReply) {
    let replicas: Vec<SocketAddr> =
        reply.replicas.iter().filter_map(|name| name.parse().ok()).collect();
    if !replicas.is_empty() {
        *state.control_addresses.borrow_mut() = replicas;
    }
}

/// Returns a time at which the state in a reply was the newest, or `None` if it is not known
/// ever to have been. The request was sent at `sent_at`.
///
/// The reply may have been delayed on its way, so it counts from the request and from how long
/// the replica held it back.
fn current_at(state: &EntryState, reply: &FollowReply, sent_at: Duration) -> Option<Duration> {
    let behind = Duration::from_millis(reply.behind_ms?);
    let replied_at = (sent_at + Duration::from_millis(reply.held_ms)).min(state.clock.now());
    Some(replied_at.saturating_sub(behind))
}

/// Records that a version of the policy was the newest at a time, if it is in force here.
fn record_confirmation(state: &EntryState, version: Version, current_at: Option<Duration>) {
    if let Some(current_at) = current_at
        && state.policy.borrow().version >= version
    {
        state.record_config_confirmed(current_at);
    }
}

/// Applies a delta of the list of upstreams. A complete list is ignored if it is
/// older than the current one.
fn apply_list(
    state: &EntryState,
    list: Option<ListDelta>,
    age_ms: Option<u64>,
    progress: &mut FollowState,
) {
    let Some(age) = age_ms.map(Duration::from_millis) else { return };
    let now = state.clock.now();
    let read_at = now.saturating_sub(age);
    let is_newer = state.list_read_at.get().is_none_or(|current| read_at >= current);
    let Some(delta) = list else {
        if is_newer {
            state.list_read_at.set(Some(read_at));
        }
        return;
    };
    if delta.change.is_full && !is_newer {
        return;
    }
    state.list_read_at.set(Some(read_at));
    progress.list_cursor = delta.cursor();
    let mut balancer = state.balancer.borrow_mut();
    balancer.apply_delta(delta.change, now);
    info!(upstreams = balancer.len(), list_age_ms = age_ms, "upstreams changed");
}

fn apply_policy(state: &EntryState, update: PolicyUpdate) {
    let mut policy = state.policy.borrow_mut();
    let previous_version = policy.version;
    match update {
        PolicyUpdate::Deltas(deltas) => {
            for delta in &deltas {
                policy.apply_delta(delta);
            }
        }
        PolicyUpdate::Whole(new_policy) if new_policy.version > previous_version => {
            *policy = *new_policy
        }
        PolicyUpdate::Whole(_) => {}
    }
    if policy.version == previous_version {
        return;
    }
    info!(version = policy.version, routing = policy.routing.version, "policy in force");
    *state.routes.borrow_mut() = Rc::new(RouteIndex::new(&policy.routing));
    let mut balancer = state.balancer.borrow_mut();
    balancer.set_services(policy.routing.services.clone());
    balancer.set_placement(policy.placement.clone());
    balancer.set_evacuated(policy.evacuated.clone(), state.clock.now());
}
