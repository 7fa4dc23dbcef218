//! The directory, which tells callers which entry instances to use.

use std::{sync::Arc, time::Duration};

use http::StatusCode;

use super::{ControlNodeState, lock};
use crate::{
    platform::calls::{decode_resolve_call, encode_resolve_response},
    runtime::http_handler::{HttpHandler, HttpRequest, HttpResponse},
};

/// How long callers may cache a response, unless the settings allow less.
const RESPONSE_TTL: Duration = Duration::from_secs(2);

/// Returns the handler of callers' resolve calls.
pub(super) fn handler(state: Arc<ControlNodeState>) -> HttpHandler {
    Arc::new(move |request| {
        let response = handle(&state, &request);
        Box::pin(async move { response })
    })
}

fn handle(state: &ControlNodeState, request: &HttpRequest) -> HttpResponse {
    let Some(call) = decode_resolve_call(&request.path, &request.query) else {
        return HttpResponse::text(StatusCode::NOT_FOUND, "there is no such call");
    };
    let now = state.clock.now();
    let addresses = lock(&state.roster).addresses_for(&call.region, &call.zone, now);
    if addresses.is_empty() {
        return HttpResponse::text(StatusCode::SERVICE_UNAVAILABLE, "no entry instance is known");
    }
    let ttl = RESPONSE_TTL.min(state.settings.bounds.directory_ttl_max);
    match encode_resolve_response(&addresses, ttl) {
        Ok(body) => HttpResponse::json(body),
        Err(error) => HttpResponse::text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
