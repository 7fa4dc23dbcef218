//! Defines the headers that instances read, add and strip.

use warp::http::{HeaderMap, HeaderName, HeaderValue, header};

/// The idempotency key of a non-idempotent request.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The time in milliseconds that is left for the response.
pub(super) const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Marks a recorded response of an earlier attempt.
pub(super) const REPLAYED: HeaderName = HeaderName::from_static("x-bulrushspan-replayed");
/// The cluster key of a forwarded request, which authenticates the instance.
pub(super) const PEER_KEY: HeaderName = HeaderName::from_static("x-bulrushspan-key");
/// The region that a forwarded request comes from.
pub(super) const PEER_REGION: HeaderName = HeaderName::from_static("x-bulrushspan-region");
/// The class of a forwarded request.
pub(super) const PEER_CLASS: HeaderName = HeaderName::from_static("x-bulrushspan-class");
/// The fingerprint of a forwarded request.
pub(super) const PEER_FINGERPRINT: HeaderName =
    HeaderName::from_static("x-bulrushspan-fingerprint");
/// The reason why a forwarded request was not run.
pub(super) const REFUSAL: HeaderName = HeaderName::from_static("x-bulrushspan-refusal");
/// The reason why the outcome of a forwarded request is unknown.
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("x-bulrushspan-outcome");

/// The prefix of headers that only instances send each other; such headers are not forwarded
/// from callers or upstreams.
const INTERNAL_PREFIX: &str = "x-bulrushspan-";

const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Returns the headers to forward: all except hop-by-hop headers, those that the `Connection`
/// header names, and those with [`INTERNAL_PREFIX`].
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_dropped = HOP_BY_HOP.contains(name)
            || connection_headers
                .iter()
                .any(|connection_header| connection_header == name.as_str())
            || name.as_str().starts_with(INTERNAL_PREFIX);
        if !is_dropped {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Returns a header's value if it is ASCII text.
pub(super) fn header_str<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns a header's value if it is an unsigned integer.
pub(super) fn header_u64(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_str(headers, name)?.trim().parse().ok()
}

/// Returns `text` as a header value, or an empty value if it has invalid characters.
pub(super) fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}
