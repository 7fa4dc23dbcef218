//! Parses the heads of requests and responses.

use std::{
    collections::BTreeSet,
    error::Error,
    fmt,
    ops::{Range, RangeInclusive},
};

use bytes::{Bytes, BytesMut};
use http::{HeaderName, header};

use super::Framing;

/// Represents the header fields of one message, in the order received.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    raw: Bytes,
    fields: Vec<(Range<u32>, Range<u32>)>,
}

/// Represents the head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The request target in origin form. A target of another form that can't be converted
    /// is kept as it was sent.
    pub target: String,
    /// The host and port of a target that was sent in absolute form. They replace the `Host`
    /// field.
    pub authority: Option<String>,
    /// Whether the request uses HTTP/1.1 rather than HTTP/1.0.
    pub is_http11: bool,
    /// The header fields.
    pub headers: Headers,
    /// How the body that follows is delimited.
    pub framing: Framing,
}

/// Represents the head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub headers: Headers,
    /// How the body that follows is delimited.
    pub framing: Framing,
    /// Whether the connection may be reused after this response.
    pub keeps_alive: bool,
    /// Whether the head contains a status line besides its own, as two heads do that are read as
    /// one because the first was cut off. The connection is not reused then: on a connection that
    /// has carried another response, such a head can't be told from a sound one.
    pub holds_status_line: bool,
}

/// Represents the reason why a head was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadError {
    /// The head is longer than allowed, or a response has too many header fields.
    TooLarge,
    /// The bytes are not a valid HTTP/1.x head, or the framing of the body is
    /// ambiguous.
    Malformed(&'static str),
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => {
                f.write_str("the head is longer than allowed or has too many header fields")
            }
            Self::Malformed(what) => f.write_str(what),
        }
    }
}

impl Error for HeadError {}

/// The maximum number of header fields of a response, and the number of fields of a
/// request that are parsed without an allocation.
const FIELDS_MAX: usize = 100;
/// The statuses that responses may have.
const STATUSES: RangeInclusive<u16> = 100..=599;
const SWITCHING_PROTOCOLS: u16 = 101;
/// The number of digits of a status.
const STATUS_DIGITS: usize = 3;
/// The size of the shortest header field: a name of one byte, a colon and a line feed.
const FIELD_MIN_BYTES: usize = 3;

impl Headers {
    /// Returns an iterator over names and values.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(name, value)| {
            let name = std::str::from_utf8(self.slice(name)).unwrap_or_default();
            (name, self.slice(value))
        })
    }

    /// Returns an iterator over the values of all fields with a name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.iter()
            .filter(move |(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the value of the first field with a name.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter().find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Returns the value of the first field with a name as trimmed text, or `None` if
    /// it is not UTF-8.
    pub fn get_str(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok().map(str::trim)
    }

    /// Returns whether a comma-separated header field contains a token.
    pub fn has_token(&self, name: &HeaderName, token: &str) -> bool {
        self.get_all(name.as_str())
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(token))
    }

    /// Returns the options in the `Connection` header in lower case. Fields with these names
    /// must not be forwarded.
    pub fn connection_options(&self) -> BTreeSet<String> {
        self.get_all(header::CONNECTION.as_str())
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .map(|option| option.trim().to_ascii_lowercase())
            .collect()
    }

    /// Returns how much memory the fields take, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.raw.len() + self.fields.capacity() * size_of::<(Range<u32>, Range<u32>)>()
    }

    fn slice(&self, range: &Range<u32>) -> &[u8] {
        &self.raw[range.start as usize..range.end as usize]
    }
}

impl RequestHead {
    /// Returns the host that the request is addressed to, or an empty string if it names none.
    pub fn host(&self) -> &str {
        let authority = self.authority.as_deref();
        authority.or_else(|| self.headers.get_str("host")).unwrap_or_default()
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        let target = self.target.as_str();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    /// Returns how much memory the head takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.headers.memory_bytes() + self.target.capacity()
    }
}

/// Parses a request head and removes it from the front of `buffer`. Returns `None` if
/// the head is incomplete.
///
/// # Errors
///
/// Returns an error if the head is malformed or is longer than `max_bytes`.
pub fn parse_request_head(
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<RequestHead>, HeadError> {
    skip_empty_lines(buffer);
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut more_fields = Vec::new();
    let mut request = httparse::Request::new(&mut fields);
    let mut result = request.parse(buffer);
    if result == Err(httparse::Error::TooManyHeaders) {
        let fields_max = buffer.len().min(max_bytes) / FIELD_MIN_BYTES;
        more_fields.resize(fields_max, httparse::EMPTY_HEADER);
        request = httparse::Request::new(&mut more_fields);
        result = request.parse(buffer);
    }
    let length = match result {
        Ok(httparse::Status::Complete(length)) if length <= max_bytes => length,
        Ok(httparse::Status::Partial) if buffer.len() <= max_bytes => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
        Err(_) => return Err(HeadError::Malformed("not a valid HTTP/1.x request head")),
    };
    let method = request.method.unwrap_or_default().to_owned();
    let (target, authority) = to_origin_form(request.path.unwrap_or_default());
    let is_http11 = request.version == Some(1);
    // The parsed fields borrow the buffer, so they are copied before it is advanced.
    let raw = Bytes::copy_from_slice(&buffer[..length]);
    let headers = copy_fields(&buffer[..length], raw, request.headers);
    bytes::Buf::advance(buffer, length);
    let framing = request_framing(&headers)?;
    Ok(Some(RequestHead { method, target, authority, is_http11, headers, framing }))
}

/// Parses a response head and removes it from the front of `buffer`. Returns `None` if
/// the head is incomplete. `method` is the method of the request.
///
/// # Errors
///
/// Returns an error if the head is malformed, is longer than `max_bytes` or has
/// too many header fields.
pub fn parse_response_head(
    buffer: &mut BytesMut,
    max_bytes: usize,
    method: &str,
) -> Result<Option<ResponseHead>, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut response = httparse::Response::new(&mut fields);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= max_bytes => length,
        Ok(httparse::Status::Partial) if buffer.len() <= max_bytes => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
        Err(_) => return Err(HeadError::Malformed("not a valid HTTP/1.x response head")),
    };
    let status = response.code.unwrap_or_default();
    // After 101, the connection would speak another protocol, which is never asked for.
    if !STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
        return Err(HeadError::Malformed("a status that no response may have"));
    }
    let is_http11 = response.version == Some(1);
    let raw = Bytes::copy_from_slice(&buffer[..length]);
    let headers = copy_fields(&buffer[..length], raw, response.headers);
    bytes::Buf::advance(buffer, length);
    let framing = response_framing(&headers, status, method)?;
    let closes = headers.has_token(&header::CONNECTION, "close")
        || (!is_http11 && !headers.has_token(&header::CONNECTION, "keep-alive"))
        || framing == Framing::UntilClose;
    let holds_status_line = contains_status_line(&headers.raw.trim_ascii_start()[1..]);
    let closes = closes || holds_status_line;
    Ok(Some(ResponseHead { status, headers, framing, keeps_alive: !closes, holds_status_line }))
}

/// Returns whether a status line begins anywhere in `bytes`.
fn contains_status_line(bytes: &[u8]) -> bool {
    let is_start = |bytes: &[u8]| {
        let [b'H', b'T', b'T', b'P', b'/', major, b'.', minor, b' ', status @ ..] = bytes else {
            return false;
        };
        let digits = status.iter().take_while(|byte| byte.is_ascii_digit()).count();
        major.is_ascii_digit() && minor.is_ascii_digit() && digits == STATUS_DIGITS
    };
    (0..bytes.len()).any(|start| is_start(&bytes[start..]))
}

/// Converts parsed fields, which are slices of `source`, to ranges in its copy `raw`.
fn copy_fields(source: &[u8], raw: Bytes, parsed: &[httparse::Header<'_>]) -> Headers {
    let base = source.as_ptr() as usize;
    let range = |part: &[u8]| {
        let start = (part.as_ptr() as usize - base) as u32;
        start..start + part.len() as u32
    };
    let fields =
        parsed.iter().map(|field| (range(field.name.as_bytes()), range(field.value))).collect();
    Headers { raw, fields }
}

/// Splits a target in absolute form into its origin form and its authority. Other targets
/// are returned as they are, and so are those with another scheme or with user information.
fn to_origin_form(target: &str) -> (String, Option<String>) {
    let rest = match target.split_once("://") {
        Some((scheme, rest)) if scheme.eq_ignore_ascii_case("http") => rest,
        _ => return (target.to_owned(), None),
    };
    let (authority, path) = rest.split_at(rest.find(['/', '?']).unwrap_or(rest.len()));
    if authority.is_empty() || authority.contains('@') {
        return (target.to_owned(), None);
    }
    let slash = if path.starts_with('/') { "" } else { "/" };
    (format!("{slash}{path}"), Some(authority.to_owned()))
}

/// Skips empty lines before a request line, as RFC 9112 section 2.2 recommends.
fn skip_empty_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        bytes::Buf::advance(buffer, 2);
    }
}

fn request_framing(headers: &Headers) -> Result<Framing, HeadError> {
    let chunked = is_chunked(headers)?;
    let length = content_length(headers)?;
    match (chunked, length) {
        (true, Some(_)) => {
            Err(HeadError::Malformed("both a transfer encoding and a content length are present"))
        }
        (true, None) => Ok(Framing::Chunked),
        (false, length) => Ok(Framing::Length(length.unwrap_or(0))),
    }
}

fn response_framing(headers: &Headers, status: u16, method: &str) -> Result<Framing, HeadError> {
    let chunked = is_chunked(headers)?;
    let length = content_length(headers)?;
    let bodiless = method == "HEAD" || status < 200 || status == 204 || status == 304;
    match (bodiless, chunked, length) {
        (true, ..) => Ok(Framing::Length(0)),
        (false, true, Some(_)) => {
            Err(HeadError::Malformed("both a transfer encoding and a content length are present"))
        }
        (false, true, None) => Ok(Framing::Chunked),
        (false, false, Some(length)) => Ok(Framing::Length(length)),
        (false, false, None) => Ok(Framing::UntilClose),
    }
}

/// Returns whether the body is chunked. Any other transfer coding is rejected.
fn is_chunked(headers: &Headers) -> Result<bool, HeadError> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING.as_str());
    let Some(first) = codings.next() else { return Ok(false) };
    if codings.next().is_none() && first.trim_ascii().eq_ignore_ascii_case(b"chunked") {
        return Ok(true);
    }
    Err(HeadError::Malformed("the transfer encoding must be chunked and nothing else"))
}

/// Returns the content length. Repeated fields must have the same value.
fn content_length(headers: &Headers) -> Result<Option<u64>, HeadError> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH.as_str());
    let Some(first) = lengths.next() else { return Ok(None) };
    let digits = first.trim_ascii();
    let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    let length = std::str::from_utf8(digits).ok().and_then(|text| text.parse().ok());
    if !is_number || lengths.any(|other| other.trim_ascii() != digits) {
        return Err(HeadError::Malformed("the content length is not a single number"));
    }
    length.map(Some).ok_or(HeadError::Malformed("the content length is not a single number"))
}
