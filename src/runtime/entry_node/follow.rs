//! Follows a control replica: the policy in force and the list of upstreams.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use tracing::{info, warn};

use super::state::EntryState;
use crate::{
    core::routing::Matched,
    net::{
        mesh::MeshClient,
        wire::{FollowReply, FollowRequest, Mark, NodeAnswer, NodeCall, Update},
    },
};

/// How long a replica may hold an answer.
const HOLD: Duration = Duration::from_millis(1000);
/// What an answer may take beyond that.
const HOLD_SLACK: Duration = Duration::from_millis(700);
/// A replica that has been out of touch with the others for longer is left.
const BEHIND_MAX: Duration = Duration::from_millis(1200);
/// The pause before the next replica is asked when one does not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The pause before the next replica is asked when one is out of touch.
const OUT_OF_TOUCH_PAUSE: Duration = Duration::from_millis(150);

/// Follows one control replica after the other.
pub(super) async fn follow_control(state: Rc<EntryState>) {
    let mut followed = Followed::default();
    let mut turn = 0;
    loop {
        let known = state.known_control();
        if let Some(address) = known.get(turn % known.len().max(1)).copied() {
            let pause = follow_one(&state, address, &mut followed).await;
            tokio::time::sleep(pause).await;
        }
        turn += 1;
    }
}

/// Follows one replica until it fails or falls behind. Returns the pause
/// before the next one is followed.
async fn follow_one(
    state: &Rc<EntryState>,
    address: SocketAddr,
    followed: &mut Followed,
) -> Duration {
    let client = MeshClient::<NodeCall, NodeAnswer>::new(address);
    let mut hold = Duration::ZERO;
    loop {
        let version = Some(state.policy.borrow().version);
        let hold_ms = hold.as_millis() as u64;
        let request = FollowRequest {
            version,
            list: followed.list,
            placement: followed.placement,
            demand: state.take_demand().into_iter().collect(),
            hold_ms,
        };
        let answer = client.call(NodeCall::Follow(request), hold + HOLD_SLACK).await;
        let Ok(NodeAnswer::Follow(reply)) = answer else {
            followed.note_touch(false, address);
            return RETRY_PAUSE;
        };
        let behind = reply.behind_ms.map(Duration::from_millis);
        take(state, *reply, followed);
        if behind.is_none_or(|behind| behind > BEHIND_MAX) {
            followed.note_touch(false, address);
            return OUT_OF_TOUCH_PAUSE;
        }
        followed.note_touch(true, address);
        hold = HOLD;
    }
}

/// Holds what was last taken over.
#[derive(Default)]
struct Followed {
    list: Mark,
    placement: Mark,
    /// Whether a replica that is in touch with the others is followed.
    in_touch: bool,
}

impl Followed {
    fn note_touch(&mut self, in_touch: bool, replica: SocketAddr) {
        if in_touch && !self.in_touch {
            info!(%replica, "control regained");
        }
        if self.in_touch && !in_touch {
            warn!(%replica, "control lost: the replica is silent or out of touch");
        }
        self.in_touch = in_touch;
    }
}

fn take(state: &EntryState, reply: FollowReply, followed: &mut Followed) {
    take_policy(state, reply.update);
    if let Some(age) = reply.list_age_ms {
        let read = state.clock.now().saturating_sub(Duration::from_millis(age));
        state.list_read.set(Some(read));
    }
    if let Some(marked) = reply.list {
        followed.list = marked.mark();
        let mut balancer = state.balancer.borrow_mut();
        balancer.update(marked.change, state.clock.now());
        info!(upstreams = balancer.len(), list_age_ms = state.list_age_ms(), "upstreams changed");
    }
    if let Some(marked) = reply.placement {
        followed.placement = marked.mark();
        info!(objects = marked.change.put.len(), "objects are placed elsewhere");
        state.balancer.borrow_mut().place(marked.change);
    }
    let replicas: Vec<SocketAddr> =
        reply.replicas.iter().filter_map(|name| name.parse().ok()).collect();
    if !replicas.is_empty() {
        *state.control.borrow_mut() = replicas;
    }
    state.note_entries(reply.entries);
    state.note_readiness();
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
    balancer.set_evacuated(policy.evacuated.clone(), state.clock.now());
}
