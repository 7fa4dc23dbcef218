//! Starts a control replica that has no log yet: it creates a new log with its peers,
//! takes part in the log that they created with it, or joins one as a new member.

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
const PROBE_RETRY_DELAY: Duration = Duration::from_millis(100);
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Returns the initial state of a replica whose data folder is empty.
///
/// All replicas choose their ids before they reply to a probe. A new log is
/// created, with exactly these ids as voters, only once every peer has replied
/// that it has no log either. A replica that lost its disk finds peers with a log of
/// which its new id is not a member, and joins as a new member.
pub(super) async fn initial_state(
    local: (&InstanceName, ReplicaId),
    peers: &BTreeMap<InstanceName, ClusterClient>,
) -> DurableState<Command> {
    loop {
        let replies = probe_all(peers).await;
        if let Some(durable) = choose_state(local, &replies, peers.len()) {
            return durable;
        }
        tokio::time::sleep(PROBE_RETRY_DELAY).await;
    }
}

async fn probe_all(
    peers: &BTreeMap<InstanceName, ClusterClient>,
) -> BTreeMap<InstanceName, ProbeReply> {
    let probes = peers
        .iter()
        .map(|(name, client)| async move { (name.clone(), client.probe(PROBE_TIMEOUT).await) });
    let replies = futures_util::future::join_all(probes).await;
    replies.into_iter().filter_map(|(name, reply)| Some((name, reply.ok()?))).collect()
}

/// Chooses the initial state from the replies. Returns `None` while no choice is safe.
fn choose_state(
    (name, id): (&InstanceName, ReplicaId),
    replies: &BTreeMap<InstanceName, ProbeReply>,
    peer_count: usize,
) -> Option<DurableState<Command>> {
    let known_members: Vec<&Members> =
        replies.values().filter_map(|reply| reply.members.as_ref()).collect();
    if let Some(members) = known_members.iter().find(|members| members.is_voter(id)) {
        info!(
            target: TARGET,
            "taking part as a voter in the log that the other control replicas created"
        );
        return Some(DurableState::new((*members).clone()));
    }
    if !known_members.is_empty() {
        info!(target: TARGET, "joining the log of the other control replicas as a new member");
        return Some(DurableState::new(Members::default()));
    }
    if replies.len() < peer_count {
        return None;
    }
    info!(target: TARGET, "creating a new log with the other control replicas in the settings");
    let ids = replies.iter().map(|(name, reply)| (reply.replica, name.clone()));
    Some(DurableState::new(Members::new(ids.chain([(id, name.clone())]))))
}

/// Repeats the request to join the log until the replica is a voter.
pub(super) async fn join_until_voter(
    control: ControlClient,
    instance: InstanceName,
    replica: ReplicaId,
) {
    while !control.join(&instance, replica).await {
        tokio::time::sleep(JOIN_RETRY_DELAY).await;
    }
    info!(target: TARGET, "replica is now a voter of the log");
}
