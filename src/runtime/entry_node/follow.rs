//! Follows a control replica: the policy in force and the list of upstreams.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::time::{Instant, timeout};
use tracing::{info, warn};

use super::state::EntryState;
use crate::{
    core::{
        routing::Matched,
        upstreams::{ListedUpstream, UpstreamId},
    },
    net::{
        mesh::MeshClient,
        wire::{FollowReply, FollowRequest, Mark, Marked, NodeAnswer, NodeCall, Update},
    },
};

/// How long a replica may hold an answer.
const HOLD: Duration = Duration::from_millis(1000);
/// What an answer may take beyond that.
const HOLD_SLACK: Duration = Duration::from_millis(700);
/// A replica that has been out of touch with the others for longer is left.
const BEHIND_MAX: Duration = Duration::from_millis(1200);
/// How long a nearer replica is waited for once one is found.
const NEARER_WAIT: Duration = Duration::from_millis(200);
/// The pause before all replicas are asked again.
const FIND_PAUSE: Duration = Duration::from_millis(100);

type Client = MeshClient<NodeCall, NodeAnswer>;

/// Follows one control replica after the other.
pub(super) async fn follow_control(state: Rc<EntryState>) {
    let mut followed = Followed::default();
    loop {
        match find(&state, &mut followed).await {
            Some((address, client)) => follow_one(&state, address, &client, &mut followed).await,
            None => tokio::time::sleep(FIND_PAUSE).await,
        }
    }
}

/// Asks all replicas that are known how they stand, and returns the nearest of
/// those that are in touch with the others. What one that is not in touch
/// knows beyond this instance is taken over at once.
///
/// The answers are small: on a narrow link, the list from every replica at
/// once would hold up all else.
async fn find(state: &Rc<EntryState>, followed: &mut Followed) -> Option<(SocketAddr, Client)> {
    let patience = HOLD_SLACK + state.settings.link_queue_time();
    let asked = state.known_control().into_iter().map(|address| {
        let client = Client::new(address);
        async move {
            let probe = FollowRequest { version: None, list: None, demand: Vec::new(), hold_ms: 0 };
            let answer = client.call(NodeCall::Follow(probe), patience).await;
            (address, client, answer)
        }
    });
    let mut answers: FuturesUnordered<_> = asked.collect();
    let mut best: Option<(u8, SocketAddr, Client)> = None;
    let mut until = Instant::now() + patience;
    while let Ok(Some((address, client, answer))) =
        timeout(until.saturating_duration_since(Instant::now()), answers.next()).await
    {
        let Ok(NodeAnswer::Follow(reply)) = answer else { continue };
        take_replicas(state, &reply);
        if is_in_touch(&reply) {
            let distance = state.distance_to(&reply.zone);
            if best.is_none() {
                until = until.min(Instant::now() + NEARER_WAIT);
            }
            if best.as_ref().is_none_or(|(held, ..)| distance < *held) {
                best = Some((distance, address, client));
            }
            if distance == 0 {
                break;
            }
        } else if knows_more(state, &reply) {
            take_from(state, &client, followed, patience).await;
        }
    }
    best.map(|(_, address, client)| (address, client))
}

/// Tells whether a replica has a newer policy, or the first list of upstreams.
fn knows_more(state: &EntryState, reply: &FollowReply) -> bool {
    let has_first_list = state.list_read.get().is_none() && reply.list_age_ms.is_some();
    has_first_list || reply.version > state.policy.borrow().version
}

/// Takes over what a replica holds, whether or not it is in touch with others.
async fn take_from(
    state: &Rc<EntryState>,
    client: &Client,
    followed: &mut Followed,
    patience: Duration,
) {
    let request = request(state, followed, Duration::ZERO);
    if let Ok(NodeAnswer::Follow(reply)) = client.call(NodeCall::Follow(request), patience).await {
        take(state, *reply, followed);
    }
}

/// Follows one replica until it fails or falls behind.
async fn follow_one(
    state: &Rc<EntryState>,
    address: SocketAddr,
    client: &Client,
    followed: &mut Followed,
) {
    info!(replica = %address, "control regained");
    let patience = HOLD + HOLD_SLACK + state.settings.link_queue_time();
    loop {
        let request = request(state, followed, HOLD);
        let answer = client.call(NodeCall::Follow(request), patience).await;
        let Ok(NodeAnswer::Follow(reply)) = answer else {
            warn!(replica = %address, "control lost: the replica does not answer");
            return;
        };
        let (in_touch, behind_ms) = (is_in_touch(&reply), reply.behind_ms);
        take(state, *reply, followed);
        if !in_touch {
            warn!(replica = %address, behind_ms, "control lost: the replica is out of touch");
            return;
        }
    }
}

fn request(state: &EntryState, followed: &Followed, hold: Duration) -> FollowRequest {
    FollowRequest {
        version: Some(state.policy.borrow().version),
        list: Some(followed.list),
        demand: state.take_demand().into_iter().collect(),
        hold_ms: hold.as_millis() as u64,
    }
}

fn is_in_touch(reply: &FollowReply) -> bool {
    reply.behind_ms.is_some_and(|behind| Duration::from_millis(behind) <= BEHIND_MAX)
}

/// Holds what was last taken over.
#[derive(Default)]
struct Followed {
    list: Mark,
}

fn take(state: &EntryState, reply: FollowReply, followed: &mut Followed) {
    take_replicas(state, &reply);
    take_policy(state, reply.update);
    take_list(state, reply.list, reply.list_age_ms, followed);
    state.note_entries(reply.entries);
    state.note_readiness();
}

fn take_replicas(state: &EntryState, reply: &FollowReply) {
    let replicas: Vec<SocketAddr> =
        reply.replicas.iter().filter_map(|name| name.parse().ok()).collect();
    if !replicas.is_empty() {
        *state.control.borrow_mut() = replicas;
    }
}

/// Takes over the list of upstreams, unless a newer one is held.
fn take_list(
    state: &EntryState,
    list: Option<Marked<UpstreamId, ListedUpstream>>,
    age_ms: Option<u64>,
    followed: &mut Followed,
) {
    let Some(age) = age_ms.map(Duration::from_millis) else { return };
    let now = state.clock.now();
    let read = now.saturating_sub(age);
    let is_newer = state.list_read.get().is_none_or(|held| read >= held);
    let Some(marked) = list else {
        if is_newer {
            state.list_read.set(Some(read));
        }
        return;
    };
    if marked.change.whole && !is_newer {
        return;
    }
    state.list_read.set(Some(read));
    followed.list = marked.mark();
    let mut balancer = state.balancer.borrow_mut();
    balancer.update(marked.change, now);
    info!(upstreams = balancer.len(), list_age_ms = age_ms, "upstreams changed");
}

fn take_policy(state: &EntryState, update: Update) {
    let mut policy = state.policy.borrow_mut();
    let before = policy.version;
    match update {
        Update::Deltas(deltas) => {
            for delta in &deltas {
                policy.apply_delta(delta);
            }
        }
        Update::Whole(whole) if whole.version > before => *policy = *whole,
        Update::Whole(_) => {}
    }
    if policy.version == before {
        return;
    }
    info!(version = policy.version, routing = policy.routing.version, "policy in force");
    *state.routes.borrow_mut() = Rc::new(Matched::new(&policy.routing));
    let mut balancer = state.balancer.borrow_mut();
    balancer.set_services(policy.routing.services.clone());
    balancer.set_placement(policy.placement.clone());
    balancer.set_evacuated(policy.evacuated.clone(), state.clock.now());
}
