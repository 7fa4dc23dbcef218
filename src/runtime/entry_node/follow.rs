//! Follows a control replica to keep the policy and the list of upstreams
//! current.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use tokio::time::timeout;
use tracing::{info, warn};

use super::{
    replica_call::{
        Client, FollowState, PendingReply, ReplicaReply, apply_reply, fetch_state, is_up_to_date,
    },
    replica_search::Search,
    state::EntryState,
};
use crate::net::mesh::ARRIVAL_CHECK_INTERVAL;

/// How long a replica may hold back its reply while nothing has changed.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1000);
/// The same while links to upstreams are lost. Which peers have theirs may change at any time.
const PEERS_POLL_TIMEOUT: Duration = Duration::from_millis(250);

/// Follows one control replica at a time, for as long as the process runs.
pub(super) async fn follow_control(state: Rc<EntryState>) {
    let mut progress = FollowState::default();
    let mut search = Search::default();
    loop {
        let (address, client) = search.find_replica(&state, &mut progress).await;
        search = follow_replica(&state, address, client, &mut progress).await;
    }
}

/// Follows one replica until it does not reply in time or is not up to date. Returns the search
/// for the next one, in which a late reply of this one is still awaited.
async fn follow_replica(
    state: &Rc<EntryState>,
    address: SocketAddr,
    client: Client,
    progress: &mut FollowState,
) -> Search {
    info!(replica = %address, config_age_ms = state.config_age_ms(), "control regained");
    let queue_time = state.settings.link_queue_time();
    loop {
        let reply_timeout = LONG_POLL_TIMEOUT + progress.reply_margin() + queue_time;
        let hold = if state.links.is_any_lost() { PEERS_POLL_TIMEOUT } else { LONG_POLL_TIMEOUT };
        let mut pending = fetch_state(state, address, &client, hold, progress);
        let Some(ReplicaReply { call, result, .. }) =
            await_reply(&mut pending, &client, reply_timeout).await
        else {
            warn!(
                replica = %address,
                config_age_ms = state.config_age_ms(),
                "control lost: the reply of the replica is late; looking for another"
            );
            progress.record_late();
            return Search::with_late_reply(address, client, pending);
        };
        let Ok(reply) = result else {
            warn!(
                replica = %address,
                config_age_ms = state.config_age_ms(),
                "control lost: the replica does not reply; looking for another"
            );
            progress.record_failed(&call, state.clock.now());
            return Search::default();
        };
        let (up_to_date, behind_ms) = (is_up_to_date(&reply), reply.behind_ms);
        apply_reply(state, *reply, &call, progress);
        if !up_to_date {
            warn!(
                replica = %address,
                behind_ms,
                config_age_ms = state.config_age_ms(),
                "control lost: the replica is not up to date; looking for another"
            );
            return Search::with_client(address, client);
        }
    }
}

/// Waits for a reply, and longer than `reply_timeout` while part of it arrives: another replica
/// would have to send all of it again over the same link. Returns `None` if the reply is late.
async fn await_reply(
    pending: &mut PendingReply,
    client: &Client,
    reply_timeout: Duration,
) -> Option<ReplicaReply> {
    let mut wait = reply_timeout;
    loop {
        match timeout(wait, &mut *pending).await {
            Ok(reply) => return Some(reply),
            Err(_) if client.is_receiving() => wait = ARRIVAL_CHECK_INTERVAL,
            Err(_) => return None,
        }
    }
}
