//! Defines the error responses to callers and other instances.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use warp::{
    http::{HeaderValue, StatusCode, header},
    reply::{Reply, Response},
};

use super::headers::{OUTCOME, REFUSAL};

/// Represents the reason why a request has no response from an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(in crate::runtime) struct Problem {
    pub(super) status: StatusCode,
    /// A stable error code.
    pub(super) error: String,
    pub(super) outcome: RunOutcome,
    /// A human-readable description of the cause and the remedy.
    pub(super) message: String,
    pub(super) retry_after: Option<Duration>,
}

/// Represents whether an upstream ran the request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum RunOutcome {
    /// No upstream ran the request in this attempt: it was sent to none, or the
    /// upstream that received it shed it.
    NotRun,
    /// An upstream ran the request.
    Run,
    /// An upstream may have run the request.
    Unknown,
}

/// Represents the JSON body of an error response.
#[derive(Deserialize, Serialize)]
pub(super) struct ProblemBody {
    pub(super) error: String,
    pub(super) outcome: RunOutcome,
    pub(super) message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) retry_after_ms: Option<u64>,
}

impl Problem {
    pub(super) fn not_run(
        status: StatusCode,
        error: impl Into<String>,
        message: impl Into<String>,
    ) -> Self {
        let (error, message) = (error.into(), message.into());
        Self { status, error, outcome: RunOutcome::NotRun, message, retry_after: None }
    }

    pub(super) fn unknown(
        status: StatusCode,
        error: impl Into<String>,
        message: impl Into<String>,
    ) -> Self {
        Self { outcome: RunOutcome::Unknown, ..Self::not_run(status, error, message) }
    }

    pub(super) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    pub(super) fn no_lease() -> Self {
        let message = "this instance is cut off from control; use another one of the look-up";
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_lease", message)
    }

    pub(super) fn is_not_run(&self) -> bool {
        self.outcome == RunOutcome::NotRun
    }

    pub(in crate::runtime) fn into_response(self) -> Response {
        let body = ProblemBody {
            error: self.error,
            outcome: self.outcome,
            message: self.message,
            retry_after_ms: self.retry_after.map(|wait| wait.as_millis() as u64),
        };
        let mut response = warp::reply::json(&body).into_response();
        *response.status_mut() = self.status;
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_millis().div_ceil(1000).max(1) as u64;
            response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }

    /// Returns the response to another instance, with a header by which it tells this problem from
    /// an upstream's own response.
    pub(super) fn into_peer_response(self) -> Response {
        let name = if self.is_not_run() { REFUSAL } else { OUTCOME };
        let value = HeaderValue::from_str(&self.error)
            .unwrap_or_else(|_| HeaderValue::from_static("error"));
        let mut response = self.into_response();
        response.headers_mut().insert(name, value);
        response
    }
}
