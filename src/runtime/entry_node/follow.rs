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

/// Asks all replicas that are known, takes over what each says, and returns
/// the nearest of those that are in touch with the others.
async fn find(state: &Rc<EntryState>, followed: &mut Followed) -> Option<(SocketAddr, Client)> {
    let asked = state.known_control().into_iter().map(|address| {
        let client = Client::new(address);
        let request = request(state, followed, Duration::ZERO);
        async move {
            let answer = client.call(NodeCall::Follow(request), HOLD_SLACK).await;
            (address, client, answer)
        }
    });
    let mut answers: FuturesUnordered<_> = asked.collect();
    let mut best: Option<(u8, SocketAddr, Client)> = None;
    let mut until = None;
    loop {
        let wait = until.map_or(HOLD_SLACK, |until: Instant| until - Instant::now());
        let Ok(Some((address, client, answer))) = timeout(wait, answers.next()).await else {
            return best.map(|(_, address, client)| (address, client));
        };
        let Ok(NodeAnswer::Follow(reply)) = answer else { continue };
        let (in_touch, distance) = (is_in_touch(&reply), state.distance_to(&reply.zone));
        take(state, *reply, followed);
        if in_touch && best.as_ref().is_none_or(|(held, ..)| distance < *held) {
            best = Some((distance, address, client));
            until = until.or(Some(Instant::now() + NEARER_WAIT));
        }
        if best.as_ref().is_some_and(|(distance, ..)| *distance == 0) {
            return best.map(|(_, address, client)| (address, client));
        }
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
    loop {
        let request = request(state, followed, HOLD);
        let answer = client.call(NodeCall::Follow(request), HOLD + HOLD_SLACK).await;
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
        list: followed.list,
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
    take_policy(state, reply.update);
    take_list(state, reply.list, reply.list_age_ms, followed);
    let replicas: Vec<SocketAddr> =
        reply.replicas.iter().filter_map(|name| name.parse().ok()).collect();
    if !replicas.is_empty() {
        *state.control.borrow_mut() = replicas;
    }
    state.note_entries(reply.entries);
    state.note_readiness();
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
                policy.advance(delta);
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
