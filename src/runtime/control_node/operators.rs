//! Handles the calls of operators: configurations and evacuations.

use std::{
    sync::{Arc, Mutex, Weak},
    time::Duration,
};

use bytes::Bytes;
use http::StatusCode;
use tokio::sync::oneshot;
use tracing::{info, warn};

use super::{
    ControlNodeState,
    calls::{query, submit, voter_count},
    lock,
};
use crate::{
    core::{
        MessageKind,
        control::{Command, EvacuationOrders, Outcome, ZoneName},
        encoded_len,
        routing::{ConfigVersion, RoutingTable},
    },
    net::{
        SharedBudget,
        held_bytes::HeldBytes,
        wire::{QueryReply, QueryRequest, SubmitReply, SubmitRequest},
    },
    platform::{
        calls::{OperatorCall, decode_operator_call},
        configuration,
    },
    runtime::{
        http_handler::{HttpHandler, HttpRequest, HttpResponse},
        replica::{CatchUp, CurrentPolicy, GetEvacuationOrders},
    },
};

/// The timeout of reads. Operators try another replica after 1 s.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// The timeout of changes. Operators wait longer for large ones.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long operators wait for a response before they send an order to another replica.
const OPERATOR_PATIENCE: Duration = Duration::from_secs(1);
/// How long after its arrival at the handler an order may still be based on a newer state. An
/// order passes at most four turns of the runtime before that, each no longer than
/// [`STALL_MIN`](super::STALL_MIN) in a process that is steady, and the sum of both is below
/// [`OPERATOR_PATIENCE`].
const ORDER_MAX_AGE: Duration = Duration::from_millis(300);

/// Returns the handler of operators' calls.
pub(super) fn handler(state: Arc<ControlNodeState>) -> HttpHandler {
    Arc::new(move |request| {
        let state = state.clone();
        Box::pin(async move { handle(&state, request).await })
    })
}

async fn handle(state: &ControlNodeState, request: HttpRequest) -> HttpResponse {
    match decode_operator_call(&request.method, &request.path) {
        Some(OperatorCall::PutConfiguration) => put_configuration(state, request.body).await,
        Some(OperatorCall::GetConfiguration) => get_configuration(state).await,
        Some(OperatorCall::Evacuate(zone)) => evacuate(state, zone, true).await,
        Some(OperatorCall::EndEvacuation(zone)) => evacuate(state, zone, false).await,
        None => HttpResponse::text(StatusCode::NOT_FOUND, "there is no such call"),
    }
}

async fn put_configuration(state: &ControlNodeState, body: Bytes) -> HttpResponse {
    let decoded = configuration::decode(&body);
    // A large one must not stay in memory until the command is committed.
    drop(body);
    let table = match decoded {
        Ok(table) => table,
        Err(findings) => return reject(findings),
    };
    let findings = table.findings();
    if !findings.is_empty() {
        return reject(findings);
    }
    let version = table.version;
    let command = Command::Routing(Box::new(table));
    let size_bytes = encoded_len(&command);
    let voters = voter_count(state).await.unwrap_or_default();
    let max_bytes = state.settings.state_budget().configuration_max_bytes(voters);
    if size_bytes > max_bytes {
        warn!(version, size_bytes, max_bytes, "configuration too large; refused");
        let text = format!(
            "the configuration takes {size_bytes} bytes when encoded, and at most {max_bytes} are \
             accepted with the memory, the disk and the link of this instance; deliver fewer or shorter routes"
        );
        return HttpResponse::text(StatusCode::PAYLOAD_TOO_LARGE, &text);
    }
    let response = submit_command(state, command).await;
    info!(version, status = response.status.as_u16(), "configuration delivered");
    response
}

fn reject(findings: Vec<String>) -> HttpResponse {
    info!(?findings, "configuration refused");
    HttpResponse::text(StatusCode::BAD_REQUEST, &findings.join("\n"))
}

/// Evacuates an availability zone or ends its evacuation.
///
/// Orders carry neither a number nor a time. One that waited unread, or is submitted again, while
/// its sender moved on to another replica must not revert what was ordered there since. It
/// therefore names the number of orders that it follows, which is read only while its sender
/// certainly still waits for this replica.
async fn evacuate(state: &ControlNodeState, zone: ZoneName, evacuated: bool) -> HttpResponse {
    let received_at = state.clock.now();
    let response = match evacuation_orders(state, &zone).await {
        Some(orders) => submit_order(state, &zone, evacuated, orders, received_at).await,
        None => no_quorum(),
    };
    let elapsed_ms = state.clock.now().saturating_sub(received_at).as_millis() as u64;
    let status = response.status.as_u16();
    info!(zone, evacuated, status, elapsed_ms, "evacuation requested");
    response
}

/// Submits an order that follows the given number of orders, and again with a newer number as
/// long as its sender certainly waits.
async fn submit_order(
    state: &ControlNodeState,
    zone: &ZoneName,
    evacuated: bool,
    mut orders: EvacuationOrders,
    received_at: Duration,
) -> HttpResponse {
    loop {
        let now = state.clock.now();
        let age = now.saturating_sub(received_at);
        let is_steady = lock(&state.stalls).is_steady_for(OPERATOR_PATIENCE, now);
        if age > ORDER_MAX_AGE || !is_steady {
            let age_ms = age.as_millis() as u64;
            warn!(
                zone,
                evacuated, orders, age_ms, is_steady, "order may be out of date; not submitted"
            );
            let text = "the order may be out of date and was not carried out; send it again";
            return HttpResponse::text(StatusCode::SERVICE_UNAVAILABLE, text);
        }
        let expected_orders = Some(orders);
        let command = Command::Evacuate { zone: zone.clone(), evacuated, expected_orders };
        match submit(state, SubmitRequest::Command(command), CHANGE_TIMEOUT).await {
            Some(SubmitReply::Committed(Outcome::Evacuation {
                accepted: false,
                orders: current,
            })) => {
                warn!(zone, evacuated, orders, current, "another order was accepted first");
                orders = current;
            }
            Some(SubmitReply::Committed(_)) => return HttpResponse::text(StatusCode::OK, ""),
            _ => return no_quorum(),
        }
    }
}

async fn evacuation_orders(state: &ControlNodeState, zone: &str) -> Option<EvacuationOrders> {
    state.replica()?.send(GetEvacuationOrders(zone.to_owned())).await.ok()
}

/// Submits a command and returns the response to the operator.
async fn submit_command(state: &ControlNodeState, command: Command) -> HttpResponse {
    match submit(state, SubmitRequest::Command(command), CHANGE_TIMEOUT).await {
        Some(SubmitReply::Committed(_)) => HttpResponse::text(StatusCode::OK, ""),
        _ => no_quorum(),
    }
}

fn no_quorum() -> HttpResponse {
    HttpResponse::text(StatusCode::SERVICE_UNAVAILABLE, "no quorum answered in time")
}

/// The body of a response with a configuration, for as long as one is being sent.
///
/// All readers of a version share one body, since a large one takes much of the memory.
#[derive(Default)]
pub(super) struct ConfigurationBody(
    Mutex<Option<(Option<ConfigVersion>, Weak<EncodedConfiguration>)>>,
);

/// A configuration as operators read it.
struct EncodedConfiguration {
    bytes: Vec<u8>,
    _held: HeldBytes,
}

/// Lets responses share an [`EncodedConfiguration`].
struct SharedConfiguration(Arc<EncodedConfiguration>);

impl AsRef<[u8]> for SharedConfiguration {
    fn as_ref(&self) -> &[u8] {
        &self.0.bytes
    }
}

impl ConfigurationBody {
    /// Returns the body, or the response that says why there is none.
    fn encode(&self, table: &RoutingTable, memory: &SharedBudget) -> Result<Bytes, HttpResponse> {
        let mut last = lock(&self.0);
        let known = last.as_ref().filter(|(version, _)| *version == table.version);
        if let Some(body) = known.and_then(|(_, body)| body.upgrade()) {
            return Ok(Bytes::from_owner(SharedConfiguration(body)));
        }
        let bytes = configuration::encode(table).map_err(|error| {
            HttpResponse::text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string())
        })?;
        let mut _held = HeldBytes::new(memory, MessageKind::Response);
        _held.resize(bytes.len()).map_err(|error| {
            HttpResponse::text(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
        })?;
        let body = Arc::new(EncodedConfiguration { bytes, _held });
        *last = Some((table.version, Arc::downgrade(&body)));
        Ok(Bytes::from_owner(SharedConfiguration(body)))
    }
}

async fn get_configuration(state: &ControlNodeState) -> HttpResponse {
    let table = tokio::time::timeout(READ_TIMEOUT, current_table(state)).await;
    let Ok(Some(table)) = table else {
        let text = "it is not sure which configuration is the newest";
        return HttpResponse::text(StatusCode::SERVICE_UNAVAILABLE, text);
    };
    match state.configuration_body.encode(&table, &state.memory) {
        Ok(body) => HttpResponse::json(body),
        Err(response) => response,
    }
}

/// Returns a routing table that includes every change committed before the
/// call, or `None` without a quorum or a configuration.
async fn current_table(state: &ControlNodeState) -> Option<Arc<RoutingTable>> {
    let Some(QueryReply::Committed { index }) =
        query(state, QueryRequest::Committed, READ_TIMEOUT).await
    else {
        return None;
    };
    let (reply, reply_receiver) = oneshot::channel();
    let replica = state.replica()?;
    replica.send(CatchUp(index, reply)).await.ok()?;
    reply_receiver.await.ok()?;
    let policy = replica.send(CurrentPolicy).await.ok()?;
    Some(policy.routing).filter(|routing| routing.version.is_some())
}
