//! Tells callers which entry instances to use.

use std::{sync::Arc, time::Duration};

use http::StatusCode;

use super::{Shared, lock};
use crate::{
    platform::calls::{resolve_answer, resolve_call},
    runtime::http_answers::{Asked, HttpAnswer, HttpAnswers},
};

/// How long callers keep an answer.
const TTL: Duration = Duration::from_secs(2);

/// Returns what answers callers.
pub(super) fn answers(shared: Arc<Shared>) -> HttpAnswers {
    Arc::new(move |asked| {
        let answer = answer(&shared, &asked);
        Box::pin(async move { answer })
    })
}

fn answer(shared: &Shared, asked: &Asked) -> HttpAnswer {
    let Some(call) = resolve_call(&asked.path, &asked.query) else {
        return HttpAnswer::text(StatusCode::NOT_FOUND, "there is no such call");
    };
    let now = shared.clock.now();
    let named = lock(&shared.roster).addresses_for(&call.region, &call.zone, now);
    if named.is_empty() {
        return HttpAnswer::text(StatusCode::SERVICE_UNAVAILABLE, "no entry instance is known");
    }
    let ttl = TTL.min(shared.settings.bounds.directory_ttl_max);
    match resolve_answer(&named, ttl) {
        Ok(body) => HttpAnswer::json(body),
        Err(error) => HttpAnswer::text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
