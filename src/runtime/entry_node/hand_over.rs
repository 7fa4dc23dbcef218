//! Hands requests that this instance can't send to an upstream over to peers that can.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Buf;
use tracing::info;

use super::{
    attempt::{
        ConnectionUse, UNMARKED_REFUSAL, UNNAMED_REFUSAL, encode_request, needs_extra_connection,
        receive, take_pooled,
    },
    pool::connect,
    request::Request,
    response::Response,
    state::EntryState,
};
use crate::{
    core::{control::RegionName, peers::Peer},
    net::relay::{Refusal, RelayTerms},
    platform::headers,
    runtime::logs::REQUEST_TARGET,
};

/// The outcome of handing a request over.
#[derive(Debug)]
pub(super) enum HandOverOutcome {
    /// A peer responded: with the response of an upstream, or because it could not get one.
    Responded(Response),
    /// A peer refused the request, which has not run, and so would others.
    Refused { retry_after: Duration },
    /// No peer could take the request over. It has not run.
    NoPeer,
    /// The request was sent to a peer, and whether it ran is unknown.
    Unknown,
}

/// What one peer made of a request.
enum PeerOutcome {
    Responded(Response),
    Refused(Refusal, ConnectionUse),
    NotSent(io::Error),
    Unknown(io::Error),
}

/// The maximum number of peers that one request is handed over to.
const PEERS_TRIED_MAX: usize = 3;

/// The reasons of a peer's refusal that say nothing about other peers.
const REASONS_OF_ONE_PEER: [&str; 11] = [
    "behind",
    "connections",
    "memory",
    "no_configuration",
    "no_upstream",
    "over_limits",
    "paused",
    "requests",
    "stale_configuration",
    "stopping",
    "unreachable",
];

/// Hands a request over to a peer, and to further ones while none takes it over.
///
/// `home_regions` are those in which the request may be handled; empty means all. The
/// request ends at `deadline`, by the instance's clock.
pub(super) async fn hand_over(
    state: &Rc<EntryState>,
    request: &Request,
    terms: RelayTerms,
    home_regions: &[RegionName],
    deadline: Duration,
) -> HandOverOutcome {
    let id = headers::request_id(&request.head.headers).unwrap_or_default();
    let mut tried = Vec::new();
    while tried.len() < PEERS_TRIED_MAX {
        let now = state.clock.now();
        let peer = state.peers.borrow().choose(home_regions, &tried, now).cloned();
        let Some(peer) = peer else { break };
        tried.push(peer.address);
        let left_ms = deadline.saturating_sub(now).as_millis() as u64;
        info!(target: REQUEST_TARGET, request = id, peer = peer.instance, left_ms, "handed over");
        let outcome = send_to_peer(state, &peer, request, terms, deadline).await;
        state.metrics.record_hand_over(outcome.label());
        match outcome {
            PeerOutcome::Responded(response) => return HandOverOutcome::Responded(response),
            PeerOutcome::Refused(Refusal { reason, retry_after }, connection) => {
                let peer_name = &peer.instance;
                info!(
                    target: REQUEST_TARGET,
                    request = id,
                    peer = peer_name,
                    reason,
                    local_port = connection.local_port,
                    carried = connection.carried,
                    "peer refused"
                );
                if !REASONS_OF_ONE_PEER.contains(&reason.as_str()) {
                    return HandOverOutcome::Refused { retry_after };
                }
            }
            PeerOutcome::NotSent(error) => {
                let peer_name = &peer.instance;
                info!(
                    target: REQUEST_TARGET,
                    request = id,
                    peer = peer_name,
                    %error,
                    "peer unreachable"
                );
            }
            PeerOutcome::Unknown(error) => {
                state.peers.borrow_mut().record_failure(peer.address, state.clock.now());
                let peer_name = &peer.instance;
                info!(
                    target: REQUEST_TARGET,
                    request = id,
                    peer = peer_name,
                    %error,
                    "peer broke off"
                );
                return HandOverOutcome::Unknown;
            }
        }
        state.peers.borrow_mut().record_failure(peer.address, state.clock.now());
    }
    HandOverOutcome::NoPeer
}

impl PeerOutcome {
    fn label(&self) -> &'static str {
        match self {
            Self::Responded(_) => "responded",
            Self::Refused(..) => "refused",
            Self::NotSent(_) => "unreachable",
            Self::Unknown(_) => "broken_off",
        }
    }
}

/// Counts a request as in progress at a peer until dropped.
struct InProgress {
    state: Rc<EntryState>,
    address: SocketAddr,
}

impl InProgress {
    fn new(state: &Rc<EntryState>, address: SocketAddr) -> Self {
        state.peers.borrow_mut().record_start(address);
        Self { state: state.clone(), address }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.state.peers.borrow_mut().record_end(self.address);
    }
}

async fn send_to_peer(
    state: &Rc<EntryState>,
    peer: &Peer,
    request: &Request,
    terms: RelayTerms,
    deadline: Duration,
) -> PeerOutcome {
    let _in_progress = InProgress::new(state, peer.address);
    let mut connection = match take_pooled(&state.peer_pool, peer.address, request) {
        Some(connection) => connection,
        None => {
            let is_extra = needs_extra_connection(state, &state.peer_pool, peer.address, request);
            match connect(peer.address, state.settings.link_queue_time()).await {
                Ok(mut connection) => {
                    connection.is_extra = is_extra;
                    connection
                }
                Err(error) => return PeerOutcome::NotSent(error),
            }
        }
    };
    let time_left = deadline.saturating_sub(state.clock.now());
    let message = encode_request(request, time_left, |head| terms.write(head));
    connection.prepare_write(message.remaining());
    let connection_use = ConnectionUse::new(&connection);
    if let Err(error) = state.link.write(&mut connection.stream, message).await {
        return PeerOutcome::Unknown(error);
    }
    // What the upstream says of itself in a response that the peer passes on concerns the peer.
    let (pool, address) = (&state.peer_pool, peer.address);
    match receive(state, pool, address, request, connection, |_| {}).await {
        Ok((head, body)) => match Refusal::parse(&head.headers) {
            Some(refusal) if request.is_named_by(&head) => {
                PeerOutcome::Refused(refusal, connection_use)
            }
            Some(_) => {
                state.metrics.record_disbelieved_refusal("unnamed");
                PeerOutcome::Unknown(io::Error::other(UNNAMED_REFUSAL))
            }
            None if headers::promises_not_run(head.status) => {
                state.metrics.record_disbelieved_refusal("unmarked");
                PeerOutcome::Unknown(io::Error::other(UNMARKED_REFUSAL))
            }
            None => {
                PeerOutcome::Responded(Response::from_upstream(head.status, head.headers, body))
            }
        },
        Err(error) => PeerOutcome::Unknown(error),
    }
}
