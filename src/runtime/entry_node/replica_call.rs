//! Calls control replicas, and applies their replies.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::LocalBoxFuture;
use tracing::info;

use super::state::EntryState;
use crate::{
    core::{control::Version, routing::RouteIndex},
    net::{
        mesh::{ClientLimits, MeshClient, MeshError},
        wire::{
            Cursor, FollowReply, FollowRequest, ListDelta, NodeReply, NodeRequest, PolicyUpdate,
        },
    },
};

/// How long a reply may take in addition to the time for which it is held back, before another
/// replica is looked for.
pub(super) const REPLY_MARGIN: Duration = Duration::from_millis(700);
/// A replica is not followed if it was last known to be up to date longer ago
/// than this.
const BEHIND_MAX: Duration = Duration::from_millis(1200);
/// How long a reply is awaited before its connection is given up. It includes
/// [`CONNECT_TIMEOUT`].
const REPLY_TIMEOUT: Duration = Duration::from_secs(4);
/// The pause before a list of upstreams is requested again after a complete one that was older
/// than the current one.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(250);
/// The maximum time for which a reply with the replica's state is awaited. While it is arriving,
/// it is awaited for as long again.
const STATE_TIMEOUT_MAX: Duration = Duration::from_secs(32);
/// How long a connection may take to open. Linux sends a lost request for a connection again
/// after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) type Client = MeshClient<NodeRequest, NodeReply>;

/// The reply of a replica that is still awaited.
pub(super) type PendingReply = LocalBoxFuture<'static, ReplicaReply>;

/// The reply of a replica to a call.
pub(super) struct ReplicaReply {
    pub(super) address: SocketAddr,
    pub(super) call: ReplicaCall,
    pub(super) result: Result<Box<FollowReply>, MeshError>,
}

/// A call to a replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplicaCall {
    /// When it was sent, by the instance's clock.
    sent_at: Duration,
    timeout: Duration,
    /// Whether the replica was asked for its state, not only how up to date it is.
    pub(super) is_state: bool,
    /// The position in the list of upstreams from which changes were requested, if any.
    list: Option<Cursor>,
}

impl ReplicaCall {
    /// Returns the earliest time at which the replica may have replied.
    ///
    /// The reply may have been delayed on its way, so this counts from the call and from how
    /// long the replica held the reply back.
    fn replied_at(&self, state: &EntryState, reply: &FollowReply) -> Duration {
        (self.sent_at + Duration::from_millis(reply.held_ms)).min(state.clock.now())
    }
}

/// The progress in following the control replicas.
pub(super) struct FollowState {
    /// Identifies the last delta of the list of upstreams that was applied.
    list_cursor: Cursor,
    /// When changes of the list are next requested, by the instance's clock.
    next_list_at: Duration,
    /// How long a reply with a replica's state may take before another replica is looked for, and
    /// how long it is awaited. Both grow while none arrives in time, and fall once one arrives.
    reply_margin: Duration,
    state_timeout: Duration,
}

impl Default for FollowState {
    fn default() -> Self {
        Self {
            list_cursor: Cursor::default(),
            next_list_at: Duration::ZERO,
            reply_margin: REPLY_MARGIN,
            state_timeout: REPLY_TIMEOUT,
        }
    }
}

impl FollowState {
    pub(super) fn state_timeout(&self) -> Duration {
        self.state_timeout
    }

    pub(super) fn reply_margin(&self) -> Duration {
        self.reply_margin
    }

    /// Records a reply with a replica's state that did not arrive in time. If each replica is
    /// given up before its whole state has arrived, none ever arrives.
    pub(super) fn record_late(&mut self) {
        self.reply_margin = (self.reply_margin * 2).min(STATE_TIMEOUT_MAX);
        // A reply that is late must not have failed already.
        self.state_timeout = self.state_timeout.max(self.reply_margin * 2);
    }

    /// Records a call that failed. If a replica's state did not arrive in time, it is awaited
    /// for longer the next time.
    pub(super) fn record_failed(&mut self, call: &ReplicaCall, now: Duration) {
        if call.is_state && now >= call.sent_at + call.timeout {
            self.state_timeout = (self.state_timeout * 2).min(STATE_TIMEOUT_MAX);
        }
    }
}

/// Returns a client of the replica at an address.
pub(super) fn new_client(state: &EntryState, address: SocketAddr) -> Client {
    let reply_max_bytes = state.settings.reply_max_bytes();
    let limits = ClientLimits {
        connect_timeout: CONNECT_TIMEOUT,
        reply_max_bytes,
        arrival_timeout: STATE_TIMEOUT_MAX,
    };
    Client::with_limits(address, limits)
}

/// Asks a replica how up to date it is, after a delay.
pub(super) fn probe(
    state: &Rc<EntryState>,
    address: SocketAddr,
    client: &Client,
    delay: Duration,
) -> PendingReply {
    let (state, client) = (state.clone(), client.clone());
    Box::pin(async move {
        tokio::time::sleep(delay).await;
        let call = ReplicaCall {
            sent_at: state.clock.now(),
            timeout: REPLY_TIMEOUT,
            is_state: false,
            list: None,
        };
        let request = FollowRequest {
            version: None,
            list: None,
            demand: Vec::new(),
            hold_ms: 0,
            peers_of: None,
            crashes: Vec::new(),
        };
        send(address, &client, request, call).await
    })
}

/// Asks a replica for its state. It may hold its reply back for `hold` while that has not
/// changed.
pub(super) fn fetch_state(
    state: &Rc<EntryState>,
    address: SocketAddr,
    client: &Client,
    hold: Duration,
    progress: &FollowState,
) -> PendingReply {
    let client = client.clone();
    let now = state.clock.now();
    let list_delay = progress.next_list_at.saturating_sub(now);
    let hold = if list_delay.is_zero() { hold } else { hold.min(list_delay) };
    let call = ReplicaCall {
        sent_at: now,
        timeout: hold + progress.state_timeout,
        is_state: true,
        list: list_delay.is_zero().then_some(progress.list_cursor),
    };
    let request = FollowRequest {
        version: Some(state.policy.borrow().version),
        list: call.list,
        demand: state.take_demand_report().into_iter().collect(),
        hold_ms: hold.as_millis() as u64,
        peers_of: state.take_peers_request(),
        crashes: state.take_crash_reports(),
    };
    Box::pin(async move { send(address, &client, request, call).await })
}

async fn send(
    address: SocketAddr,
    client: &Client,
    request: FollowRequest,
    call: ReplicaCall,
) -> ReplicaReply {
    let result = match client.call(NodeRequest::Follow(request), call.timeout).await {
        Ok(NodeReply::Follow(reply)) => Ok(reply),
        Ok(_) => Err(MeshError::NoReply),
        Err(error) => Err(error),
    };
    ReplicaReply { address, call, result }
}

pub(super) fn is_up_to_date(reply: &FollowReply) -> bool {
    reply.behind_ms.is_some_and(|behind| Duration::from_millis(behind) <= BEHIND_MAX)
}

/// Applies the reply to a probe.
pub(super) fn apply_probe_reply(state: &EntryState, reply: &FollowReply, call: &ReplicaCall) {
    apply_replicas(state, reply);
    record_confirmation(state, reply.version, current_at(state, reply, call));
}

/// Applies the reply of a replica that was asked for its state.
pub(super) fn apply_reply(
    state: &EntryState,
    reply: FollowReply,
    call: &ReplicaCall,
    progress: &mut FollowState,
) {
    (progress.reply_margin, progress.state_timeout) = (REPLY_MARGIN, REPLY_TIMEOUT);
    apply_replicas(state, &reply);
    let is_up_to_date = is_up_to_date(&reply);
    let (version, current_at) = (reply.version, current_at(state, &reply, call));
    let list_read_at = reply
        .list_age_ms
        .map(|age_ms| call.replied_at(state, &reply).saturating_sub(Duration::from_millis(age_ms)));
    apply_policy(state, reply.update);
    record_confirmation(state, version, current_at);
    if let Some(list_read_at) = list_read_at {
        apply_list(state, reply.list, list_read_at, call, progress);
    }
    if is_up_to_date && reply.entries > 0 {
        state.record_entry_count(reply.entries, reply.entry_rank);
    }
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
/// ever to have been.
fn current_at(state: &EntryState, reply: &FollowReply, call: &ReplicaCall) -> Option<Duration> {
    let behind = Duration::from_millis(reply.behind_ms?);
    Some(call.replied_at(state, reply).saturating_sub(behind))
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
/// older than the current one, and changes if they don't follow on the current one.
fn apply_list(
    state: &EntryState,
    list: Option<ListDelta>,
    read_at: Duration,
    call: &ReplicaCall,
    progress: &mut FollowState,
) {
    let now = state.clock.now();
    let is_newer = state.list_read_at.get().is_none_or(|current| read_at >= current);
    let follows = call.list == Some(progress.list_cursor);
    let Some(delta) = list else {
        if is_newer && follows {
            state.list_read_at.set(Some(read_at));
        }
        return;
    };
    let is_applicable = if delta.change.is_full { is_newer } else { follows };
    if !is_applicable {
        progress.next_list_at = now + LIST_RETRY_DELAY;
        return;
    }
    state.list_read_at.set(Some(read_at));
    progress.list_cursor = delta.cursor();
    let mut balancer = state.balancer.borrow_mut();
    balancer.apply_delta(delta.change, now);
    let list_age_ms = now.saturating_sub(read_at).as_millis() as u64;
    info!(upstreams = balancer.len(), list_age_ms, "upstreams changed");
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
