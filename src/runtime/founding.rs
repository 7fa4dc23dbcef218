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

const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const PROBE_PAUSE: Duration = Duration::from_millis(100);
const JOIN_PAUSE: Duration = Duration::from_millis(250);

/// Returns the first state of a replica whose data folder is empty.
///
/// All replicas draw their ids before they answer a probe. Only when every
/// one of them answers that it has no log either is a new log founded, with
/// just these ids. A replica whose disk was lost meets others that have a
/// log, in which its new id is not a member, and joins as a new one.
pub(super) async fn first_state(
    me: (&InstanceName, ReplicaId),
    others: &BTreeMap<InstanceName, ClusterClient>,
) -> DurableState<Command> {
    loop {
        let answers = probe_all(others).await;
        if let Some(durable) = decide(me, &answers, others.len()) {
            return durable;
        }
        tokio::time::sleep(PROBE_PAUSE).await;
    }
}

async fn probe_all(
    others: &BTreeMap<InstanceName, ClusterClient>,
) -> BTreeMap<InstanceName, ProbeReply> {
    let probes = others
        .iter()
        .map(|(name, client)| async move { (name.clone(), client.probe(PROBE_TIMEOUT).await) });
    let answers = futures_util::future::join_all(probes).await;
    answers.into_iter().filter_map(|(name, answer)| Some((name, answer.ok()?))).collect()
}

fn decide(
    (name, id): (&InstanceName, ReplicaId),
    answers: &BTreeMap<InstanceName, ProbeReply>,
    others: usize,
) -> Option<DurableState<Command>> {
    let founded: Vec<&Members> =
        answers.values().filter_map(|answer| answer.members.as_ref()).collect();
    if let Some(members) = founded.iter().find(|members| members.is_voter(id)) {
        info!("takes part in the log that the other control replicas founded");
        return Some(DurableState::new((*members).clone()));
    }
    if !founded.is_empty() {
        info!("joins the control replicas as a new member");
        return Some(DurableState::new(Members::default()));
    }
    if answers.len() < others {
        return None;
    }
    info!("founds the log with the other control replicas");
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
        tokio::time::sleep(JOIN_PAUSE).await;
    }
    info!("has a vote among the control replicas");
}
