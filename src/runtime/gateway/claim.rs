//! Claims the idempotency keys of non-idempotent requests and records their responses.

use std::time::Duration;

use bytes::Bytes;
use tracing::warn;
use warp::{
    http::{HeaderName, HeaderValue, StatusCode},
    reply::{Reply, Response},
};

use super::{
    Gateway,
    headers::REPLAYED,
    problem::{Problem, RunOutcome},
    request::CallerRequest,
};
use crate::core::{
    claims::{
        AttemptId, AttemptResult, ClaimCommand, ClaimKey, ClaimOutcome, HeaderPair,
        RecordedResponse,
    },
    control::{Command, Outcome},
};

/// The longest response body, in bytes, that is recorded for replay.
const RECORDED_BODY_MAX_BYTES: usize = 64 * 1024;
/// The time limit for claiming a key.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// The time limit for recording how an attempt ended, or for withdrawing its claim.
const FINISH_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest time that the response to a request that was not run is held back until its key is
/// free again.
const WITHDRAW_TIMEOUT: Duration = Duration::from_secs(2);
/// The `Retry-After` time for a key that another attempt holds.
const HELD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Represents the result of claiming a key.
pub(super) enum ClaimResult {
    /// This attempt may run the request, once.
    Granted(AttemptClaim),
    /// The request must not be sent; the value is the response of an earlier attempt, or the
    /// reason for the refusal.
    Response(Result<Response, Problem>),
}

/// Represents a claim of one attempt on a key.
#[derive(Clone)]
pub(super) struct AttemptClaim {
    gateway: Gateway,
    key: ClaimKey,
    fingerprint: String,
    attempt: AttemptId,
}

impl Gateway {
    /// Claims the key of a request.
    pub(super) async fn claim(&self, request: &CallerRequest, key: &ClaimKey) -> ClaimResult {
        let local_id = &self.shared.local_id;
        let claim = AttemptClaim {
            gateway: self.clone(),
            key: key.clone(),
            fingerprint: request.fingerprint.clone(),
            attempt: format!(
                "{}/{:x}/{}",
                local_id.instance,
                local_id.incarnation,
                self.next_ticket()
            ),
        };
        let started_at = self.now();
        let outcome = claim.begin(request.deadline.saturating_sub(started_at)).await;
        let elapsed = self.now().saturating_sub(started_at);
        self.shared.metrics.claim_time.observe(elapsed.as_secs_f64());
        self.shared.metrics.claims.with_label_values(&[outcome_label(&outcome)]).inc();
        match outcome {
            Some(ClaimOutcome::Granted) => ClaimResult::Granted(claim),
            Some(outcome) => ClaimResult::Response(response_to(outcome)),
            None => {
                // The claim may still be committed. Nothing was sent under it, so it is
                // withdrawn.
                claim.withdraw(FINISH_TIMEOUT);
                let message = "the key could not be claimed; send the request again with the \
                               same key";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                ClaimResult::Response(Err(Problem::not_run(status, "not_claimed", message)))
            }
        }
    }
}

impl AttemptClaim {
    async fn begin(&self, remaining: Duration) -> Option<ClaimOutcome> {
        let command = ClaimCommand::Begin {
            key: self.key.clone(),
            fingerprint: self.fingerprint.clone(),
            attempt: self.attempt.clone(),
        };
        self.submit(command, remaining.min(CLAIM_TIMEOUT)).await
    }

    async fn submit(&self, command: ClaimCommand, timeout: Duration) -> Option<ClaimOutcome> {
        let control = &self.gateway.shared.control;
        match control.submit(Command::Claim(command), timeout).await {
            Ok(Outcome::Claim(outcome)) => Some(outcome),
            _ => None,
        }
    }

    /// Withdraws the claim of a request that was not run. This happens in a task of its own, whose
    /// handle is returned.
    fn withdraw(&self, timeout: Duration) -> tokio::task::JoinHandle<()> {
        let claim = self.clone();
        tokio::spawn(async move {
            let command = ClaimCommand::Withdraw {
                key: claim.key.clone(),
                fingerprint: claim.fingerprint.clone(),
                attempt: claim.attempt.clone(),
            };
            claim.submit(command, timeout).await;
        })
    }

    /// Withdraws the claim and waits up to [`WITHDRAW_TIMEOUT`] for that to be committed.
    pub(super) async fn withdraw_and_wait(&self) {
        let withdrawal = self.withdraw(FINISH_TIMEOUT);
        tokio::time::timeout(WITHDRAW_TIMEOUT, withdrawal).await.ok();
    }

    /// Records how the attempt ended.
    pub(super) async fn finish(&self, result: AttemptResult) {
        let command = ClaimCommand::Finish {
            key: self.key.clone(),
            attempt: self.attempt.clone(),
            finished: result,
        };
        if self.submit(command, FINISH_TIMEOUT).await.is_none() {
            warn!(
                key = %self.key,
                "could not confirm within {FINISH_TIMEOUT:?} that the result of a request was \
                 recorded; unless it is recorded, further requests with this key get \
                 `in_progress` and are not run"
            );
        }
    }

    /// Returns a recorder for the response with the given head.
    pub(super) fn recorder(&self, status: StatusCode, headers: &warp::http::HeaderMap) -> Recorder {
        let pair = |(name, value): (&HeaderName, &HeaderValue)| HeaderPair {
            name: name.to_string(),
            value: value.as_bytes().to_vec(),
        };
        let headers = headers.iter().map(pair).collect();
        let response = RecordedResponse { status: status.as_u16(), headers, body: Vec::new() };
        Recorder { claim: self.clone(), response, is_too_long: false }
    }
}

/// Records a response for replay while it is relayed.
pub(super) struct Recorder {
    claim: AttemptClaim,
    response: RecordedResponse,
    is_too_long: bool,
}

impl Recorder {
    /// Adds a part of the body. A body longer than [`RECORDED_BODY_MAX_BYTES`] is dropped, and only
    /// the status is recorded.
    pub(super) fn add(&mut self, chunk: &Bytes) {
        if self.response.body.len() + chunk.len() > RECORDED_BODY_MAX_BYTES {
            self.is_too_long = true;
            self.response.body = Vec::new();
        }
        if !self.is_too_long {
            self.response.body.extend_from_slice(chunk);
        }
    }

    /// Records the response, or that the outcome is unknown if the response was not received
    /// to its end.
    pub(super) async fn finish(self, is_complete: bool) {
        let result = match (is_complete, self.is_too_long) {
            (false, _) => AttemptResult::Unknown,
            (true, true) => AttemptResult::AnsweredAtLength { status: self.response.status },
            (true, false) => AttemptResult::Answered(self.response),
        };
        self.claim.finish(result).await;
    }
}

fn outcome_label(outcome: &Option<ClaimOutcome>) -> &'static str {
    match outcome {
        None => "not_claimed",
        Some(ClaimOutcome::Granted) => "granted",
        Some(ClaimOutcome::Finished(AttemptResult::Unknown)) => "unknown",
        Some(ClaimOutcome::Finished(_)) => "replayed",
        Some(ClaimOutcome::Held) => "held",
        Some(ClaimOutcome::OtherRequest) => "other_request",
        Some(ClaimOutcome::Withdrawn) => "withdrawn",
        Some(ClaimOutcome::Expired) => "expired",
        Some(ClaimOutcome::NotIssued { .. }) => "not_issued",
        Some(ClaimOutcome::Full) => "full",
        Some(ClaimOutcome::Done) => "done",
    }
}

fn response_to(outcome: ClaimOutcome) -> Result<Response, Problem> {
    match outcome {
        ClaimOutcome::Finished(AttemptResult::Answered(recorded)) => Ok(replay(recorded)),
        ClaimOutcome::Finished(AttemptResult::AnsweredAtLength { status }) => {
            let message = format!(
                "the request ran and was answered with status {status}; the answer was too long \
                 to be kept"
            );
            let problem = Problem::unknown(StatusCode::CONFLICT, "answer_not_kept", message);
            Err(Problem { outcome: RunOutcome::Run, ..problem })
        }
        ClaimOutcome::Finished(AttemptResult::Unknown) => {
            let message = "an earlier attempt was sent and its answer lost; it is never sent \
                           again under this key. Find out from the service whether it ran";
            Err(Problem::unknown(StatusCode::CONFLICT, "outcome_unknown", message))
        }
        ClaimOutcome::Held => {
            let message = "another attempt holds this key and has not ended, or was lost; ask \
                           again later with the same key";
            let problem = Problem::unknown(StatusCode::CONFLICT, "in_progress", message);
            Err(problem.with_retry_after(HELD_RETRY_AFTER))
        }
        ClaimOutcome::Expired => {
            let message = "the key is older than what is kept, so whether it ran is unknown; it \
                           is not run";
            Err(Problem::unknown(StatusCode::GONE, "key_expired", message))
        }
        ClaimOutcome::OtherRequest => {
            let message = "the key was used for another request; choose a new one";
            Err(Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, "key_reused", message))
        }
        ClaimOutcome::NotIssued { epoch } => {
            let message = format!("the key's epoch has not begun; the current one is {epoch}");
            Err(Problem::not_run(StatusCode::BAD_REQUEST, "key_not_issued", message))
        }
        ClaimOutcome::Full => {
            let message = "too many keys are held; try again later with the same key";
            Err(Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "keys_full", message)
                .with_retry_after(Duration::from_secs(5)))
        }
        ClaimOutcome::Granted | ClaimOutcome::Withdrawn | ClaimOutcome::Done => {
            let message = "the key could not be claimed; send the request again";
            Err(Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_claimed", message))
        }
    }
}

fn replay(recorded: RecordedResponse) -> Response {
    let mut response = recorded.body.into_response();
    *response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    response.headers_mut().clear();
    for pair in recorded.headers {
        let name = HeaderName::from_bytes(pair.name.as_bytes());
        let value = HeaderValue::from_bytes(&pair.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
    response
}
