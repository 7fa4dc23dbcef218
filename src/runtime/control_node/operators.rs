//! Handles the calls of operators: configurations and evacuations.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use tokio::sync::oneshot;
use tracing::info;

use super::{
    ControlNodeState,
    calls::{query, submit},
};
use crate::{
    core::{control::Command, routing::RoutingTable},
    net::wire::{QueryReply, QueryRequest, SubmitReply, SubmitRequest},
    platform::{
        calls::{OperatorCall, decode_operator_call},
        configuration,
    },
    runtime::{
        http_handler::{HttpHandler, HttpRequest, HttpResponse},
        replica::{CatchUp, CurrentPolicy},
    },
};

/// The timeout of reads. Operators try another replica after 1 s.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// The timeout of changes. Operators wait longer for large ones.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(2000);

/// Returns the handler of operators' calls.
pub(super) fn handler(state: Arc<ControlNodeState>) -> HttpHandler {
    Arc::new(move |request| {
        let state = state.clone();
        Box::pin(async move { handle(&state, request).await })
    })
}

async fn handle(state: &ControlNodeState, request: HttpRequest) -> HttpResponse {
    match decode_operator_call(&request.method, &request.path) {
        Some(OperatorCall::PutConfiguration) => put_configuration(state, &request.body).await,
        Some(OperatorCall::GetConfiguration) => get_configuration(state).await,
        Some(OperatorCall::Evacuate(zone)) => evacuate(state, zone, true).await,
        Some(OperatorCall::EndEvacuation(zone)) => evacuate(state, zone, false).await,
        None => HttpResponse::text(StatusCode::NOT_FOUND, "there is no such call"),
    }
}

async fn put_configuration(state: &ControlNodeState, body: &[u8]) -> HttpResponse {
    let table = match configuration::decode(body) {
        Ok(table) => table,
        Err(findings) => return reject(findings),
    };
    let findings = table.findings();
    if !findings.is_empty() {
        return reject(findings);
    }
    let version = table.version;
    let response = submit_command(state, Command::Routing(Box::new(table))).await;
    info!(version, status = response.status.as_u16(), "configuration delivered");
    response
}

fn reject(findings: Vec<String>) -> HttpResponse {
    info!(?findings, "configuration refused");
    HttpResponse::text(StatusCode::BAD_REQUEST, &findings.join("\n"))
}

async fn evacuate(state: &ControlNodeState, zone: String, evacuated: bool) -> HttpResponse {
    let response = submit_command(state, Command::Evacuate { zone: zone.clone(), evacuated }).await;
    info!(zone, evacuated, status = response.status.as_u16(), "evacuation requested");
    response
}

/// Submits a command and returns the response to the operator.
async fn submit_command(state: &ControlNodeState, command: Command) -> HttpResponse {
    match submit(state, SubmitRequest::Command(command), CHANGE_TIMEOUT).await {
        Some(SubmitReply::Committed(_)) => HttpResponse::text(StatusCode::OK, ""),
        _ => HttpResponse::text(StatusCode::SERVICE_UNAVAILABLE, "no quorum answered in time"),
    }
}

async fn get_configuration(state: &ControlNodeState) -> HttpResponse {
    let table = tokio::time::timeout(READ_TIMEOUT, current_table(state)).await;
    let Ok(Some(table)) = table else {
        let text = "it is not sure which configuration is the newest";
        return HttpResponse::text(StatusCode::SERVICE_UNAVAILABLE, text);
    };
    match configuration::encode(&table) {
        Ok(body) => HttpResponse::json(body),
        Err(error) => HttpResponse::text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
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
    Some(policy.routing).filter(|routing| routing.version > 0)
}
