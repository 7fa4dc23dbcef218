//! Creates the replicated log at the first start of the system, and joins a replica to
//! an existing log.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sha2::{Digest, Sha256};
use tracing::info;

use super::{
    ControlNodeState,
    calls::{leader, submit},
};
use crate::{
    core::{
        control::Command,
        replication::{DurableState, Members, ReplicaId},
    },
    net::wire::{SubmitReply, SubmitRequest},
    settings::NodeSettings,
};

const JOIN_RETRY_DELAY: Duration = Duration::from_millis(150);
const JOIN_TIMEOUT: Duration = Duration::from_millis(1500);
/// The interval at which a voter checks whether it still knows a leader.
const VOTE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the id of a replica on an empty disk.
///
/// The log is created once, at the first start of the system, and its initial voters
/// are the seeds. Their ids are derived from their addresses, so that they all create
/// the same log without communicating first. At any other time, a replica on an empty
/// disk gets a random id, so that it is never mistaken for a replica that has voted.
pub(super) fn initial_id(settings: &NodeSettings) -> ReplicaId {
    if settings.first_start && settings.is_seed() {
        initial_voter_id(settings.cluster_address())
    } else {
        rand::random()
    }
}

/// Returns the initial state of a replica on an empty disk: with the initial voters as
/// members if it is one of them, and without members if it has to join the log.
pub(super) fn initial_state(settings: &NodeSettings, replica: ReplicaId) -> DurableState<Command> {
    if replica == initial_voter_id(settings.cluster_address()) {
        let addresses = settings.seed_cluster_addresses();
        let voters =
            addresses.into_iter().map(|address| (initial_voter_id(address), address.to_string()));
        info!("creating a new log with the other control replicas in the settings");
        return DurableState::new(Members::new(voters));
    }
    info!("joining the log of the other control replicas as a new member");
    DurableState::new(Members::default())
}

/// Returns the id of the initial voter with this cluster address.
fn initial_voter_id(address: SocketAddr) -> ReplicaId {
    let digest = Sha256::digest(address.to_string().as_bytes());
    let mut id = [0; 8];
    id.copy_from_slice(&digest[..8]);
    ReplicaId::from_le_bytes(id)
}

/// Requests a vote for the replica until it has one, and again whenever it may have lost it,
/// for as long as the replica runs.
///
/// A leader removes members that don't reply, and does not tell them. A removed replica
/// hears from no leader, so one that knows none asks as well.
pub(super) async fn keep_vote(state: Arc<ControlNodeState>, replica: ReplicaId) {
    let instance = state.settings.cluster_address().to_string();
    let mut has_vote = false;
    while state.is_running(replica).await {
        if has_vote && leader(&state).await.is_some() {
            tokio::time::sleep(VOTE_CHECK_INTERVAL).await;
            continue;
        }
        let request = SubmitRequest::Join { instance: instance.clone(), replica };
        match submit(&state, request, JOIN_TIMEOUT).await {
            Some(SubmitReply::Joined) => {
                if !has_vote {
                    info!(replica, "replica is now a voter of the log");
                }
                has_vote = true;
                tokio::time::sleep(VOTE_CHECK_INTERVAL).await;
            }
            Some(SubmitReply::Joining) => {
                has_vote = false;
                tokio::time::sleep(JOIN_RETRY_DELAY).await;
            }
            _ => tokio::time::sleep(JOIN_RETRY_DELAY).await,
        }
    }
}
