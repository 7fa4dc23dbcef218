//! Decides what becomes of one request.

use std::{rc::Rc, time::Duration};

use tracing::info;

use super::{
    answer::Answer,
    attempt::{Outcome, attempt},
    request::Request,
    state::EntryState,
};
use crate::{
    core::{
        balance::{Choice, Wanted},
        routing::Route,
    },
    platform::headers,
};

/// How long a caller waits where it does not say.
const PATIENCE_DEFAULT: Duration = Duration::from_secs(30);
/// When a caller that was refused should ask again.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// When a caller that should use another instance should ask again.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(20);
/// The most upstreams that are tried without anything being sent.
const UNREACHABLE_MAX: usize = 3;

/// Answers one request.
pub(super) async fn answer(state: &Rc<EntryState>, request: &Request) -> Answer {
    if state.refuses_new() {
        return Answer::own(503, "stopping").with_retry_after(RETRY_ELSEWHERE);
    }
    if !state.has_configuration() {
        return Answer::own(503, "no_configuration").with_retry_after(RETRY_AFTER);
    }
    let routes = state.routes.borrow().clone();
    let Some((name, route)) = routes.find(request.host(), request.path()) else {
        return Answer::own(404, "no_route");
    };
    let patience = headers::patience(&request.head.headers).unwrap_or(PATIENCE_DEFAULT);
    let limit = patience.min(route.timeout);
    let spent = state.clock.now().saturating_sub(request.arrived);
    let mut sent = false;
    let sending = send(state, name, route, request, limit, &mut sent);
    let answered = tokio::time::timeout(limit.saturating_sub(spent), sending).await;
    answered.unwrap_or_else(|_| match sent {
        true => Answer::own(504, "timeout"),
        false => Answer::own(503, "timeout").with_retry_after(RETRY_AFTER),
    })
}

async fn send(
    state: &Rc<EntryState>,
    name: &str,
    route: &Route,
    request: &Request,
    limit: Duration,
    sent: &mut bool,
) -> Answer {
    let id = headers::request_id(&request.head.headers).unwrap_or_default();
    let key = headers::affinity_key(&request.head.headers).unwrap_or(id);
    let point = rand::random::<f64>();
    let Some(service) = route.destination.pick(point) else {
        return Answer::own(503, "no_service").with_retry_after(RETRY_AFTER);
    };
    state.note_request(service);
    let mut tried = Vec::new();
    let mut attempts = 0;
    let mut unreachable = 0;
    loop {
        let now = state.clock.now();
        let wanted =
            Wanted { service, route: name, key, home_regions: &route.home_regions, tried: &tried };
        let chosen = state.balancer.borrow_mut().choose(&wanted, now);
        let Some(choice) = chosen else {
            return refuse(id, "no_upstream");
        };
        tried.push(choice.id.clone());
        let left = (request.arrived + limit).saturating_sub(now);
        *sent = true;
        attempts += 1;
        match attempt(state, &choice, request, left).await {
            Outcome::Answered(answer) => return answer,
            Outcome::NotSent(error) => {
                note_failure(state, &choice, id, &error);
                *sent = false;
                attempts -= 1;
                unreachable += 1;
                if unreachable >= UNREACHABLE_MAX {
                    return refuse(id, "unreachable");
                }
            }
            Outcome::NotRun { status, load } => {
                info!(id, upstream = choice.id, status, ?load, "not run by the upstream");
                *sent = false;
                if attempts >= route.attempts_max || !state.take_retry(service) {
                    return refuse(id, "shed");
                }
            }
            Outcome::Unknown(error) => {
                note_failure(state, &choice, id, &error);
                let may_repeat = route.execution.is_repeatable() && attempts < route.attempts_max;
                if !may_repeat || !state.take_retry(service) {
                    return Answer::own(502, "broken_off");
                }
            }
        }
    }
}

fn note_failure(state: &EntryState, choice: &Choice, id: &str, error: &std::io::Error) {
    let now = state.clock.now();
    state.balancer.borrow_mut().note_failure(&choice.id, now);
    state.failed.notify_one();
    info!(id, upstream = choice.id, %error, "the upstream failed");
}

fn refuse(id: &str, error: &'static str) -> Answer {
    info!(id, error, "refused");
    Answer::own(503, error).with_retry_after(RETRY_AFTER)
}
