//! Responses to callers.

use std::{collections::BTreeSet, time::Duration};

use http::header;
use serde_json::json;

use crate::net::{
    held_bytes::Body,
    http1::{HeadWriter, Headers, Message},
    relay::{Refusal, is_relay_field},
};

/// A response that an upstream sent or that this instance produced.
#[derive(Debug)]
pub(super) struct Response {
    pub(super) status: u16,
    source: Source,
    body: Body,
    /// Whether the connection is closed after this response.
    pub(super) closes_connection: bool,
}

#[derive(Debug)]
enum Source {
    /// An upstream, with the header fields that it sent.
    Upstream(Headers),
    /// This instance.
    Local { error: String, retry_after: Option<Duration> },
}

/// Header fields that concern one connection only and must not be forwarded.
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

/// Returns whether a header field is removed when a message is forwarded,
/// because it concerns one connection only, is used between instances only, or declares
/// the length of the body, which the forwarded message does again.
///
/// `connection_options` are those of the message.
pub(super) fn is_stripped(name: &str, connection_options: &BTreeSet<String>) -> bool {
    HOP_BY_HOP.iter().any(|field| field.eq_ignore_ascii_case(name))
        || name.eq_ignore_ascii_case("content-length")
        || is_relay_field(name)
        || connection_options.contains(&name.to_ascii_lowercase())
}

impl Response {
    /// Creates a response that forwards the response of an upstream.
    pub(super) fn from_upstream(status: u16, headers: Headers, body: Body) -> Self {
        Self { status, source: Source::Upstream(headers), body, closes_connection: false }
    }

    /// Creates a response that this instance produces, with the error in a JSON body.
    pub(super) fn local(status: u16, error: &str) -> Self {
        let body = json!({ "error": error }).to_string();
        Self {
            status,
            source: Source::Local { error: error.to_owned(), retry_after: None },
            body: body.into(),
            closes_connection: false,
        }
    }

    /// Adds a `Retry-After` field to a local response.
    pub(super) fn with_retry_after(mut self, delay: Duration) -> Self {
        if let Source::Local { retry_after, .. } = &mut self.source {
            *retry_after = Some(delay);
        }
        self
    }

    /// Returns whether this instance produced the response.
    pub(super) fn is_local(&self) -> bool {
        matches!(self.source, Source::Local { .. })
    }

    /// Makes this the last response on its connection.
    pub(super) fn with_connection_close(mut self) -> Self {
        self.closes_connection = true;
        self
    }

    /// Encodes the response to a request with the given method. Local responses
    /// include the request's id.
    pub(super) fn encode(&self, method: &str, request_id: Option<&str>) -> Message {
        self.encode_with(method, request_id, |_| {})
    }

    /// Encodes the response to a request that a peer handed over. A refusal says so.
    pub(super) fn encode_for_peer(&self, method: &str, request_id: Option<&str>) -> Message {
        self.encode_with(method, request_id, |head| {
            if let Source::Local { error, retry_after: Some(delay) } = &self.source {
                Refusal { reason: error.clone(), retry_after: *delay }.write(head);
            }
        })
    }

    fn encode_with(
        &self,
        method: &str,
        request_id: Option<&str>,
        write_fields: impl FnOnce(&mut HeadWriter),
    ) -> Message {
        let mut head = HeadWriter::with_status(self.status);
        write_fields(&mut head);
        match &self.source {
            Source::Upstream(headers) => {
                let options = headers.connection_options();
                let forwarded_fields =
                    headers.iter().filter(|(name, _)| !is_stripped(name, &options));
                forwarded_fields.for_each(|(name, value)| head.field(name, value));
            }
            Source::Local { retry_after, .. } => {
                head.field(header::CONTENT_TYPE.as_str(), b"application/json");
                if let Some(id) = request_id {
                    head.field(crate::platform::headers::REQUEST_ID, id.as_bytes());
                }
                if let Some(delay) = retry_after {
                    let seconds = format!("{:.2}", delay.as_secs_f64());
                    head.field(header::RETRY_AFTER.as_str(), seconds.as_bytes());
                }
            }
        }
        if self.status != 204 && self.status != 304 {
            head.number(header::CONTENT_LENGTH.as_str(), self.body.len() as u64);
        }
        if self.closes_connection {
            head.field(header::CONNECTION.as_str(), b"close");
        }
        if method == "HEAD" { head.finish_with(&[]) } else { head.finish_with(self.body.pieces()) }
    }
}
