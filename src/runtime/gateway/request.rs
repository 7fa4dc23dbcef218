//! Validates callers' requests.

use std::{collections::BTreeSet, time::Duration};

use sha2::{Digest, Sha256};
use warp::http::{HeaderMap, Method, StatusCode, header};

use super::{
    Gateway,
    body::CallerBody,
    headers::{DEADLINE, IDEMPOTENCY_KEY, header_str, header_u64},
    problem::Problem,
};
use crate::core::{
    claims::ClaimKey,
    control::{Fingerprint, Policy, RequestClass, Service, ServiceName, UpstreamName},
};

/// Represents one valid request of a caller.
#[derive(Clone)]
pub(super) struct CallerRequest {
    pub(super) service: ServiceName,
    pub(super) method: Method,
    /// The path below the service, including the query string.
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: CallerBody,
    pub(super) class: RequestClass,
    /// The time by which the caller needs the response, on this instance's clock.
    pub(super) deadline: Duration,
    /// The idempotency key; `Some` if and only if the method is not idempotent.
    pub(super) key: Option<ClaimKey>,
    pub(super) fingerprint: Fingerprint,
}

/// Holds the head of a request that is not validated yet.
pub(super) struct RequestHead {
    pub(super) service: ServiceName,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
}

/// A request is refused once this many upstreams have crashed while running it.
const CRASHES_MAX: usize = 2;
/// The longest path that is sent to upstreams.
const PATH_MAX_BYTES: usize = 8 * 1024;
/// The largest total size of header names and values that is sent to upstreams.
const HEADERS_MAX_BYTES: usize = 32 * 1024;
/// The largest number of headers that is sent to upstreams.
const HEADERS_MAX: usize = 100;

impl Gateway {
    /// Validates a request and returns it with its class, deadline and fingerprint.
    ///
    /// `make_body` is called only if the request has a body, with the largest size in bytes that
    /// the service accepts.
    ///
    /// # Errors
    ///
    /// Returns a [`Problem`] that names the invalid part of the request.
    pub(super) fn parse_request(
        &self,
        head: RequestHead,
        make_body: impl FnOnce(u64) -> CallerBody,
    ) -> Result<CallerRequest, Problem> {
        let RequestHead { service: name, method, path, headers } = head;
        let Some(service) = self.shared.settings.topology.services.get(&name) else {
            let message = format!("there is no service `{name}`; use one that the look-up knows");
            return Err(Problem::not_run(StatusCode::NOT_FOUND, "unknown_service", message));
        };
        check_head(&method, &path, &headers)?;
        check_length(&headers, service)?;
        let key = read_key(&method, &headers)?;
        let class = request_class(service, &method, &path);
        let requested_timeout = header_u64(&headers, DEADLINE.as_str()).map(Duration::from_millis);
        let timeout =
            requested_timeout.unwrap_or(service.request_timeout).min(service.request_timeout);
        let fingerprint = fingerprint_of(&name, &method, &path, &headers, key.as_ref());
        let has_body = headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING);
        let body = if has_body { make_body(service.body_max_bytes) } else { CallerBody::empty() };
        let deadline = self.now() + timeout;
        Ok(CallerRequest {
            service: name,
            method,
            path,
            headers,
            body,
            class,
            deadline,
            key,
            fingerprint,
        })
    }
}

impl CallerRequest {
    /// Returns whether the request may be sent again after it has been sent.
    pub(super) fn is_idempotent(&self) -> bool {
        self.key.is_none()
    }

    /// Returns the upstreams that crashed while running this request.
    ///
    /// # Errors
    ///
    /// Returns the problem to respond with if [`CRASHES_MAX`] or more upstreams crashed.
    pub(super) fn crashed_upstreams(
        &self,
        policy: &Policy,
    ) -> Result<BTreeSet<UpstreamName>, Problem> {
        let suspect = policy.suspects.get(&self.fingerprint);
        let crashed = suspect.map(|suspect| suspect.crashed.clone()).unwrap_or_default();
        if crashed.len() < CRASHES_MAX {
            return Ok(crashed);
        }
        let message = "upstreams crashed while they ran this request; it is not sent to another \
                       one. Change the request, or report it to whoever runs the service";
        let status = StatusCode::UNPROCESSABLE_ENTITY;
        Err(Problem::not_run(status, "crashes_upstreams", message))
    }
}

fn check_head(method: &Method, path: &str, headers: &HeaderMap) -> Result<(), Problem> {
    if method == Method::CONNECT || method == Method::TRACE {
        let message = format!("{method} is not passed on; use another method");
        return Err(Problem::not_run(StatusCode::METHOD_NOT_ALLOWED, "method", message));
    }
    if headers.contains_key(header::UPGRADE) {
        let message = "upgrades are not passed on; send the request without `Upgrade`";
        return Err(Problem::not_run(StatusCode::NOT_IMPLEMENTED, "upgrade", message));
    }
    let bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if bytes > HEADERS_MAX_BYTES || headers.len() > HEADERS_MAX {
        let message = format!(
            "there are {} headers of {bytes} bytes; send {HEADERS_MAX} of {HEADERS_MAX_BYTES} \
             at most",
            headers.len()
        );
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(Problem::not_run(status, "headers_too_large", message));
    }
    if path.len() > PATH_MAX_BYTES {
        let message = format!("the path has over {PATH_MAX_BYTES} bytes; shorten it");
        return Err(Problem::not_run(StatusCode::URI_TOO_LONG, "path_too_long", message));
    }
    Ok(())
}

fn check_length(headers: &HeaderMap, service: &Service) -> Result<(), Problem> {
    let Some(content_length) = headers.get(header::CONTENT_LENGTH) else { return Ok(()) };
    let length = content_length.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let Some(length) = length else {
        let message = "`Content-Length` is no whole number; send the body's length";
        return Err(Problem::not_run(StatusCode::BAD_REQUEST, "bad_length", message));
    };
    if length > service.body_max_bytes {
        let message =
            format!("the body has {length} bytes; the service takes {}", service.body_max_bytes);
        return Err(Problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message));
    }
    Ok(())
}

fn read_key(method: &Method, headers: &HeaderMap) -> Result<Option<ClaimKey>, Problem> {
    if method.is_idempotent() {
        return Ok(None);
    }
    let Some(key) = header_str(headers, IDEMPOTENCY_KEY) else {
        let message = "a request that is not idempotent needs an `Idempotency-Key`: the \
                       look-up's `key_epoch`, a dash, and a token of your own";
        return Err(Problem::not_run(StatusCode::BAD_REQUEST, "no_key", message));
    };
    match key.parse() {
        Ok(key) => Ok(Some(key)),
        Err(error) => {
            let message = format!("`Idempotency-Key`: {error}");
            Err(Problem::not_run(StatusCode::BAD_REQUEST, "bad_key", message))
        }
    }
}

/// Returns the class of the first configured route that matches, or else the method's default.
fn request_class(service: &Service, method: &Method, path: &str) -> RequestClass {
    let matching_route =
        service.request_classes.iter().find(|(prefix, _)| path.starts_with(prefix));
    let default = if method.is_safe() { RequestClass::Read } else { RequestClass::Booking };
    matching_route.map_or(default, |(_, class)| *class)
}

/// Returns a hash that identifies a request. The body is streamed and can't be hashed, so its
/// declared length is hashed instead.
fn fingerprint_of(
    service: &str,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    key: Option<&ClaimKey>,
) -> Fingerprint {
    let length = header_str(headers, header::CONTENT_LENGTH.as_str()).unwrap_or("");
    let key = key.map(ToString::to_string).unwrap_or_default();
    let mut digest = Sha256::new();
    for part in [service, method.as_str(), path, length, &key] {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part.as_bytes());
    }
    digest.finalize().iter().take(16).map(|byte| format!("{byte:02x}")).collect()
}
