//! Keeps the list of upstreams: the leader reads it, the others follow.

use std::{sync::Arc, time::Duration};

use tracing::{info, warn};

use super::{
    Shared,
    calls::{leader, policy, submit_here},
    list_pages::ListPages,
    lock,
    peers::address_of,
};
use crate::{
    core::{
        control::Command,
        placement::{DemandReport, PlannerInputs},
    },
    net::wire::{FollowRequest, Mark, NodeAnswer, NodeCall, SubmitRequest},
};

/// The time between two readings of the list.
const READ_INTERVAL: Duration = Duration::from_millis(1000);
/// A replica that does not lead reads the list itself when the one it follows
/// is older than this.
const FOLLOWED_AGE_MAX: Duration = Duration::from_millis(2500);
/// How long the leader may hold an answer.
const HOLD: Duration = Duration::from_millis(800);
const FOLLOW_PATIENCE: Duration = Duration::from_millis(1500);

/// Keeps the list of upstreams up to date.
pub(super) async fn keep_list(shared: Arc<Shared>) {
    let Some(source) = shared.settings.upstream_list else { return };
    let zones = shared.settings.regions_of_zones.keys().cloned();
    let mut reader = ListPages::new(source, zones);
    let mut followed = Mark::default();
    loop {
        let began = shared.clock.now();
        match leader(&shared).await {
            Some((leader, false)) if !is_stale(&shared) => {
                follow(&shared, &leader, &mut followed).await;
            }
            known => {
                read(&shared, &mut reader).await;
                if known.is_some_and(|(_, leads)| leads) {
                    plan(&shared).await;
                }
            }
        }
        let spent = shared.clock.now().saturating_sub(began);
        tokio::time::sleep(READ_INTERVAL.saturating_sub(spent)).await;
    }
}

fn is_stale(shared: &Shared) -> bool {
    let age = lock(&shared.list).read_at().map(|at| shared.clock.now().saturating_sub(at));
    let since_start = shared.clock.now();
    age.unwrap_or(since_start) > FOLLOWED_AGE_MAX
}

async fn follow(shared: &Shared, leader: &str, followed: &mut Mark) {
    let Some(address) = address_of(&leader.to_owned()) else { return };
    let hold_ms = HOLD.as_millis() as u64;
    let demand: Vec<DemandReport> =
        std::mem::take(&mut *lock(&shared.demand)).into_values().collect();
    let request = FollowRequest { version: None, list: Some(*followed), demand, hold_ms };
    let client = shared.links.client(address);
    let Ok(NodeAnswer::Follow(reply)) =
        client.call(NodeCall::Follow(request), FOLLOW_PATIENCE).await
    else {
        return;
    };
    let Some(age_ms) = reply.list_age_ms else { return };
    let read_at = shared.clock.now().saturating_sub(Duration::from_millis(age_ms));
    let mut list = lock(&shared.list);
    match reply.list {
        Some(marked) => {
            *followed = marked.mark();
            list.apply(marked.change, read_at);
        }
        None => list.confirm(read_at),
    }
}

/// Plans where objects are placed.
async fn plan(shared: &Shared) {
    let Some(policy) = policy(shared).await else { return };
    let change = {
        let list = lock(&shared.list);
        lock(&shared.planner).plan(&PlannerInputs {
            list: &list,
            placement: &policy.placement,
            evacuated: &policy.evacuated,
            now: shared.clock.now(),
        })
    };
    if change.is_empty() {
        return;
    }
    info!(objects = change.len(), "objects are placed elsewhere");
    submit_here(shared, SubmitRequest::Command(Command::Place(change))).await;
}

/// Reads the list.
async fn read(shared: &Shared, pages: &mut ListPages) {
    let began = shared.clock.now();
    let listing = match pages.read().await {
        Ok(listing) => listing,
        Err(error) => {
            warn!(error, "the list of upstreams can't be read; the last one counts");
            return;
        }
    };
    let mut list = lock(&shared.list);
    if list.replace(listing, began) {
        info!(upstreams = list.len(), count = list.count(), "the list of upstreams changed");
    }
}
