//! Handles the calls of other processes, and calls the leader.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{net::UdpSocket, sync::oneshot};

use super::{ControlNodeState, lock, peers::address_of};
use crate::{
    core::{
        control::{Command, InstanceName, Policy},
        placement::DemandReport,
        roster::AnnouncedInstance,
        suspects::CrashReport,
    },
    net::{
        mesh::MeshHandler,
        wire::{
            Announcement, Cursor, FollowReply, FollowRequest, ListDelta, NodeReply, NodeRequest,
            PolicyUpdate, QueryReply, QueryRequest, SubmitReply, SubmitRequest, decode,
        },
    },
    runtime::replica::{
        CurrentPolicy, Deliver, GetPolicyUpdate, PolicyUpdateReply, Probe, Query, Submit, Subscribe,
    },
};

/// The pause before a failed call, or a failed receive, is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// The timeout of one call to the leader.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// How often a held reply checks for changes to the list of upstreams.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of suspect requests in the policy.
const SUSPECTS_MAX: usize = 1000;
/// The maximum size of an announcement.
const DATAGRAM_MAX_BYTES: usize = 2048;

/// Returns the handler of other processes' calls.
pub(super) fn handler(state: Arc<ControlNodeState>) -> MeshHandler<NodeRequest, NodeReply> {
    Arc::new(move |request, _peer| Box::pin(handle(state.clone(), request)))
}

async fn handle(state: Arc<ControlNodeState>, request: NodeRequest) -> Option<NodeReply> {
    let replica = state.replica()?;
    match request {
        NodeRequest::Replicate { from, messages } => {
            for message in &messages {
                state.connections.record_address(message.from, from);
            }
            replica.send(Deliver(messages)).await.ok()?;
            Some(NodeReply::Taken)
        }
        NodeRequest::Submit(request) => submit_local(&state, request).await.map(NodeReply::Submit),
        NodeRequest::Query(request) => query_local(&state, request).await.map(NodeReply::Query),
        NodeRequest::Follow(request) => {
            if !request.crashes.is_empty() {
                tokio::spawn(submit_crashes(state.clone(), request.crashes.clone()));
            }
            let reply = handle_follow(&state, request).await?;
            Some(NodeReply::Follow(Box::new(reply)))
        }
    }
}

/// Submits a request to this process's replica. Returns `None` if there is
/// no reply.
pub(super) async fn submit_local(
    state: &ControlNodeState,
    request: SubmitRequest,
) -> Option<SubmitReply> {
    let (reply, reply_receiver) = oneshot::channel();
    state.replica()?.send(Submit(request, reply)).await.ok()?;
    reply_receiver.await.ok()
}

async fn query_local(state: &ControlNodeState, request: QueryRequest) -> Option<QueryReply> {
    let (reply, reply_receiver) = oneshot::channel();
    state.replica()?.send(Query(request, reply)).await.ok()?;
    reply_receiver.await.ok()
}

/// Submits a request to the replica that leads, and retries until the
/// timeout. Returns `None` if it is not known by then whether the request was
/// committed.
pub(super) async fn submit(
    state: &ControlNodeState,
    request: SubmitRequest,
    timeout: Duration,
) -> Option<SubmitReply> {
    let deadline = Instant::now() + timeout;
    let mut seeds = lock(&state.seeds).clone().into_iter().cycle();
    while Instant::now() < deadline {
        let mut reply = submit_local(state, request.clone()).await;
        if let Some(SubmitReply::NotLeader { leader }) = &reply {
            let leader_address = leader.as_ref().and_then(address_of);
            let address = leader_address.or_else(|| seeds.next())?;
            reply = submit_to(state, address, &request).await;
        }
        match reply {
            Some(SubmitReply::NotLeader { .. }) | None => tokio::time::sleep(RETRY_DELAY).await,
            Some(reply) => return Some(reply),
        }
    }
    None
}

/// Submits a request to the replica at an address and, if that names another
/// leader, once more to that one.
async fn submit_to(
    state: &ControlNodeState,
    address: SocketAddr,
    request: &SubmitRequest,
) -> Option<SubmitReply> {
    let client = state.connections.client(address);
    match client.call(NodeRequest::Submit(request.clone()), CALL_TIMEOUT).await {
        Ok(NodeReply::Submit(SubmitReply::NotLeader { leader: Some(leader) })) => {
            let client = state.connections.client(address_of(&leader)?);
            match client.call(NodeRequest::Submit(request.clone()), CALL_TIMEOUT).await {
                Ok(NodeReply::Submit(reply)) => Some(reply),
                _ => None,
            }
        }
        Ok(NodeReply::Submit(reply)) => Some(reply),
        _ => None,
    }
}

/// Queries the replica that leads, and retries until the timeout. The leader
/// replies once it has confirmed that it still leads.
pub(super) async fn query(
    state: &ControlNodeState,
    request: QueryRequest,
    timeout: Duration,
) -> Option<QueryReply> {
    let deadline = Instant::now() + timeout;
    while let Some(remaining) = deadline.checked_duration_since(Instant::now()) {
        let mut reply =
            tokio::time::timeout(remaining, query_local(state, request.clone())).await.ok()?;
        if let Some(QueryReply::NotLeader { leader: Some(leader) }) = &reply {
            let client = state.connections.client(address_of(leader)?);
            let call =
                client.call(NodeRequest::Query(request.clone()), remaining.min(CALL_TIMEOUT));
            reply = match call.await {
                Ok(NodeReply::Query(reply)) => Some(reply),
                _ => None,
            };
        }
        match reply {
            Some(QueryReply::NotLeader { .. }) | None => tokio::time::sleep(RETRY_DELAY).await,
            Some(reply) => return Some(reply),
        }
    }
    None
}

/// Returns the changes since the state in the request, as soon as there are any or the
/// hold time has elapsed.
async fn handle_follow(state: &ControlNodeState, request: FollowRequest) -> Option<FollowReply> {
    record_demand(state, request.demand);
    let replica = state.replica()?;
    let mut version_receiver = replica.send(Subscribe).await.ok()?;
    let received_at = Instant::now();
    let deadline = received_at + Duration::from_millis(request.hold_ms);
    loop {
        // Measured before the state is read, since it tells how recent that is.
        let held = received_at.elapsed();
        let policy_reply = replica.send(GetPolicyUpdate(request.version)).await.ok()?;
        let list = request.list.and_then(|cursor| list_delta(state, cursor));
        let has_changes = list.is_some() || !is_empty_update(&policy_reply.update);
        if has_changes || Instant::now() >= deadline {
            let peers_of = request.peers_of.as_ref();
            return Some(follow_reply(state, policy_reply, list, peers_of, held));
        }
        let remaining = deadline.saturating_duration_since(Instant::now()).min(LIST_POLL_INTERVAL);
        tokio::time::timeout(remaining, version_receiver.changed()).await.ok();
    }
}

fn is_empty_update(update: &PolicyUpdate) -> bool {
    matches!(update, PolicyUpdate::Deltas(deltas) if deltas.is_empty())
}

fn follow_reply(
    state: &ControlNodeState,
    policy_reply: PolicyUpdateReply,
    list: Option<ListDelta>,
    peers_of: Option<&InstanceName>,
    held: Duration,
) -> FollowReply {
    let now = state.clock.now();
    let read_at = lock(&state.list).read_at();
    let roster = lock(&state.roster);
    FollowReply {
        zone: state.settings.zone.clone(),
        version: policy_reply.version,
        update: policy_reply.update,
        list,
        list_age_ms: read_at.map(|read_at| now.saturating_sub(read_at).as_millis() as u64),
        replicas: policy_reply.replicas,
        behind_ms: policy_reply.staleness.map(|staleness| staleness.as_millis() as u64),
        entries: roster.up_count(now).unwrap_or_default() as u32,
        entry_rank: peers_of.map(|instance| roster.rank_of(instance, now) as u32),
        peers: peers_of.map(|instance| roster.peers_of(instance, now)),
        held_ms: held.as_millis() as u64,
    }
}

/// Returns the changes to the list of upstreams since a cursor, if any.
fn list_delta(state: &ControlNodeState, cursor: Cursor) -> Option<ListDelta> {
    let list = lock(&state.list);
    list.read_at()?;
    let from_version = known_version(state, cursor);
    if from_version == Some(list.version()) {
        return None;
    }
    let delta = list.delta_since(from_version, state.clock.now());
    Some(ListDelta { counter: state.process_id, change: delta })
}

/// Returns the version of the list at a cursor, if the cursor comes from this process.
fn known_version(state: &ControlNodeState, cursor: Cursor) -> Option<u64> {
    (cursor.counter == state.process_id).then_some(cursor.count)
}

/// Records demand reports in this replica's planner, and stores them until they are
/// sent to the leader.
fn record_demand(state: &ControlNodeState, reports: Vec<DemandReport>) {
    let now = state.clock.now();
    let mut planner = lock(&state.planner);
    let mut demand = lock(&state.demand);
    for report in reports {
        planner.record_report(report.clone(), now);
        demand.insert(report.instance.clone(), report);
    }
}

/// Submits the crashes that an entry instance reports, unless they are known. It reports them
/// again until they are.
async fn submit_crashes(state: Arc<ControlNodeState>, reports: Vec<CrashReport>) {
    for CrashReport { fingerprint, upstream } in reports {
        let Some(policy) = current_policy(&state).await else { return };
        let known = policy.suspects.get(&fingerprint);
        if known.is_some_and(|suspect| suspect.crashed.contains(&upstream)) {
            continue;
        }
        if policy.suspects.len() >= SUSPECTS_MAX {
            tracing::warn!(fingerprint, upstream, "too many suspect requests; not recorded");
            return;
        }
        let at_unix_ms = state.clock.unix_ms();
        tracing::info!(fingerprint, upstream, "recording a crash under a request");
        let command = Command::Suspect { fingerprint, upstream, at_unix_ms };
        // Without a quorum it is reported again.
        submit(&state, SubmitRequest::Command(command), CALL_TIMEOUT).await;
    }
}

/// Receives the announcements of entry instances for as long as the process
/// runs.
pub(super) async fn receive_announcements(state: Arc<ControlNodeState>, socket: UdpSocket) {
    let mut buffer = [0; DATAGRAM_MAX_BYTES];
    loop {
        let datagram = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => &buffer[..length],
            Err(error) => {
                tracing::warn!(%error, "can't receive announcements; retrying");
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(announcement) = decode::<Announcement>(datagram) else { continue };
        let now = state.clock.now();
        let announced = AnnouncedInstance {
            zone: announcement.zone,
            address: announcement.callers,
            relay_address: announcement.relay,
            is_ready: announcement.is_ready,
            reaches_upstreams: announcement.reaches_upstreams,
            has_lost_links: announcement.has_lost_links,
            announced_at: now,
        };
        let mut roster = lock(&state.roster);
        if !roster.record_announcement(announcement.instance, announced) {
            tracing::debug!("too many instances announced themselves; one is not recorded");
        }
        roster.remove_expired(now);
    }
}

/// Returns the leader's instance, if it is known, and whether it is this one.
pub(super) async fn leader(state: &ControlNodeState) -> Option<(InstanceName, bool)> {
    let reply = state.replica()?.send(GetPolicyUpdate(None)).await.ok()?;
    let local_address = state.settings.cluster_address().to_string();
    reply.leader.map(|leader| (leader.clone(), leader == local_address))
}

/// Returns the policy that this replica has applied.
pub(super) async fn current_policy(state: &ControlNodeState) -> Option<Policy> {
    state.replica()?.send(CurrentPolicy).await.ok()
}

/// Returns the number of replicas that have a vote, as far as this one knows.
pub(super) async fn voter_count(state: &ControlNodeState) -> Option<usize> {
    let reply = state.replica()?.send(Probe).await.ok()?;
    reply.members.map(|members| members.voters().count())
}
