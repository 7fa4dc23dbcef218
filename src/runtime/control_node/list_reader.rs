//! Keeps the list of upstreams current: the leader reads it from the platform,
//! and the other replicas get it from the leader.

use std::{sync::Arc, time::Duration};

use tracing::{info, warn};

use super::{
    ControlNodeState,
    calls::{current_policy, leader, submit_local},
    list_entries::PassedOverEntries,
    list_pages::{PageReader, ReadError},
    lock,
    peers::address_of,
};
use crate::{
    core::{
        control::{Command, Policy},
        placement::{DemandReport, PlannerInputs},
        upstreams::{has_repeated_ids, select_entries},
    },
    net::wire::{Cursor, FollowRequest, NodeReply, NodeRequest, SubmitRequest},
};

/// The time between the starts of two updates of the list.
const UPDATE_INTERVAL: Duration = Duration::from_millis(1000);
/// A replica that does not lead reads the list itself once its copy is older
/// than this.
const LIST_AGE_MAX: Duration = Duration::from_millis(2500);
/// How long the leader may hold back its reply while nothing has changed.
const HOLD_TIME: Duration = Duration::from_millis(800);
/// The timeout for the leader's reply. It exceeds [`HOLD_TIME`].
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(1500);

/// Updates the list of upstreams for as long as the process runs, and plans
/// placements while this replica leads.
pub(super) async fn maintain_list(state: Arc<ControlNodeState>) {
    let Some(source) = state.settings.upstream_list else { return };
    let zones = state.settings.regions_of_zones.keys().cloned();
    let page_max_bytes = state.settings.list_page_max_bytes();
    let mut reader = PageReader::new(source, zones, page_max_bytes);
    let (mut cursor, mut passed_over) = (Cursor::default(), PassedOverEntries::default());
    loop {
        let started_at = state.clock.now();
        match leader(&state).await {
            Some((leader, false)) if !is_list_stale(&state) => {
                follow_leader(&state, &leader, &mut cursor).await;
            }
            known_leader => {
                read_from_platform(&state, &mut reader, &mut passed_over).await;
                if known_leader.is_some_and(|(_, is_leader)| is_leader) {
                    plan_placement(&state).await;
                }
            }
        }
        let elapsed = state.clock.now().saturating_sub(started_at);
        tokio::time::sleep(UPDATE_INTERVAL.saturating_sub(elapsed)).await;
    }
}

/// Returns whether the list is older than [`LIST_AGE_MAX`], or still missing
/// that long after the start of the process.
fn is_list_stale(state: &ControlNodeState) -> bool {
    let age = lock(&state.list).read_at().map(|read_at| state.clock.now().saturating_sub(read_at));
    let since_start = state.clock.now();
    age.unwrap_or(since_start) > LIST_AGE_MAX
}

/// Sends the demand reports to the leader and applies its delta of the list. If
/// the leader does not reply, the reports are lost; the next ones replace them.
async fn follow_leader(state: &ControlNodeState, leader: &str, cursor: &mut Cursor) {
    let Some(address) = address_of(&leader.to_owned()) else { return };
    let hold_ms = HOLD_TIME.as_millis() as u64;
    let demand: Vec<DemandReport> =
        std::mem::take(&mut *lock(&state.demand)).into_values().collect();
    let request = FollowRequest {
        version: None,
        list: Some(*cursor),
        demand,
        hold_ms,
        peers_of: None,
        crashes: Vec::new(),
    };
    let client = state.connections.client(address);
    let Ok(NodeReply::Follow(reply)) =
        client.call(NodeRequest::Follow(request), FOLLOW_TIMEOUT).await
    else {
        return;
    };
    let Some(age_ms) = reply.list_age_ms else { return };
    let now = state.clock.now();
    let read_at = now.saturating_sub(Duration::from_millis(age_ms));
    let mut list = lock(&state.list);
    match reply.list {
        Some(delta) => {
            *cursor = delta.cursor();
            list.apply_delta(delta.change, read_at, now);
        }
        None => list.record_unchanged(read_at),
    }
}

/// Plans the placement of objects and submits the changes as a command.
async fn plan_placement(state: &ControlNodeState) {
    let Some(policy) = current_policy(state).await else { return };
    let change = {
        let list = lock(&state.list);
        lock(&state.planner).plan(&PlannerInputs {
            list: &list,
            placement: &policy.placement,
            evacuated: &policy.evacuated,
            now: state.clock.now(),
        })
    };
    if change.is_empty() {
        return;
    }
    info!(objects = change.len(), "submitting changes to the placement of objects");
    submit_local(state, SubmitRequest::Command(Command::Place(change))).await;
}

/// Logs and counts a reading that failed, with the age of the list that stays in use.
fn report_unread(state: &ControlNodeState, ReadError { reason, message }: &ReadError) {
    state.list_counters.failed_readings.with_label_values(&[reason]).inc();
    match lock(&state.list).read_at() {
        Some(read_at) => {
            let list_age_ms = state.clock.now().saturating_sub(read_at).as_millis() as u64;
            let error = message;
            warn!(
                error,
                reason, list_age_ms, "can't read the list of upstreams; keeping the last one"
            );
        }
        None => {
            warn!(error = message, reason, "can't read the list of upstreams; there is no last one")
        }
    }
}

/// Reads the list from the platform and replaces the current one.
async fn read_from_platform(
    state: &ControlNodeState,
    reader: &mut PageReader,
    passed_over: &mut PassedOverEntries,
) {
    let started_at = state.clock.now();
    let mut reading = match reader.read().await {
        Ok(reading) => reading,
        Err(error) => return report_unread(state, &error),
    };
    let entries = std::mem::take(&mut reading.upstreams);
    let policy = match has_repeated_ids(&entries) {
        true => current_policy(state).await.unwrap_or_default(),
        false => Policy::default(),
    };
    let mut list = lock(&state.list);
    let services = &policy.routing.services;
    let (upstreams, repeated) =
        select_entries(entries, &list, |service| services.contains_key(service));
    passed_over.record(&state.list_counters, &reading, &repeated);
    if list.replace(upstreams, started_at, state.clock.now()) {
        info!(upstreams = list.len(), count = list.version(), "the list of upstreams changed");
    }
}
