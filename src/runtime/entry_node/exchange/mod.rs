//! Handles one request: routes it, chooses upstreams and decides on retries.

mod records;

use std::{io, rc::Rc, time::Duration};

use tracing::info;

use super::{
    attempt::{AttemptOutcome, attempt},
    hand_over::{HandOverOutcome, hand_over},
    links::record_unreachable,
    metrics::RequestOutcome,
    refusal::{
        RETRY_AFTER_CRASHES, RETRY_AFTER_DEFAULT, RETRY_AFTER_ELSEWHERE, refuse,
        refuse_without_configuration, reject_unrouted,
    },
    request::Request,
    response::Response,
    state::EntryState,
};
use crate::{
    core::{
        balance::{Choice, Requirements},
        control::ServiceName,
        placement::{ObjectId, object_id},
        routing::{Execution, Route},
        upstreams::UpstreamId,
    },
    net::relay::RelayTerms,
    platform::headers,
    runtime::logs::REQUEST_TARGET,
};

/// A request is refused if its expected wait exceeds this fraction of its
/// route's latency objective.
const WAIT_FRACTION_MAX: f64 = 0.6;
/// The number of unreachable upstreams after which a request is refused.
const UNREACHABLE_MAX: usize = 3;

/// Handles one request and returns the response, which an upstream or this instance
/// produced.
pub(super) async fn handle_request(state: &Rc<EntryState>, request: &Request) -> Response {
    let id = headers::request_id(&request.head.headers).unwrap_or_default();
    if !state.has_configuration() {
        return refuse_without_configuration(state, id);
    }
    if request.relay_terms.is_some_and(|terms| Some(terms.config_version) > state.config_version())
    {
        return refuse(state, id, "behind", RETRY_AFTER_DEFAULT);
    }
    let routes = state.routes.borrow().clone();
    let Some((name, route)) = routes.find(request.host(), request.path()) else {
        // A response of 404 is final for callers.
        if !state.is_config_newest() {
            return refuse(state, id, "stale_configuration", RETRY_AFTER_ELSEWHERE);
        }
        return reject_unrouted(state, request);
    };
    let Some(service) = route.destination.pick(rand::random()) else {
        return refuse(state, id, "no_service", RETRY_AFTER_DEFAULT);
    };
    // The retry budgets of all instances together depend on the number of requests, so a
    // request counts only where its caller sent it.
    if request.relay_terms.is_none() {
        state.record_request(service);
    }
    let attempts_max = request.relay_terms.map_or(u32::MAX, |terms| terms.attempts_max);
    let key = headers::affinity_key(&request.head.headers).unwrap_or(id);
    let mut exchange = Exchange {
        state,
        request,
        id,
        route_name: name,
        route,
        service,
        key,
        object: object_id(name, key),
        deadline: request.arrived_at.saturating_add(request.timeout().min(route.timeout)),
        attempts_max: attempts_max.min(route.attempts_max),
        tried: Vec::new(),
        attempts: 0,
        unreachable_count: 0,
        is_sent: false,
        may_have_run: false,
        no_peer_available: false,
        is_done: false,
    };
    exchange.run().await
}

/// The progress of one request.
struct Exchange<'a> {
    state: &'a Rc<EntryState>,
    request: &'a Request,
    id: &'a str,
    route_name: &'a str,
    route: &'a Route,
    service: &'a ServiceName,
    key: &'a str,
    object: ObjectId,
    /// When the response is due, by the instance's clock.
    deadline: Duration,
    /// The maximum number of upstreams that the request may be sent to.
    attempts_max: u32,
    tried: Vec<UpstreamId>,
    /// The number of upstreams that the request was sent to; an attempt whose
    /// connection failed is not counted.
    attempts: u32,
    /// The number of upstreams that could not be reached.
    unreachable_count: usize,
    /// Whether the attempt in progress may have sent the request.
    is_sent: bool,
    /// Whether the request may have run in an attempt that ended.
    may_have_run: bool,
    /// Whether no peer took the request over.
    no_peer_available: bool,
    /// Whether the request has ended; its outcome is then recorded.
    is_done: bool,
}

impl Exchange<'_> {
    async fn run(&mut self) -> Response {
        let state = self.state;
        let time_left = self.deadline.saturating_sub(state.clock.now());
        let response = tokio::select! {
            biased;
            result = tokio::time::timeout(time_left, self.try_upstreams()) => {
                result.unwrap_or_else(|_| self.end_at_deadline())
            }
            () = state.stop_ends() => self.end_for_stop(),
        };
        self.is_done = true;
        self.record_outcome(RequestOutcome::new(response.status, response.is_local()));
        let source = if response.is_local() { "instance" } else { "upstream" };
        info!(
            target: REQUEST_TARGET,
            request = self.id,
            status = response.status,
            source,
            upstream = self.tried.last(),
            attempts = self.attempts,
            took_ms = self.elapsed_ms(),
            "answered"
        );
        response
    }

    async fn try_upstreams(&mut self) -> Response {
        loop {
            if self.state.clock.now() >= self.deadline {
                return self.end_at_deadline();
            }
            if self.state.has_crashed_upstreams(self.request) {
                return self.refuse("crashes_upstreams", RETRY_AFTER_CRASHES);
            }
            if !self.state.can_complete(self.expected_end()) {
                return self.end_for_stop();
            }
            if self.state.links.are_lost(self.service) && !self.no_peer_available {
                if self.request.relay_terms.is_some() {
                    return self.refuse("unreachable", RETRY_AFTER_DEFAULT);
                }
                if let Some(response) = self.hand_over().await {
                    return response;
                }
            }
            let Some(choice) = self.choose() else {
                let response = self.hand_over().await;
                return response.unwrap_or_else(|| match self.pause_left() {
                    Some(left) => self.refuse("paused", left),
                    None => self.refuse("no_upstream", RETRY_AFTER_DEFAULT),
                });
            };
            if choice.expected_wait > self.route.objective.mul_f64(WAIT_FRACTION_MAX) {
                return self.refuse("busy", choice.expected_wait);
            }
            let sent_at = self.state.clock.now();
            let time_left = self.deadline.saturating_sub(sent_at);
            self.begin_attempt(&choice, time_left);
            let outcome = attempt(self.state, &choice, self.request, self.deadline).await;
            if let Some(response) = self.handle_outcome(&choice, outcome, sent_at) {
                return response;
            }
            // Links that no peer has either may be upstreams that crashed, of which some are left.
            let unreachable_max = if self.no_peer_available { 1 } else { UNREACHABLE_MAX };
            if self.unreachable_count >= unreachable_max {
                let response = self.hand_over().await;
                return response.unwrap_or_else(|| self.refuse("unreachable", RETRY_AFTER_DEFAULT));
            }
        }
    }

    /// Hands the request over to a peer if upstreams can't be reached from here. Returns
    /// `None` if it was not handed over, and has not run.
    async fn hand_over(&mut self) -> Option<Response> {
        let is_from_peer = self.request.relay_terms.is_some();
        let attempts_left = self.attempts_max.saturating_sub(self.attempts);
        let may_be_reached =
            self.state.links.are_lost(self.service) || self.has_unresponsive_upstream();
        if is_from_peer || attempts_left == 0 || !may_be_reached || self.no_peer_available {
            return None;
        }
        if self.attempts > 0 && !self.try_take_retry() {
            return None;
        }
        let terms = RelayTerms {
            attempts_max: attempts_left,
            config_version: self.state.config_version()?,
            fingerprint: self.request.fingerprint(),
        };
        let (state, request) = (self.state, self.request);
        self.is_sent = true;
        match hand_over(state, request, terms, &self.route.home_regions, self.deadline).await {
            HandOverOutcome::Responded(response) => Some(response),
            HandOverOutcome::Refused { retry_after } => {
                Some(self.refuse("peer_refused", retry_after))
            }
            HandOverOutcome::Unknown => Some(Response::local(502, "broken_off")),
            HandOverOutcome::NoPeer => {
                self.no_peer_available = true;
                self.is_sent = false;
                None
            }
        }
    }

    fn choose(&self) -> Option<Choice> {
        let now = self.state.clock.now();
        self.state.balancer.borrow_mut().choose(&self.requirements(), now)
    }

    /// Returns whether an upstream that the request could use may be out of reach from here only.
    fn has_unresponsive_upstream(&self) -> bool {
        self.state.balancer.borrow().has_unresponsive(&self.requirements())
    }

    fn requirements(&self) -> Requirements<'_> {
        Requirements {
            service: self.service,
            object: self.object,
            has_large_body: self.route.execution == Execution::OnceWithLargeBody,
            home_regions: &self.route.home_regions,
            tried: &self.tried,
        }
    }

    /// Returns when the caller may send the request again if upstreams want no requests now.
    fn pause_left(&self) -> Option<Duration> {
        let now = self.state.clock.now();
        let left = self.state.balancer.borrow().pause_left(&self.requirements(), now)?;
        let left = if left.is_zero() { RETRY_AFTER_DEFAULT } else { left };
        Some(left.min(self.deadline.saturating_sub(now)))
    }

    fn begin_attempt(&mut self, choice: &Choice, time_left: Duration) {
        self.tried.push(choice.id.clone());
        self.attempts += 1;
        self.is_sent = true;
        self.state.metrics.record_attempt(self.service);
        info!(
            target: REQUEST_TARGET,
            request = self.id,
            route = self.route_name,
            service = self.service,
            key = self.key,
            upstream = choice.id,
            cold_shared_by = choice.is_cold.then(|| self.state.entry_count()),
            attempt = self.attempts,
            passed_over = choice.passed_over.as_ref().map(|passed_over| passed_over.id.as_str()),
            obstacle = choice.passed_over.as_ref().map(|passed_over| passed_over.obstacle.name()),
            left_ms = time_left.as_millis() as u64,
            body_bytes = self.request.head.framing.length(),
            config = self.state.config_version(),
            list_age_ms = self.state.list_age_ms(),
            "sent"
        );
    }

    /// Returns the response, or `None` if another upstream is to be tried.
    fn handle_outcome(
        &mut self,
        choice: &Choice,
        outcome: AttemptOutcome,
        sent_at: Duration,
    ) -> Option<Response> {
        self.is_sent = false;
        match outcome {
            AttemptOutcome::Responded { response, load } => {
                let now = self.state.clock.now();
                let mut balancer = self.state.balancer.borrow_mut();
                self.state.links.record_response(self.service, now);
                balancer.record_completed(choice, sent_at, now);
                if let Some(load) = load {
                    balancer.record_load(&choice.id, load, now);
                }
                self.record_demand(sent_at);
                Some(response)
            }
            AttemptOutcome::NotSent(failure) => {
                self.record_failure(choice, &failure, "unreachable");
                self.attempts -= 1;
                self.unreachable_count += usize::from(!failure.may_be_connection_limit);
                None
            }
            AttemptOutcome::LeftService => {
                self.attempts -= 1;
                let upstream = &choice.id;
                info!(target: REQUEST_TARGET, request = self.id, upstream, "left service");
                None
            }
            AttemptOutcome::NotRun { status, load, connection } => {
                let now = self.state.clock.now();
                self.state.links.record_response(self.service, now);
                if let Some(load) = load {
                    self.state.balancer.borrow_mut().record_load(&choice.id, load, now);
                }
                let (upstream, load) = (&choice.id, load.map(|load| load.to_string()));
                info!(
                    target: REQUEST_TARGET,
                    request = self.id,
                    upstream,
                    status,
                    load,
                    local_port = connection.local_port,
                    carried = connection.carried,
                    "not run"
                );
                let will_retry = self.attempts < self.attempts_max && self.try_take_retry();
                let retry_after = self.pause_left().unwrap_or(RETRY_AFTER_DEFAULT);
                (!will_retry).then(|| self.refuse("shed", retry_after))
            }
            AttemptOutcome::Unknown(failure) => {
                self.may_have_run = true;
                self.record_failure(choice, &failure, "broken off");
                if !failure.may_be_connection_limit {
                    self.record_broken_off(choice);
                    if failure.error.kind() == io::ErrorKind::TimedOut {
                        record_unreachable(self.state, choice, &failure.error, sent_at);
                    }
                }
                let may_repeat =
                    self.route.execution.is_repeatable() && self.attempts < self.attempts_max;
                let will_retry = may_repeat && self.try_take_retry();
                (!will_retry).then(|| Response::local(502, "broken_off"))
            }
        }
    }

    /// Returns when the request will probably have ended if it is sent now, or certainly if it
    /// can't be repeated.
    fn expected_end(&self) -> Duration {
        if !self.route.execution.is_repeatable() {
            return self.deadline;
        }
        self.deadline.min(self.state.clock.now().saturating_add(self.route.objective))
    }

    /// Ends the request because its time is over.
    fn end_at_deadline(&self) -> Response {
        if self.is_sent || self.may_have_run {
            return Response::local(504, "timeout");
        }
        self.refuse("timeout", RETRY_AFTER_DEFAULT)
    }

    /// Ends the request because the process is about to exit.
    fn end_for_stop(&self) -> Response {
        if self.is_sent || self.may_have_run {
            info!(target: REQUEST_TARGET, request = self.id, "ended by the stop");
            return Response::local(504, "stopping");
        }
        self.refuse("stopping", RETRY_AFTER_ELSEWHERE)
    }

    /// Ends the request without a further attempt. It is refused, unless an earlier attempt may
    /// have run it.
    fn refuse(&self, reason: &'static str, retry_after: Duration) -> Response {
        if self.may_have_run {
            info!(target: REQUEST_TARGET, request = self.id, reason, "not repeated");
            return Response::local(502, "broken_off");
        }
        refuse(self.state, self.id, reason, retry_after)
    }

    fn elapsed(&self) -> Duration {
        self.state.clock.now().saturating_sub(self.request.arrived_at)
    }

    fn elapsed_ms(&self) -> u64 {
        self.elapsed().as_millis() as u64
    }
}
