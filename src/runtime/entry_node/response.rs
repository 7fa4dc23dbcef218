//! Holds and writes one answer to a caller.

use std::time::Duration;

use bytes::Bytes;
use http::header;
use serde_json::json;

use crate::net::http1::{HeadWriter, Headers};

/// Holds one answer to a caller.
#[derive(Debug)]
pub(super) struct Response {
    pub(super) status: u16,
    source: Source,
    body: Bytes,
    /// Whether the connection must not be used again.
    pub(super) closes: bool,
}

#[derive(Debug)]
enum Source {
    /// An upstream's answer, with its header fields.
    Upstream(Headers),
    /// The instance's own.
    Local { retry_after: Option<Duration> },
}

/// Header fields that concern one connection only.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Tells whether a header field must not be passed on.
pub(super) fn is_hop_by_hop(name: &str, headers: &Headers) -> bool {
    HOP_BY_HOP.iter().any(|listed| listed.eq_ignore_ascii_case(name))
        || name.eq_ignore_ascii_case("content-length")
        || headers.is_connection_option(name)
}

impl Response {
    /// Returns an upstream's answer.
    pub(super) fn from_upstream(status: u16, headers: Headers, body: Bytes) -> Self {
        Self { status, source: Source::Upstream(headers), body, closes: false }
    }

    /// Returns an answer of the instance's own.
    pub(super) fn local(status: u16, error: &str) -> Self {
        let body = json!({ "error": error }).to_string();
        Self {
            status,
            source: Source::Local { retry_after: None },
            body: body.into(),
            closes: false,
        }
    }

    /// Returns the answer with a time after which the caller should ask again.
    pub(super) fn with_retry_after(mut self, after: Duration) -> Self {
        self.source = Source::Local { retry_after: Some(after) };
        self
    }

    /// Tells whether the answer is the instance's own.
    pub(super) fn is_local(&self) -> bool {
        matches!(self.source, Source::Local { .. })
    }

    /// Returns the answer as the last one of its connection.
    pub(super) fn closing(mut self) -> Self {
        self.closes = true;
        self
    }

    /// Writes the answer to a request of the given method.
    pub(super) fn encode(&self, method: &str, request_id: Option<&str>) -> Bytes {
        let mut head = HeadWriter::with_status(self.status);
        match &self.source {
            Source::Upstream(headers) => {
                let passed = headers.iter().filter(|(name, _)| !is_hop_by_hop(name, headers));
                passed.for_each(|(name, value)| head.field(name, value));
            }
            Source::Local { retry_after } => {
                head.field(header::CONTENT_TYPE.as_str(), b"application/json");
                if let Some(id) = request_id {
                    head.field(crate::platform::headers::REQUEST_ID, id.as_bytes());
                }
                if let Some(after) = retry_after {
                    let seconds = format!("{:.2}", after.as_secs_f64());
                    head.field(header::RETRY_AFTER.as_str(), seconds.as_bytes());
                }
            }
        }
        if self.status != 204 && self.status != 304 {
            head.number(header::CONTENT_LENGTH.as_str(), self.body.len() as u64);
        }
        if self.closes {
            head.field(header::CONNECTION.as_str(), b"close");
        }
        if method == "HEAD" { head.finish() } else { head.finish_with(&self.body) }
    }
}
