//! Serves callers' look-ups and requests, and the requests that other instances forward.

use std::{collections::BTreeMap, convert::Infallible, net::IpAddr, time::Duration};

use bytes::Buf;
use futures_util::Stream;
use serde::Deserialize;
use subtle::ConstantTimeEq;
use warp::{
    Filter, Rejection,
    filters::path::Tail,
    http::{HeaderMap, Method, StatusCode},
    reply::{Reply, Response},
};

use super::{
    Gateway,
    attempt::ASSUMED_HEAD_BYTES,
    body::CallerBody,
    claim::{AttemptClaim, ClaimResult},
    headers::{PEER_CLASS, PEER_FINGERPRINT, PEER_KEY, PEER_REGION, header_str},
    problem::Problem,
    request::{CallerRequest, RequestHead},
    response::UpstreamResponse,
    slot::refusal,
};
use crate::{
    core::{
        admission::OfferCount,
        control::RequestClass,
        steering::{OwnerCandidate, rank_owners},
    },
    net::PeerAddr,
    runtime::admin_api::LookUpResponse,
};

/// The largest number of owners that one request is offered to, besides the first try of a free
/// local slot.
const OFFERS_MAX: usize = 4;

/// Holds the query parameters of a look-up.
#[derive(Deserialize)]
struct LookUpQuery {
    service: Option<String>,
    client: Option<String>,
}

/// Returns the routes for callers.
pub(in crate::runtime) fn caller_routes(
    gateway: Gateway,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone {
    let look_up = {
        let gateway = gateway.clone();
        warp::path!("lookup")
            .and(warp::get())
            .and(warp::query::<LookUpQuery>())
            .and(warp::ext::get::<PeerAddr>())
            .map(move |query, peer| gateway.handle_look_up(query, peer))
    };
    let health = warp::path!("health").and(warp::get()).map(|| warp::reply().into_response());
    let ready = {
        let gateway = gateway.clone();
        warp::path!("ready").and(warp::get()).map(move || gateway.handle_ready())
    };
    let request = {
        let gateway = gateway.clone();
        warp::path("services").and(request_head()).and(warp::body::stream()).then(
            move |head: RequestHead, body| {
                let gateway = gateway.clone();
                async move { gateway.handle_caller(head, body).await }
            },
        )
    };
    look_up
        .or(health)
        .unify()
        .or(ready)
        .unify()
        .or(request)
        .unify()
        .recover(handle_rejection)
        .unify()
}

/// Returns the routes for other instances.
pub(in crate::runtime) fn forward_routes(
    gateway: Gateway,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone {
    warp::path("forward")
        .and(request_head())
        .and(warp::body::stream())
        .then(move |head: RequestHead, body| {
            let gateway = gateway.clone();
            async move { gateway.handle_peer(head, body).await }
        })
        .recover(handle_rejection)
        .unify()
}

/// Extracts the head of a request below `/<service>/`.
fn request_head() -> impl Filter<Extract = (RequestHead,), Error = Rejection> + Clone {
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    warp::path::param::<String>()
        .and(warp::path::tail())
        .and(query)
        .and(warp::method())
        .and(warp::header::headers_cloned())
        .map(|service, tail: Tail, query: String, method: Method, headers: HeaderMap| {
            let path = match query.as_str() {
                "" => format!("/{}", tail.as_str()),
                query => format!("/{}?{query}", tail.as_str()),
            };
            RequestHead { service, method, path, headers }
        })
}

async fn handle_rejection(_: Rejection) -> Result<Response, Infallible> {
    let message = "use /lookup?service=…&client=… or /services/<service>/…";
    Ok(Problem::not_run(StatusCode::NOT_FOUND, "no_such_path", message).into_response())
}

impl Gateway {
    fn handle_ready(&self) -> Response {
        if self.shared.view.has_lease() {
            return warp::reply().into_response();
        }
        Problem::no_lease().into_response()
    }

    fn handle_look_up(&self, query: LookUpQuery, peer: PeerAddr) -> Response {
        let result = self.look_up(query, peer);
        let outcome = match &result {
            Ok(_) => "answered",
            Err(problem) => problem.error.as_str(),
        };
        self.shared.metrics.look_ups.with_label_values(&[outcome]).inc();
        match result {
            Ok(response) => warp::reply::json(&response).into_response(),
            Err(problem) => problem.into_response(),
        }
    }

    fn look_up(
        &self,
        query: LookUpQuery,
        PeerAddr(peer): PeerAddr,
    ) -> Result<LookUpResponse, Problem> {
        let client = match &query.client {
            Some(text) => text.parse::<IpAddr>().map_err(|_| {
                let message = format!("`client` is `{text}`; give an IP address");
                Problem::not_run(StatusCode::BAD_REQUEST, "bad_client", message)
            })?,
            None => peer.ip(),
        };
        let services = &self.shared.settings.topology.services;
        if let Some(name) = query.service.as_ref().filter(|name| !services.contains_key(*name)) {
            let message = format!("there is no service `{name}`");
            return Err(Problem::not_run(StatusCode::NOT_FOUND, "unknown_service", message));
        }
        if !self.shared.view.has_lease() {
            return Err(Problem::no_lease());
        }
        self.look_up_address(client)
    }

    /// Returns the instances that a client address should use.
    ///
    /// # Errors
    ///
    /// Returns a problem if no region can serve the client.
    pub(in crate::runtime) fn look_up_address(
        &self,
        client: IpAddr,
    ) -> Result<LookUpResponse, Problem> {
        let current = self.shared.view.current();
        let look_up_result =
            current.steering.look_up(&current.policy, client).map_err(|error| {
                let interval =
                    current.policy.preset_in_force().map(|preset| preset.shift.interval());
                Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "region_down", error.to_string())
                    .with_retry_after(interval.unwrap_or(Duration::from_secs(1)))
            })?;
        Ok(LookUpResponse::new(look_up_result, &self.shared.settings, current.policy.claim_epoch))
    }

    async fn handle_caller<S, B>(&self, head: RequestHead, body: S) -> Response
    where
        S: Stream<Item = Result<B, warp::Error>> + Send + 'static,
        B: Buf,
    {
        let service = head.service.clone();
        let started_at = self.now();
        let parse_result = self.parse_request(head, |max| CallerBody::new(body, max));
        let result = match parse_result {
            Ok(request) => {
                let body = request.body.clone();
                let result = self.run_request(request).await;
                if result.is_err() {
                    tokio::spawn(async move { body.discard().await });
                }
                result
            }
            Err(problem) => Err(problem),
        };
        self.record_outcome(&service, &result, started_at);
        result.unwrap_or_else(Problem::into_response)
    }

    fn record_outcome(
        &self,
        service: &str,
        result: &Result<Response, Problem>,
        started_at: Duration,
    ) {
        let is_known = self.shared.settings.topology.services.contains_key(service);
        let service = if is_known { service } else { "unknown" };
        let outcome = match result {
            Ok(_) => "answered",
            Err(problem) if problem.is_not_run() => "not_run",
            Err(_) => "unknown",
        };
        let metrics = &self.shared.metrics;
        if let Err(problem) = result
            && problem.is_not_run()
        {
            metrics.refused.with_label_values(&[service, &problem.error]).inc();
        }
        metrics.requests.with_label_values(&[service, outcome]).inc();
        let elapsed = self.now().saturating_sub(started_at);
        metrics.latency.with_label_values(&[service]).observe(elapsed.as_secs_f64());
    }

    /// Runs a request. If the caller disconnects, a request with a key runs to completion, so that
    /// a retry gets the recorded response; any other request is cancelled.
    async fn run_request(&self, request: CallerRequest) -> Result<Response, Problem> {
        self.record_request(&request.service);
        if !self.shared.view.has_lease() {
            return Err(refusal("no_lease"));
        }
        request.crashed_upstreams(&self.shared.view.current().policy)?;
        if request.is_idempotent() {
            return self.run_unclaimed(&request).await;
        }
        let gateway = self.clone();
        let run = tokio::spawn(async move { gateway.run_claimed(&request).await });
        run.await.unwrap_or_else(|_| {
            let message = "the request ended without an answer";
            Err(Problem::unknown(StatusCode::INTERNAL_SERVER_ERROR, "internal", message))
        })
    }

    /// Runs a request without a claim. If the connection broke before a response began and none of
    /// the body was read, it is offered once more, within the retry budget.
    async fn run_unclaimed(&self, request: &CallerRequest) -> Result<Response, Problem> {
        let first_result = self.offer_to_owners(request).await;
        let may_retry = matches!(&first_result, Err(problem) if problem.error == "broken")
            && request.body.is_unread()
            && self.try_take_retry(&request.service);
        let response = if may_retry {
            self.shared.metrics.retries.with_label_values(&[request.service.as_str()]).inc();
            self.offer_to_owners(request).await?
        } else {
            first_result?
        };
        response.relay(self, request, None, None).await
    }

    /// Runs a request under a claim on its key.
    async fn run_claimed(&self, request: &CallerRequest) -> Result<Response, Problem> {
        let Some(key) = &request.key else { return self.run_unclaimed(request).await };
        let claim = match self.claim(request, key).await {
            ClaimResult::Granted(claim) => claim,
            ClaimResult::Response(response) => return response,
        };
        match self.offer_to_owners(request).await {
            Ok(response) => self.relay_recorded(request, &claim, response).await,
            Err(problem) if problem.is_not_run() => {
                claim.withdraw_and_wait().await;
                Err(problem)
            }
            Err(problem) => {
                claim.finish(crate::core::claims::AttemptResult::Unknown).await;
                Err(problem)
            }
        }
    }

    async fn relay_recorded(
        &self,
        request: &CallerRequest,
        claim: &AttemptClaim,
        response: UpstreamResponse,
    ) -> Result<Response, Problem> {
        let recorder = claim.recorder(response.status(), &response.headers());
        let result = response.relay(self, request, Some(recorder), None).await;
        if result.is_err() {
            claim.finish(crate::core::claims::AttemptResult::Unknown).await;
        }
        result
    }

    /// Offers a request to one owner after another until one runs it. A free local slot is tried
    /// first, because the local count is exact and needs no network hop. If no local slot is free,
    /// the load reports decide at which owner the request may queue.
    async fn offer_to_owners(&self, request: &CallerRequest) -> Result<UpstreamResponse, Problem> {
        let owners = self.owners_for(request);
        let mut offers = OfferCount::default();
        if owners.iter().any(|owner| owner.holder == self.shared.local_id) {
            match self.run_locally(request, false).await {
                Err(problem) if may_try_next_owner(&problem) => {
                    if problem.error == "shed" {
                        offers.record();
                    }
                }
                result => return result,
            }
        }
        let mut last_refusal = refusal("no_upstream");
        for owner in owners.iter().take(OFFERS_MAX) {
            if !request.body.is_unread() || !self.permit_offer(request, offers) {
                break;
            }
            if offers.count() > 0 {
                self.shared.metrics.retries.with_label_values(&[request.service.as_str()]).inc();
            }
            offers.record();
            let result = if owner.holder == self.shared.local_id {
                self.run_locally(request, true).await
            } else {
                self.forward_to(request, owner).await
            };
            match result {
                Err(problem) if may_try_next_owner(&problem) => last_refusal = problem,
                result => return result,
            }
        }
        Err(last_refusal)
    }

    /// Returns whether one more offer may be made, taking a retry from the budget if it needs one.
    fn permit_offer(&self, request: &CallerRequest, offers: OfferCount) -> bool {
        let is_before_deadline = self.now() < request.deadline;
        is_before_deadline && (!offers.needs_retry() || self.try_take_retry(&request.service))
    }

    fn owners_for(&self, request: &CallerRequest) -> Vec<OwnerCandidate> {
        let current = self.shared.view.current();
        let forwarded: BTreeMap<_, _> =
            self.shared.forwarded.lock().unwrap_or_else(|error| error.into_inner()).clone();
        rank_owners(
            &self.shared.local_id,
            &current.policy,
            &self.shared.settings.topology,
            &request.service,
            &self.shared.region,
            &self.shared.view.loads(),
            &forwarded,
        )
    }

    /// Runs a request that another instance forwarded. That instance holds the claim, and chooses
    /// another owner if this one refuses.
    async fn handle_peer<S, B>(&self, head: RequestHead, body: S) -> Response
    where
        S: Stream<Item = Result<B, warp::Error>> + Send + 'static,
        B: Buf,
    {
        if !self.is_peer(&head.headers) {
            let message = "the cluster key is missing or wrong";
            let problem = Problem::not_run(StatusCode::UNAUTHORIZED, "cluster_key", message);
            return problem.into_peer_response();
        }
        let requester_region =
            header_str(&head.headers, PEER_REGION.as_str()).unwrap_or_default().to_owned();
        let class = header_str(&head.headers, PEER_CLASS.as_str()).and_then(class_by_name);
        let fingerprint = header_str(&head.headers, PEER_FINGERPRINT.as_str()).map(str::to_owned);
        let parse_result = self.parse_request(head, |max| CallerBody::new(body, max));
        let result = match parse_result {
            Ok(mut request) => {
                request.class = class.unwrap_or(request.class);
                request.fingerprint = fingerprint.unwrap_or(request.fingerprint);
                self.run_for_peer(&request, &requester_region).await
            }
            Err(problem) => Err(problem),
        };
        result.unwrap_or_else(Problem::into_peer_response)
    }

    async fn run_for_peer(
        &self,
        request: &CallerRequest,
        requester_region: &String,
    ) -> Result<Response, Problem> {
        let limiter = self.link_limiter(requester_region);
        if limiter.as_ref().is_some_and(|limiter| !limiter.has_capacity(request.class)) {
            return Err(refusal("link_full"));
        }
        let response = self.run_locally(request, true).await?;
        if let Some(limiter) = &limiter {
            limiter.acquire(ASSUMED_HEAD_BYTES).await;
        }
        response.relay(self, request, None, limiter).await
    }

    fn is_peer(&self, headers: &HeaderMap) -> bool {
        let presented_key = headers.get(PEER_KEY).map(|value| value.as_bytes()).unwrap_or_default();
        presented_key.ct_eq(self.shared.cluster_key.as_bytes()).into()
    }
}

/// Returns whether a request with this problem may be offered to another owner.
fn may_try_next_owner(problem: &Problem) -> bool {
    problem.is_not_run() && problem.error != "crashes_upstreams"
}

fn class_by_name(name: &str) -> Option<RequestClass> {
    RequestClass::ALL.into_iter().find(|class| class.name() == name)
}
