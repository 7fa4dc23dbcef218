//! Decides what becomes of one request.

use std::{io, rc::Rc, time::Duration};

use tracing::info;

use super::{
    answer::Answer,
    attempt::{Outcome, attempt},
    metrics::RequestOutcome,
    request::Request,
    state::EntryState,
};
use crate::{
    core::{
        balance::{Choice, Wanted},
        control::ServiceName,
        placement::{AnsweredRequest, ObjectId, object_of},
        routing::{Execution, Route},
        upstreams::UpstreamId,
    },
    platform::headers,
    runtime::logs::REQUEST_TARGET,
};

/// How long a caller waits where it does not say.
const PATIENCE_DEFAULT: Duration = Duration::from_secs(30);
/// When a caller that was refused should ask again.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// When a caller that should use another instance should ask again.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(20);
/// A request that would wait longer than this part of its route's objective
/// is refused.
const WAIT_PART: f64 = 0.6;
/// The most upstreams that are tried without anything being sent.
const UNREACHABLE_MAX: usize = 3;

/// Answers one request.
pub(super) async fn answer(state: &Rc<EntryState>, request: &Request) -> Answer {
    let id = headers::request_id(&request.head.headers).unwrap_or_default();
    if state.refuses_new() {
        return refuse(state, id, "stopping", RETRY_ELSEWHERE);
    }
    if !state.has_configuration() {
        return refuse(state, id, "no_configuration", RETRY_AFTER);
    }
    let routes = state.routes.borrow().clone();
    let Some((name, route)) = routes.find(request.host(), request.path()) else {
        let (host, path) = (request.host(), request.path());
        info!(target: REQUEST_TARGET, request = id, host, path, config = state.config_version(), "no route");
        return Answer::own(404, "no_route");
    };
    let Some(service) = route.destination.pick(rand::random()) else {
        return refuse(state, id, "no_service", RETRY_AFTER);
    };
    state.note_request(service);
    let key = headers::affinity_key(&request.head.headers).unwrap_or(id);
    let patience = headers::patience(&request.head.headers).unwrap_or(PATIENCE_DEFAULT);
    let limit = patience.min(route.timeout);
    let mut exchange = Exchange {
        state,
        request,
        id,
        name,
        route,
        service,
        key,
        object: object_of(name, key),
        until: request.arrived + limit,
        tried: Vec::new(),
        attempts: 0,
        unreachable: 0,
        may_have_run: false,
        is_done: false,
    };
    exchange.run().await
}

/// Carries one request to its answer.
struct Exchange<'a> {
    state: &'a Rc<EntryState>,
    request: &'a Request,
    id: &'a str,
    name: &'a str,
    route: &'a Route,
    service: &'a ServiceName,
    key: &'a str,
    object: ObjectId,
    /// When the answer is due, by the instance's clock.
    until: Duration,
    tried: Vec<UpstreamId>,
    /// How many upstreams were sent the request.
    attempts: u32,
    /// How many could not be reached.
    unreachable: usize,
    may_have_run: bool,
    is_done: bool,
}

impl Exchange<'_> {
    async fn run(&mut self) -> Answer {
        let left = self.until.saturating_sub(self.state.clock.now());
        let answer = match tokio::time::timeout(left, self.try_upstreams()).await {
            Ok(answer) => answer,
            Err(_) if self.may_have_run => Answer::own(504, "timeout"),
            Err(_) => self.refuse("timeout", RETRY_AFTER),
        };
        self.is_done = true;
        self.note_outcome(RequestOutcome::new(answer.status, answer.is_own()));
        let (status, by, attempts) = (answer.status, self.tried.last(), self.attempts);
        let took_ms = self.took_ms();
        let source = if answer.is_own() { "instance" } else { "upstream" };
        info!(target: REQUEST_TARGET, request = self.id, status, source, upstream = by, attempts, took_ms, "answered");
        answer
    }

    async fn try_upstreams(&mut self) -> Answer {
        loop {
            let Some(choice) = self.choose() else {
                return self.refuse("no_upstream", RETRY_AFTER);
            };
            if choice.expected_wait > self.route.objective.mul_f64(WAIT_PART) {
                return self.refuse("busy", choice.expected_wait);
            }
            let sent = self.state.clock.now();
            let left = self.until.saturating_sub(sent);
            self.begin(&choice, left);
            let outcome = attempt(self.state, &choice, self.request, left).await;
            if let Some(answer) = self.conclude(&choice, outcome, sent) {
                return answer;
            }
        }
    }

    fn choose(&self) -> Option<Choice> {
        let wanted = Wanted {
            service: self.service,
            object: self.object,
            has_large_body: self.route.execution == Execution::OnceWithLargeBody,
            home_regions: &self.route.home_regions,
            tried: &self.tried,
        };
        self.state.balancer.borrow_mut().choose(&wanted, self.state.clock.now())
    }

    fn begin(&mut self, choice: &Choice, left: Duration) {
        self.tried.push(choice.id.clone());
        self.attempts += 1;
        self.may_have_run = true;
        self.state.metrics.note_attempt(self.service);
        info!(
            target: REQUEST_TARGET,
            request = self.id,
            route = self.name,
            service = self.service,
            key = self.key,
            upstream = choice.id,
            attempt = self.attempts,
            left_ms = left.as_millis() as u64,
            body_bytes = self.request.head.framing.length(),
            config = self.state.config_version(),
            list_age_ms = self.state.list_age_ms(),
            "sent"
        );
    }

    /// Returns the answer, if the request goes to no further upstream.
    fn conclude(&mut self, choice: &Choice, outcome: Outcome, sent: Duration) -> Option<Answer> {
        match outcome {
            Outcome::Answered { answer, load } => {
                let now = self.state.clock.now();
                let mut balancer = self.state.balancer.borrow_mut();
                balancer.note_took(choice, now.saturating_sub(sent));
                if let Some(load) = load {
                    balancer.note_load(&choice.id, load, now);
                }
                self.note_demand(sent);
                Some(answer)
            }
            Outcome::NotSent(error) => {
                self.note_failure(choice, &error, "unreachable");
                self.may_have_run = false;
                self.attempts -= 1;
                self.unreachable += 1;
                let out = self.unreachable >= UNREACHABLE_MAX;
                out.then(|| self.refuse("unreachable", RETRY_AFTER))
            }
            Outcome::NotRun { status, load } => {
                self.may_have_run = false;
                if let Some(load) = load {
                    let now = self.state.clock.now();
                    self.state.balancer.borrow_mut().note_load(&choice.id, load, now);
                }
                let (upstream, load) = (&choice.id, load.map(|load| load.to_string()));
                info!(target: REQUEST_TARGET, request = self.id, upstream, status, load, "not run");
                let again = self.attempts < self.route.attempts_max && self.take_retry();
                (!again).then(|| self.refuse("shed", RETRY_AFTER))
            }
            Outcome::Unknown(error) => {
                self.note_failure(choice, &error, "broken off");
                let may_repeat =
                    self.route.execution.is_repeatable() && self.attempts < self.route.attempts_max;
                let again = may_repeat && self.take_retry();
                (!again).then(|| Answer::own(502, "broken_off"))
            }
        }
    }

    fn note_demand(&self, sent: Duration) {
        self.state.demand.borrow_mut().note(&AnsweredRequest {
            service: self.service,
            route: self.name,
            object: self.object,
            has_large_body: self.route.execution == Execution::OnceWithLargeBody,
            took: self.state.clock.now().saturating_sub(sent),
        });
    }

    fn take_retry(&self) -> bool {
        let taken = self.state.take_retry(self.service);
        if !taken {
            info!(target: REQUEST_TARGET, request = self.id, service = self.service, "retry budget spent");
        }
        taken
    }

    fn note_failure(&self, choice: &Choice, error: &io::Error, what: &'static str) {
        let now = self.state.clock.now();
        self.state.balancer.borrow_mut().note_failure(&choice.id, now);
        self.state.failed.notify_one();
        info!(target: REQUEST_TARGET, request = self.id, upstream = choice.id, %error, "{what}");
    }

    fn refuse(&self, reason: &'static str, retry_after: Duration) -> Answer {
        refuse(self.state, self.id, reason, retry_after)
    }

    fn note_outcome(&self, outcome: RequestOutcome) {
        self.state.metrics.note_request(self.service, self.route, outcome, self.took());
    }

    fn took(&self) -> Duration {
        self.state.clock.now().saturating_sub(self.request.arrived)
    }

    fn took_ms(&self) -> u64 {
        self.took().as_millis() as u64
    }
}

impl Drop for Exchange<'_> {
    fn drop(&mut self) {
        if !self.is_done {
            self.note_outcome(RequestOutcome::CallerLeft);
            let (upstream, took_ms) = (self.tried.last(), self.took_ms());
            info!(target: REQUEST_TARGET, request = self.id, upstream, took_ms, "caller left");
        }
    }
}

/// Refuses a request that has not run.
fn refuse(state: &EntryState, id: &str, reason: &'static str, retry_after: Duration) -> Answer {
    state.metrics.note_refused(reason);
    info!(
        target: REQUEST_TARGET,
        request = id,
        reason,
        retry_after_ms = retry_after.as_millis() as u64,
        config = state.config_version(),
        list_age_ms = state.list_age_ms(),
        "refused"
    );
    Answer::own(503, reason).with_retry_after(retry_after)
}
