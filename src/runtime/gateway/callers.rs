//! Answers callers' look-ups and requests, and requests that other instances
//! forward.

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
    answer::Incoming,
    attempt::HEAD_BYTES,
    body::CallerBody,
    call::{Arrived, Call},
    claim::{Claim, Claimed},
    headers::{PEER_CLASS, PEER_FINGERPRINT, PEER_KEY, PEER_REGION, text},
    offer::refused,
    problem::Problem,
};
use crate::{
    core::{
        admission::Offers,
        control::RequestClass,
        steering::{OwnerCandidate, rank_owners},
    },
    net::PeerAddr,
    runtime::operators::LookUpAnswer,
};

/// The most owners that a request is offered to.
const OFFERS_MAX: usize = 4;

/// Holds the parameters of a look-up.
#[derive(Deserialize)]
struct LookUpQuery {
    service: Option<String>,
    client: Option<String>,
}

/// Returns what callers can ask.
pub(in crate::runtime) fn caller_routes(
    gateway: Gateway,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone {
    let look_up = {
        let gateway = gateway.clone();
        warp::path!("lookup")
            .and(warp::get())
            .and(warp::query::<LookUpQuery>())
            .and(warp::ext::get::<PeerAddr>())
            .map(move |query, peer| gateway.answer_look_up(query, peer))
    };
    let health = warp::path!("health").and(warp::get()).map(|| warp::reply().into_response());
    let ready = {
        let gateway = gateway.clone();
        warp::path!("ready").and(warp::get()).map(move || gateway.answer_ready())
    };
    let request = {
        let gateway = gateway.clone();
        warp::path("services").and(arrived()).and(warp::body::stream()).then(
            move |arrived: Arrived, body| {
                let gateway = gateway.clone();
                async move { gateway.answer_caller(arrived, body).await }
            },
        )
    };
    look_up.or(health).unify().or(ready).unify().or(request).unify().recover(explain).unify()
}

/// Returns what other instances can ask.
pub(in crate::runtime) fn forward_routes(
    gateway: Gateway,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone {
    warp::path("forward")
        .and(arrived())
        .and(warp::body::stream())
        .then(move |arrived: Arrived, body| {
            let gateway = gateway.clone();
            async move { gateway.answer_peer(arrived, body).await }
        })
        .recover(explain)
        .unify()
}

/// Extracts the head of a request below `/<service>/`.
fn arrived() -> impl Filter<Extract = (Arrived,), Error = Rejection> + Clone {
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
            Arrived { service, method, path, headers }
        })
}

async fn explain(_: Rejection) -> Result<Response, Infallible> {
    let message = "use /lookup?service=…&client=… or /services/<service>/…";
    Ok(Problem::not_run(StatusCode::NOT_FOUND, "no_such_path", message).into_response())
}

impl Gateway {
    fn answer_ready(&self) -> Response {
        if self.shared.view.has_lease() {
            return warp::reply().into_response();
        }
        Problem::no_lease().into_response()
    }

    fn answer_look_up(&self, query: LookUpQuery, peer: PeerAddr) -> Response {
        let answer = self.look_up(query, peer);
        let outcome = match &answer {
            Ok(_) => "answered",
            Err(problem) => problem.error.as_str(),
        };
        self.shared.metrics.look_ups.with_label_values(&[outcome]).inc();
        match answer {
            Ok(answer) => warp::reply::json(&answer).into_response(),
            Err(problem) => problem.into_response(),
        }
    }

    fn look_up(
        &self,
        query: LookUpQuery,
        PeerAddr(peer): PeerAddr,
    ) -> Result<LookUpAnswer, Problem> {
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

    /// Answers a look-up for a client address.
    pub(in crate::runtime) fn look_up_address(
        &self,
        client: IpAddr,
    ) -> Result<LookUpAnswer, Problem> {
        let followed = self.shared.view.followed();
        let found = followed.steering.look_up(&followed.policy, client).map_err(|error| {
            let interval = followed.policy.preset_in_force().map(|preset| preset.shift.interval());
            Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "region_down", error.to_string())
                .with_retry_after(interval.unwrap_or(Duration::from_secs(1)))
        })?;
        Ok(LookUpAnswer::new(found, &self.shared.settings, followed.policy.claim_epoch))
    }

    async fn answer_caller<S, B>(&self, arrived: Arrived, body: S) -> Response
    where
        S: Stream<Item = Result<B, warp::Error>> + Send + 'static,
        B: Buf,
    {
        let service = arrived.service.clone();
        let begun = self.now();
        let understood = self.understand(arrived, |max| CallerBody::new(body, max));
        let answer = match understood {
            Ok(call) => self.run_to_end(call).await,
            Err(problem) => Err(problem),
        };
        self.count(&service, &answer, begun);
        answer.unwrap_or_else(Problem::into_response)
    }

    fn count(&self, service: &str, answer: &Result<Response, Problem>, begun: Duration) {
        let known = self.shared.settings.topology.services.contains_key(service);
        let service = if known { service } else { "unknown" };
        let outcome = match answer {
            Ok(_) => "answered",
            Err(problem) if problem.is_not_run() => "not_run",
            Err(_) => "unknown",
        };
        let metrics = &self.shared.metrics;
        if let Err(problem) = answer
            && problem.is_not_run()
        {
            metrics.refused.with_label_values(&[service, &problem.error]).inc();
        }
        metrics.requests.with_label_values(&[service, outcome]).inc();
        let took = self.now().saturating_sub(begun);
        metrics.latency.with_label_values(&[service]).observe(took.as_secs_f64());
    }

    /// Runs a request. One with a key runs on when its caller goes away, so
    /// that a resend finds its answer; any other one is cancelled.
    async fn run_to_end(&self, call: Call) -> Result<Response, Problem> {
        self.note_request(&call.service);
        if !self.shared.view.has_lease() {
            return Err(refused("no_lease"));
        }
        call.crashed(&self.shared.view.followed().policy)?;
        if call.is_idempotent() {
            return self.run_unclaimed(&call).await;
        }
        let gateway = self.clone();
        let run = tokio::spawn(async move { gateway.run_claimed(&call).await });
        run.await.unwrap_or_else(|_| {
            let message = "the request ended without an answer";
            Err(Problem::unknown(StatusCode::INTERNAL_SERVER_ERROR, "internal", message))
        })
    }

    async fn run_unclaimed(&self, call: &Call) -> Result<Response, Problem> {
        let first = self.run_offers(call).await;
        let repeat = matches!(&first, Err(problem) if problem.error == "broken")
            && call.body.is_whole()
            && self.may_retry(&call.service);
        let incoming = if repeat {
            self.shared.metrics.retries.with_label_values(&[call.service.as_str()]).inc();
            self.run_offers(call).await?
        } else {
            first?
        };
        incoming.hand_on(self, call, None, None)
    }

    async fn run_claimed(&self, call: &Call) -> Result<Response, Problem> {
        let Some(key) = &call.key else { return self.run_unclaimed(call).await };
        let claim = match self.claim(call, key).await {
            Claimed::Granted(claim) => claim,
            Claimed::Answer(answer) => return answer,
        };
        match self.run_offers(call).await {
            Ok(incoming) => self.hand_on_claimed(call, &claim, incoming).await,
            Err(problem) if problem.is_not_run() => {
                claim.withdraw_soon().await;
                Err(problem)
            }
            Err(problem) => {
                claim.finish(crate::core::claims::AttemptResult::Unknown).await;
                Err(problem)
            }
        }
    }

    async fn hand_on_claimed(
        &self,
        call: &Call,
        claim: &Claim,
        incoming: Incoming,
    ) -> Result<Response, Problem> {
        let recorder = claim.recorder(incoming.status(), &incoming.headers());
        let answer = incoming.hand_on(self, call, Some(recorder), None);
        if answer.is_err() {
            claim.finish(crate::core::claims::AttemptResult::Unknown).await;
        }
        answer
    }

    /// Offers a request to owners in turn until one runs it. A free slot of
    /// this instance's own comes first: its own count is exact and costs no
    /// hop. Where the request waits, if it has to, goes by the load reports.
    async fn run_offers(&self, call: &Call) -> Result<Incoming, Problem> {
        let owners = self.owners_for(call);
        let mut offers = Offers::default();
        if owners.iter().any(|owner| owner.holder == self.shared.me) {
            match self.run_here(call, false).await {
                Err(problem) if passes_on(&problem) => {
                    if problem.error == "shed" {
                        offers.note();
                    }
                }
                ended => return ended,
            }
        }
        let mut last = refused("no_upstream");
        for owner in owners.iter().take(OFFERS_MAX) {
            if !call.body.is_whole() || !self.may_offer_again(call, offers) {
                break;
            }
            if offers.made() > 0 {
                self.shared.metrics.retries.with_label_values(&[call.service.as_str()]).inc();
            }
            offers.note();
            let answer = if owner.holder == self.shared.me {
                self.run_here(call, true).await
            } else {
                self.run_through(call, owner).await
            };
            match answer {
                Err(problem) if passes_on(&problem) => last = problem,
                ended => return ended,
            }
        }
        Err(last)
    }

    fn may_offer_again(&self, call: &Call, offers: Offers) -> bool {
        let in_time = self.now() < call.deadline;
        in_time && (!offers.needs_retry() || self.may_retry(&call.service))
    }

    fn owners_for(&self, call: &Call) -> Vec<OwnerCandidate> {
        let followed = self.shared.view.followed();
        let sent: BTreeMap<_, _> =
            self.shared.forwarded.lock().unwrap_or_else(|error| error.into_inner()).clone();
        rank_owners(
            &self.shared.me,
            &followed.policy,
            &self.shared.settings.topology,
            &call.service,
            &self.shared.region,
            &self.shared.view.loads(),
            &sent,
        )
    }

    /// Runs a request that another instance forwards. That instance holds the
    /// claim and chooses again if this one refuses.
    async fn answer_peer<S, B>(&self, arrived: Arrived, body: S) -> Response
    where
        S: Stream<Item = Result<B, warp::Error>> + Send + 'static,
        B: Buf,
    {
        if !self.is_peer(&arrived.headers) {
            let message = "the cluster key is missing or wrong";
            let problem = Problem::not_run(StatusCode::UNAUTHORIZED, "cluster_key", message);
            return problem.into_peer_response();
        }
        let region = text(&arrived.headers, PEER_REGION.as_str()).unwrap_or_default().to_owned();
        let class = text(&arrived.headers, PEER_CLASS.as_str()).and_then(class_named);
        let fingerprint = text(&arrived.headers, PEER_FINGERPRINT.as_str()).map(str::to_owned);
        let understood = self.understand(arrived, |max| CallerBody::new(body, max));
        let answer = match understood {
            Ok(mut call) => {
                call.class = class.unwrap_or(call.class);
                call.fingerprint = fingerprint.unwrap_or(call.fingerprint);
                self.run_for_peer(&call, &region).await
            }
            Err(problem) => Err(problem),
        };
        answer.unwrap_or_else(Problem::into_peer_response)
    }

    async fn run_for_peer(&self, call: &Call, region: &String) -> Result<Response, Problem> {
        let meter = self.meter_to(region);
        if meter.as_ref().is_some_and(|meter| !meter.has_room(call.class)) {
            return Err(refused("link_full"));
        }
        let incoming = self.run_here(call, true).await?;
        if let Some(meter) = &meter {
            meter.pass(HEAD_BYTES).await;
        }
        incoming.hand_on(self, call, None, meter)
    }

    fn is_peer(&self, headers: &HeaderMap) -> bool {
        let shown = headers.get(PEER_KEY).map(|value| value.as_bytes()).unwrap_or_default();
        shown.ct_eq(self.shared.cluster_key.as_bytes()).into()
    }
}

/// Tells whether another owner may be offered a request.
fn passes_on(problem: &Problem) -> bool {
    problem.is_not_run() && problem.error != "crashes_upstreams"
}

fn class_named(name: &str) -> Option<RequestClass> {
    RequestClass::ALL.into_iter().find(|class| class.name() == name)
}
