//! Answers other processes, and asks the leader.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

use super::{Datagrams, Shared, lock, peers::address_of};
use crate::{
    core::{
        control::{InstanceName, Policy},
        placement::DemandReport,
        roster::RosterEntry,
        upstreams::{ListedUpstream, UpstreamId},
    },
    net::{
        mesh::MeshHandler,
        wire::{
            Announcement, FollowReply, FollowRequest, Mark, Marked, NodeAnswer, NodeCall,
            QueryReply, QueryRequest, SubmitReply, SubmitRequest, Update, decode,
        },
    },
    runtime::replica::{Changes, ChangesReply, CurrentPolicy, Deliver, Query, Submit, Subscribe},
};

/// The pause before the leader is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The longest that one call to the leader may take.
const CALL_PATIENCE: Duration = Duration::from_millis(900);
/// How often a held answer looks for changes of the list.
const HOLD_STEP: Duration = Duration::from_millis(100);
/// The longest announcement.
const DATAGRAM_MAX: usize = 2048;

/// Returns what answers other processes.
pub(super) fn handler(shared: Arc<Shared>) -> MeshHandler<NodeCall, NodeAnswer> {
    Arc::new(move |call, _peer| Box::pin(answer(shared.clone(), call)))
}

async fn answer(shared: Arc<Shared>, call: NodeCall) -> Option<NodeAnswer> {
    let replica = shared.replica()?;
    match call {
        NodeCall::Replicate { from, messages } => {
            for message in &messages {
                shared.links.note(message.from, from);
            }
            replica.send(Deliver(messages)).await.ok()?;
            Some(NodeAnswer::Taken)
        }
        NodeCall::Submit(request) => submit_here(&shared, request).await.map(NodeAnswer::Submit),
        NodeCall::Query(request) => query_here(&shared, request).await.map(NodeAnswer::Query),
        NodeCall::Follow(request) => {
            let reply = follow(&shared, request).await?;
            Some(NodeAnswer::Follow(Box::new(reply)))
        }
    }
}

pub(super) async fn submit_here(shared: &Shared, request: SubmitRequest) -> Option<SubmitReply> {
    let (reply, answered) = oneshot::channel();
    shared.replica()?.send(Submit(request, reply)).await.ok()?;
    answered.await.ok()
}

async fn query_here(shared: &Shared, request: QueryRequest) -> Option<QueryReply> {
    let (reply, answered) = oneshot::channel();
    shared.replica()?.send(Query(request, reply)).await.ok()?;
    answered.await.ok()
}

/// Commits something through whichever replica leads. Returns `None` when it
/// is not known to be committed within `patience`.
pub(super) async fn submit(
    shared: &Shared,
    request: SubmitRequest,
    patience: Duration,
) -> Option<SubmitReply> {
    let until = Instant::now() + patience;
    let mut seeds = lock(&shared.seeds).clone().into_iter().cycle();
    while Instant::now() < until {
        let mut answer = submit_here(shared, request.clone()).await;
        if let Some(SubmitReply::NotLeader { leader }) = &answer {
            let named = leader.as_ref().and_then(address_of);
            let address = named.or_else(|| seeds.next())?;
            answer = submit_at(shared, address, &request).await;
        }
        match answer {
            Some(SubmitReply::NotLeader { .. }) | None => tokio::time::sleep(RETRY_PAUSE).await,
            Some(reply) => return Some(reply),
        }
    }
    None
}

async fn submit_at(
    shared: &Shared,
    address: SocketAddr,
    request: &SubmitRequest,
) -> Option<SubmitReply> {
    let client = shared.links.client(address);
    match client.call(NodeCall::Submit(request.clone()), CALL_PATIENCE).await {
        Ok(NodeAnswer::Submit(SubmitReply::NotLeader { leader: Some(leader) })) => {
            let client = shared.links.client(address_of(&leader)?);
            match client.call(NodeCall::Submit(request.clone()), CALL_PATIENCE).await {
                Ok(NodeAnswer::Submit(reply)) => Some(reply),
                _ => None,
            }
        }
        Ok(NodeAnswer::Submit(reply)) => Some(reply),
        _ => None,
    }
}

/// Asks whichever replica leads, once it made sure that it does.
pub(super) async fn query(
    shared: &Shared,
    request: QueryRequest,
    patience: Duration,
) -> Option<QueryReply> {
    let until = Instant::now() + patience;
    while let Some(left) = until.checked_duration_since(Instant::now()) {
        let mut answer =
            tokio::time::timeout(left, query_here(shared, request.clone())).await.ok()?;
        if let Some(QueryReply::NotLeader { leader: Some(leader) }) = &answer {
            let client = shared.links.client(address_of(leader)?);
            let asked = client.call(NodeCall::Query(request.clone()), left.min(CALL_PATIENCE));
            answer = match asked.await {
                Ok(NodeAnswer::Query(reply)) => Some(reply),
                _ => None,
            };
        }
        match answer {
            Some(QueryReply::NotLeader { .. }) | None => tokio::time::sleep(RETRY_PAUSE).await,
            Some(reply) => return Some(reply),
        }
    }
    None
}

/// Tells what changed, as soon as something did or the time to hold is over.
async fn follow(shared: &Shared, request: FollowRequest) -> Option<FollowReply> {
    take_demand(shared, request.demand);
    let replica = shared.replica()?;
    let mut versions = replica.send(Subscribe).await.ok()?;
    let until = Instant::now() + Duration::from_millis(request.hold_ms);
    loop {
        let changed = replica.send(Changes(request.version)).await.ok()?;
        let list = request.list.and_then(|mark| list_change(shared, mark));
        let news = list.is_some() || !is_empty(&changed.update);
        if news || Instant::now() >= until {
            return Some(reply(shared, changed, list));
        }
        let left = until.saturating_duration_since(Instant::now()).min(HOLD_STEP);
        tokio::time::timeout(left, versions.changed()).await.ok();
    }
}

fn is_empty(update: &Update) -> bool {
    matches!(update, Update::Deltas(deltas) if deltas.is_empty())
}

fn reply(
    shared: &Shared,
    changed: ChangesReply,
    list: Option<Marked<UpstreamId, ListedUpstream>>,
) -> FollowReply {
    let now = shared.clock.now();
    let read_at = lock(&shared.list).read_at();
    FollowReply {
        zone: shared.settings.zone.clone(),
        version: changed.version,
        update: changed.update,
        list,
        list_age_ms: read_at.map(|at| now.saturating_sub(at).as_millis() as u64),
        replicas: changed.replicas,
        behind_ms: changed.staleness.map(|staleness| staleness.as_millis() as u64),
        entries: lock(&shared.roster).count(now) as u32,
    }
}

fn list_change(shared: &Shared, mark: Mark) -> Option<Marked<UpstreamId, ListedUpstream>> {
    let list = lock(&shared.list);
    list.read_at()?;
    let known = known_count(shared, mark);
    if known == Some(list.count()) {
        return None;
    }
    let change = list.changes_since(known, shared.clock.now());
    Some(Marked { counter: shared.counter, change })
}

/// Returns the count that a mark names, if this process counted it.
fn known_count(shared: &Shared, mark: Mark) -> Option<u64> {
    (mark.counter == shared.counter).then_some(mark.count)
}

/// Keeps what entry instances reported for the planner, here or at the leader.
fn take_demand(shared: &Shared, reports: Vec<DemandReport>) {
    let now = shared.clock.now();
    let mut planner = lock(&shared.planner);
    let mut demand = lock(&shared.demand);
    for report in reports {
        planner.note(report.clone(), now);
        demand.insert(report.instance.clone(), report);
    }
}

/// Hears entry instances announce themselves.
pub(super) async fn hear_announcements(shared: Arc<Shared>, datagrams: Datagrams) {
    let mut buffer = [0; DATAGRAM_MAX];
    loop {
        let received = match datagrams.recv_from(&mut buffer).await {
            Ok((length, _)) => &buffer[..length],
            Err(error) => {
                tracing::warn!(%error, "can't hear announcements");
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        let Ok(heard) = decode::<Announcement>(received) else { continue };
        let now = shared.clock.now();
        let Announcement { instance, zone, callers, is_ready } = heard;
        let mut roster = lock(&shared.roster);
        roster.note(instance, RosterEntry { zone, callers, is_ready, heard: now });
        roster.forget_silent(now);
    }
}

/// Returns the leader's address, as far as is known, and whether it is this
/// replica.
pub(super) async fn leader(shared: &Shared) -> Option<(InstanceName, bool)> {
    let changed = shared.replica()?.send(Changes(None)).await.ok()?;
    let mine = shared.settings.cluster_address().to_string();
    changed.leader.map(|leader| (leader.clone(), leader == mine))
}

/// Returns the policy that this replica has applied.
pub(super) async fn policy(shared: &Shared) -> Option<Policy> {
    shared.replica()?.send(CurrentPolicy).await.ok()
}
