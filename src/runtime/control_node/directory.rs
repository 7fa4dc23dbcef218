//! Tells callers which entry instances to use.

use std::{sync::Arc, time::Duration};

use http::StatusCode;

use super::{Shared, lock};
use crate::{
    platform::calls::{resolve_answer, resolve_call},
    runtime::http_handler::{HttpHandler, HttpRequest, HttpResponse},
};

/// How long callers keep an answer.
const TTL: Duration = Duration::from_secs(2);

/// Returns what answers callers.
pub(super) fn answers(shared: Arc<Shared>) -> HttpHandler {
    Arc::new(move |asked| {
        let answer = answer(&shared, &asked);
        Box::pin(async move { answer })
    })
}

fn answer(shared: &Shared, asked: &HttpRequest) -> HttpResponse {
    let Some(call) = resolve_call(&asked.path, &asked.query) else {
        return HttpResponse::text(StatusCode::NOT_FOUND, "there is no such call");
    };
    let now = shared.clock.now();
    let named = lock(&shared.roster).name_for(&call.region, &call.zone, now);
    if named.is_empty() {
        return HttpResponse::text(StatusCode::SERVICE_UNAVAILABLE, "no entry instance is known");
    }
    let ttl = TTL.min(shared.settings.bounds.directory_ttl_max);
    match resolve_answer(&named, ttl) {
        Ok(body) => HttpResponse::json(body),
        Err(error) => HttpResponse::text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
