//! Decides whether a replica founds the replicated log, and lets the others
//! join it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sha2::{Digest, Sha256};
use tracing::info;

use super::{ControlNodeState, calls::submit};
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

/// Returns the id of a replica on an empty disk.
///
/// The founders' ids are derived from their addresses, so that all founders
/// start the same log without communicating first. Founding happens once, at
/// the first start. At any other time a replica on an empty disk gets a random
/// id, so that it is never mistaken for a replica that has voted.
pub(super) fn initial_id(settings: &NodeSettings) -> ReplicaId {
    if settings.first_start && settings.is_seed() {
        initial_voter_id(settings.cluster_address())
    } else {
        rand::random()
    }
}

/// Returns the initial state of a replica on an empty disk: founders are
/// members from the start, all others have to ask to join.
pub(super) fn initial_state(settings: &NodeSettings, replica: ReplicaId) -> DurableState<Command> {
    if replica == initial_voter_id(settings.cluster_address()) {
        let addresses = settings.seed_cluster_addresses();
        let voters =
            addresses.into_iter().map(|address| (initial_voter_id(address), address.to_string()));
        info!("founding the replicated log with the other seeds");
        return DurableState::new(Members::new(voters));
    }
    info!("not a founder; asking the other replicas to join the log");
    DurableState::new(Members::default())
}

fn initial_voter_id(address: SocketAddr) -> ReplicaId {
    let digest = Sha256::digest(address.to_string().as_bytes());
    let mut id = [0; 8];
    id.copy_from_slice(&digest[..8]);
    ReplicaId::from_le_bytes(id)
}

/// Asks to become a voter until the replica is one or no longer runs.
pub(super) async fn join_until_voter(state: Arc<ControlNodeState>, replica: ReplicaId) {
    let instance = state.settings.cluster_address().to_string();
    while state.is_running(replica).await {
        let request = SubmitRequest::Join { instance: instance.clone(), replica };
        let reply = submit(&state, request, JOIN_TIMEOUT).await;
        if matches!(reply, Some(SubmitReply::Joined)) {
            info!(replica, "joined the control replicas as a voter");
            return;
        }
        tokio::time::sleep(JOIN_RETRY_DELAY).await;
    }
}
