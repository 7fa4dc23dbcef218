//! Finds out, before a replica starts, whether it founds the log, belongs to
//! one, or has to join one as a new member.

use std::{collections::BTreeMap, time::Duration};

use tracing::info;

use super::control_client::ControlClient;
use crate::{
    core::{
        control::{Command, InstanceName},
        replication::{DurableState, Members, ReplicaId},
    },
    net::{ClusterClient, wire::ProbeReply},
};

/// The log target of this module, kept under its former name for log filters.
const TARGET: &str = "bulrushspan::runtime::founding";
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
const JOIN_INTERVAL: Duration = Duration::from_millis(250);

/// Returns the first state of a replica whose data folder is empty.
///
/// All replicas draw their ids before they answer a probe. Only when every
/// one of them answers that it has no log either is a new log founded, with
/// just these ids. A replica whose disk was lost meets others that have a
/// log, in which its new id is not a member, and joins as a new one.
pub(super) async fn initial_state(
    local: (&InstanceName, ReplicaId),
    peers: &BTreeMap<InstanceName, ClusterClient>,
) -> DurableState<Command> {
    loop {
        let answers = probe_all(peers).await;
        if let Some(durable) = choose_state(local, &answers, peers.len()) {
            return durable;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

async fn probe_all(
    peers: &BTreeMap<InstanceName, ClusterClient>,
) -> BTreeMap<InstanceName, ProbeReply> {
    let probes = peers
        .iter()
        .map(|(name, client)| async move { (name.clone(), client.probe(PROBE_TIMEOUT).await) });
    let answers = futures_util::future::join_all(probes).await;
    answers.into_iter().filter_map(|(name, answer)| Some((name, answer.ok()?))).collect()
}

fn choose_state(
    (name, id): (&InstanceName, ReplicaId),
    answers: &BTreeMap<InstanceName, ProbeReply>,
    peer_count: usize,
) -> Option<DurableState<Command>> {
    let known_members: Vec<&Members> =
        answers.values().filter_map(|answer| answer.members.as_ref()).collect();
    if let Some(members) = known_members.iter().find(|members| members.is_voter(id)) {
        info!(target: TARGET, "takes part in the log that the other control replicas founded");
        return Some(DurableState::new((*members).clone()));
    }
    if !known_members.is_empty() {
        info!(target: TARGET, "joins the control replicas as a new member");
        return Some(DurableState::new(Members::default()));
    }
    if answers.len() < peer_count {
        return None;
    }
    info!(target: TARGET, "founds the log with the other control replicas");
    let ids = answers.iter().map(|(name, answer)| (answer.replica, name.clone()));
    Some(DurableState::new(Members::new(ids.chain([(id, name.clone())]))))
}

/// Asks for a vote until the replica has one.
pub(super) async fn join_until_voter(
    control: ControlClient,
    instance: InstanceName,
    replica: ReplicaId,
) {
    while !control.join(&instance, replica).await {
        tokio::time::sleep(JOIN_INTERVAL).await;
    }
    info!(target: TARGET, "has a vote among the control replicas");
}
