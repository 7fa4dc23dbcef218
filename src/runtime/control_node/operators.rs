//! Answers operators.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use tokio::sync::oneshot;
use tracing::info;

use super::{
    Shared,
    calls::{query, submit},
};
use crate::{
    core::{control::Command, routing::RoutingTable},
    net::wire::{QueryReply, QueryRequest, SubmitReply, SubmitRequest},
    platform::{
        calls::{OperatorCall, operator_call},
        configuration,
    },
    runtime::{
        http_handler::{HttpHandler, HttpRequest, HttpResponse},
        replica::{CatchUp, CurrentPolicy},
    },
};

/// How long an operator's call may take; operators go elsewhere after 1 s.
const CALL_PATIENCE: Duration = Duration::from_millis(900);
/// How long a change may take; operators wait longer for large ones.
const CHANGE_PATIENCE: Duration = Duration::from_millis(2000);

/// Returns what answers operators.
pub(super) fn answers(shared: Arc<Shared>) -> HttpHandler {
    Arc::new(move |asked| {
        let shared = shared.clone();
        Box::pin(async move { answer(&shared, asked).await })
    })
}

async fn answer(shared: &Shared, asked: HttpRequest) -> HttpResponse {
    match operator_call(&asked.method, &asked.path) {
        Some(OperatorCall::PutConfiguration) => put_configuration(shared, &asked.body).await,
        Some(OperatorCall::GetConfiguration) => get_configuration(shared).await,
        Some(OperatorCall::Evacuate(zone)) => evacuate(shared, zone, true).await,
        Some(OperatorCall::EndEvacuation(zone)) => evacuate(shared, zone, false).await,
        None => HttpResponse::text(StatusCode::NOT_FOUND, "there is no such call"),
    }
}

async fn put_configuration(shared: &Shared, body: &[u8]) -> HttpResponse {
    let table = match configuration::decode(body) {
        Ok(table) => table,
        Err(findings) => return refuse(findings),
    };
    let findings = table.findings();
    if !findings.is_empty() {
        return refuse(findings);
    }
    let version = table.version;
    let answer = commit(shared, Command::Routing(Box::new(table))).await;
    info!(version, status = answer.status.as_u16(), "configuration delivered");
    answer
}

fn refuse(findings: Vec<String>) -> HttpResponse {
    info!(?findings, "configuration refused");
    HttpResponse::text(StatusCode::BAD_REQUEST, &findings.join("\n"))
}

async fn evacuate(shared: &Shared, zone: String, evacuated: bool) -> HttpResponse {
    let answer = commit(shared, Command::Evacuate { zone: zone.clone(), evacuated }).await;
    info!(zone, evacuated, status = answer.status.as_u16(), "evacuation ordered");
    answer
}

async fn commit(shared: &Shared, command: Command) -> HttpResponse {
    match submit(shared, SubmitRequest::Command(command), CHANGE_PATIENCE).await {
        Some(SubmitReply::Committed(_)) => HttpResponse::text(StatusCode::OK, ""),
        _ => HttpResponse::text(StatusCode::SERVICE_UNAVAILABLE, "no quorum answered in time"),
    }
}

async fn get_configuration(shared: &Shared) -> HttpResponse {
    let table = tokio::time::timeout(CALL_PATIENCE, current_table(shared)).await;
    let Ok(Some(table)) = table else {
        let text = "it is not sure which configuration is the newest";
        return HttpResponse::text(StatusCode::SERVICE_UNAVAILABLE, text);
    };
    match configuration::encode(&table) {
        Ok(body) => HttpResponse::json(body),
        Err(error) => HttpResponse::text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Returns the routing table that was in force after the call began.
async fn current_table(shared: &Shared) -> Option<Arc<RoutingTable>> {
    let Some(QueryReply::Committed { index }) =
        query(shared, QueryRequest::Committed, CALL_PATIENCE).await
    else {
        return None;
    };
    let (reply, applied) = oneshot::channel();
    let replica = shared.replica()?;
    replica.send(CatchUp(index, reply)).await.ok()?;
    applied.await.ok()?;
    let policy = replica.send(CurrentPolicy).await.ok()?;
    Some(policy.routing).filter(|routing| routing.version > 0)
}
