//! Sends a request once: to an upstream that this instance owns, or through another instance.

use std::time::Duration;

use tracing::debug;
use warp::http::{HeaderMap, StatusCode, header};

use super::{
    Gateway,
    headers::{
        DEADLINE, OUTCOME, PEER_CLASS, PEER_FINGERPRINT, PEER_KEY, PEER_REGION, REFUSAL,
        end_to_end, header_u64, header_value,
    },
    links::LinkLimiter,
    problem::{Problem, ProblemBody},
    request::CallerRequest,
    response::UpstreamResponse,
    slot::{SlotGuard, refusal},
};
use crate::core::{
    admission::Finish,
    control::{Command, InstanceName, Outcome, RegionName, UpstreamName},
    steering::OwnerCandidate,
};

/// The time limit for committing a crash report, and also the time limit for the report to
/// be in force on all instances. The caller gets its response only after that.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(5);
/// The size in bytes that a link is charged for the head of any request or response.
pub(super) const ASSUMED_HEAD_BYTES: u64 = 512;

/// The first status that no response may have.
const STATUS_END: u16 = 600;

impl Gateway {
    /// Sends a request to an upstream that this instance owns. `may_wait` allows it to queue for a
    /// slot.
    ///
    /// # Errors
    ///
    /// Returns a problem if no upstream began a response, or if one shed a request that may be
    /// sent to another upstream.
    pub(super) async fn run_locally(
        &self,
        request: &CallerRequest,
        may_wait: bool,
    ) -> Result<UpstreamResponse, Problem> {
        let (slot, upstream) = self.acquire_slot(request, may_wait).await?;
        let topology = &self.shared.settings.topology;
        let Some((service, upstream_config)) = topology.upstream(&upstream) else {
            return Err(refusal("no_upstream"));
        };
        let url = format!("http://{}{}", upstream_config.address, request.path);
        let mut headers = end_to_end(&request.headers);
        headers.remove(header::HOST);
        let shed_means_not_run = service.shed_means_not_run;
        // Responses bear no id: on a kept connection, a late response to an earlier request could be
        // taken for that to this one.
        let client = match request.is_idempotent() {
            true => &self.shared.http,
            false => &self.shared.http_without_reuse,
        };
        let upstream_request = self.build_request(client, request, url, headers, None);
        let result = upstream_request.send().await;
        match result {
            Ok(response) => {
                self.accept_response(request, slot, upstream, response, shed_means_not_run)
            }
            Err(error) => Err(self.handle_send_error(request, slot, upstream, &error).await),
        }
    }

    fn accept_response(
        &self,
        request: &CallerRequest,
        mut slot: SlotGuard,
        upstream: UpstreamName,
        response: reqwest::Response,
        shed_means_not_run: bool,
    ) -> Result<UpstreamResponse, Problem> {
        if response.status().as_u16() >= STATUS_END {
            slot.set_finish(Finish::Broken);
            let message = "the upstream's answer has a status that does not exist";
            return Err(Problem::unknown(StatusCode::BAD_GATEWAY, "broken", message));
        }
        let is_shed = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        if is_shed {
            let seconds = header_u64(response.headers(), header::RETRY_AFTER.as_str());
            let retry_after = seconds.map(Duration::from_secs);
            slot.set_finish(Finish::Shed { retry_after });
            if request.is_idempotent() || (shed_means_not_run && retry_after.is_some()) {
                let problem = refusal("shed");
                return Err(match retry_after {
                    Some(wait) => problem.with_retry_after(wait),
                    None => problem,
                });
            }
        }
        Ok(UpstreamResponse::local(response, slot, upstream, !is_shed))
    }

    async fn handle_send_error(
        &self,
        request: &CallerRequest,
        mut slot: SlotGuard,
        upstream: UpstreamName,
        error: &reqwest::Error,
    ) -> Problem {
        debug!(%upstream, %error, "sending the request to the upstream failed");
        if error.is_connect() {
            slot.set_finish(Finish::NotConnected);
            return refusal("unreachable");
        }
        if error.is_timeout() {
            let message = "the upstream did not answer before the deadline";
            return Problem::unknown(StatusCode::GATEWAY_TIMEOUT, "deadline", message);
        }
        slot.set_finish(Finish::Broken);
        drop(slot);
        self.report_crash(request, upstream).await;
        let message = "the upstream broke the connection before it answered";
        Problem::unknown(StatusCode::BAD_GATEWAY, "broken", message)
    }

    /// Reports that an upstream closed the connection while running a request, before the caller
    /// learns of it and may send the request again to another upstream.
    pub(super) async fn report_crash(&self, request: &CallerRequest, upstream: UpstreamName) {
        let command = Command::Suspect {
            fingerprint: request.fingerprint.clone(),
            upstream: upstream.clone(),
            at_unix_ms: self.shared.clock.unix_ms(),
        };
        let submit_result = self.shared.control.submit(command, SUSPECT_TIMEOUT).await;
        if let Ok(Outcome::Suspected { version }) = submit_result {
            // An instance that does not know of the crash could send the request to a third
            // upstream.
            self.shared.control.wait_in_force(version, SUSPECT_TIMEOUT).await;
        }
    }

    /// Forwards a request to another instance that owns upstreams of the service.
    ///
    /// # Errors
    ///
    /// Returns a problem if the instance refused the request or no response began.
    pub(super) async fn forward_to(
        &self,
        request: &CallerRequest,
        owner: &OwnerCandidate,
    ) -> Result<UpstreamResponse, Problem> {
        let limiter = self.link_limiter(&owner.region);
        if limiter.as_ref().is_some_and(|limiter| !limiter.has_capacity(request.class)) {
            return Err(refusal("link_full"));
        }
        let Some(peer) = self.shared.settings.instances.get(&owner.holder.instance) else {
            return Err(refusal("unreachable"));
        };
        if let Some(limiter) = &limiter {
            limiter.acquire(ASSUMED_HEAD_BYTES).await;
        }
        let url =
            format!("http://{}/forward/{}{}", peer.forward_address, request.service, request.path);
        let headers = self.peer_headers(request);
        let _guard = self.count_forwarded(&owner.holder.instance);
        let result =
            self.build_request(&self.shared.http, request, url, headers, limiter).send().await;
        match result {
            Ok(response) if response.headers().contains_key(REFUSAL) => {
                Err(self.read_refusal(request, response).await)
            }
            Ok(response) if response.headers().contains_key(OUTCOME) => {
                Err(read_unknown_outcome(response).await)
            }
            Ok(response) => Ok(UpstreamResponse::forwarded(response)),
            Err(error) if error.is_connect() => Err(refusal("unreachable")),
            Err(error) if error.is_timeout() => {
                let message = "no answer came before the deadline";
                Err(Problem::unknown(StatusCode::GATEWAY_TIMEOUT, "deadline", message))
            }
            Err(error) => {
                debug!(
                    owner = %owner.holder.instance,
                    %error,
                    "forwarding the request to the owner failed; its outcome is unknown"
                );
                let message = "the connection broke before an answer came";
                Err(Problem::unknown(StatusCode::BAD_GATEWAY, "broken", message))
            }
        }
    }

    fn peer_headers(&self, request: &CallerRequest) -> HeaderMap {
        let mut headers = end_to_end(&request.headers);
        headers.remove(header::HOST);
        headers.insert(PEER_KEY, header_value(&self.shared.cluster_key));
        headers.insert(PEER_REGION, header_value(&self.shared.region));
        headers.insert(PEER_CLASS, header_value(request.class.name()));
        headers.insert(PEER_FINGERPRINT, header_value(&request.fingerprint));
        headers
    }

    /// Returns the problem in the response of an instance that refused the request.
    async fn read_refusal(&self, request: &CallerRequest, response: reqwest::Response) -> Problem {
        let body: Option<ProblemBody> = response.json().await.ok();
        let reason = body.as_ref().map_or("refused", |body| body.error.as_str());
        if reason == "crashes_upstreams" {
            let policy = &self.shared.view.current().policy;
            return request.crashed_upstreams(policy).err().unwrap_or_else(|| refusal(reason));
        }
        let problem = refusal(reason);
        match body.and_then(|body| body.retry_after_ms) {
            Some(wait) => problem.with_retry_after(Duration::from_millis(wait)),
            None => problem,
        }
    }

    fn build_request(
        &self,
        client: &reqwest::Client,
        request: &CallerRequest,
        url: String,
        headers: HeaderMap,
        limiter: Option<LinkLimiter>,
    ) -> reqwest::RequestBuilder {
        let remaining = request.deadline.saturating_sub(self.now());
        let mut builder = client
            .request(request.method.clone(), url)
            .headers(headers)
            .header(DEADLINE, remaining.as_millis() as u64)
            .timeout(remaining);
        if let Some(body) = request.body.to_request_body(limiter) {
            builder = builder.body(body);
        }
        builder
    }

    /// Returns the limiter of the link to a region, or `None` for the local region or a link
    /// without a limit.
    pub(super) fn link_limiter(&self, region: &RegionName) -> Option<LinkLimiter> {
        if *region == self.shared.region {
            return None;
        }
        let counter = self.shared.metrics.link_bytes.with_label_values(&[region.as_str()]);
        self.shared.link_limiters.limiter(region, self.shared.clock, counter)
    }

    /// Counts a request as forwarded to an instance until the guard is dropped: when its response
    /// begins or the forwarding fails.
    fn count_forwarded(&self, instance: &InstanceName) -> ForwardedGuard {
        let mut forwarded = self.shared.forwarded.lock().unwrap_or_else(|error| error.into_inner());
        *forwarded.entry(instance.clone()).or_insert(0) += 1;
        ForwardedGuard { gateway: self.clone(), instance: instance.clone() }
    }
}

/// Decrements the count of requests forwarded to an instance when dropped.
struct ForwardedGuard {
    gateway: Gateway,
    instance: InstanceName,
}

impl Drop for ForwardedGuard {
    fn drop(&mut self) {
        let forwarded = &self.gateway.shared.forwarded;
        let mut forwarded = forwarded.lock().unwrap_or_else(|error| error.into_inner());
        if let Some(count) = forwarded.get_mut(&self.instance) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Returns the problem in the response of an instance that does not know whether the request ran.
async fn read_unknown_outcome(response: reqwest::Response) -> Problem {
    let status = response.status();
    let body: Option<ProblemBody> = response.json().await.ok();
    let (error, message) = body.map_or_else(
        || ("broken".to_owned(), "the outcome is unknown".to_owned()),
        |body| (body.error, body.message),
    );
    Problem::unknown(status, error, message)
}
