//! Parses the heads of requests and responses.

use std::{error::Error, fmt, ops::Range};

use bytes::{Bytes, BytesMut};
use http::{HeaderName, header};

use super::Framing;

/// Holds the header fields of one message, in the order received.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    raw: Bytes,
    fields: Vec<(Range<u32>, Range<u32>)>,
}

/// Holds the head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The target as sent, in origin form.
    pub target: String,
    /// Whether the caller speaks HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    /// The header fields.
    pub headers: Headers,
    /// How the body that follows is delimited.
    pub framing: Framing,
}

/// Holds the head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub headers: Headers,
    /// How the body that follows is delimited.
    pub framing: Framing,
    /// Whether the connection may carry another request after this response.
    pub keeps_alive: bool,
}

/// Says why a head was not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadError {
    /// The head is longer than allowed or has too many header fields.
    TooLarge,
    /// The bytes are no head of HTTP/1.x, or ambiguous about the body.
    Malformed(&'static str),
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("the head is too large"),
            Self::Malformed(what) => f.write_str(what),
        }
    }
}

impl Error for HeadError {}

/// The most header fields of one message.
const FIELDS_MAX: usize = 100;

impl Headers {
    /// Iterates over names and values.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(name, value)| {
            let name = std::str::from_utf8(self.slice(name)).unwrap_or_default();
            (name, self.slice(value))
        })
    }

    /// Iterates over the values of a name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.iter()
            .filter(move |(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the first value of a name.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter().find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Returns the first value of a name as text.
    pub fn get_str(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok().map(str::trim)
    }

    /// Tells whether a comma-separated header field holds a token.
    pub fn has_token(&self, name: &HeaderName, token: &str) -> bool {
        self.get_all(name.as_str())
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(token))
    }

    /// Tells whether the `Connection` header names a field as one that must
    /// not be passed on.
    pub fn is_connection_option(&self, name: &str) -> bool {
        self.has_token(&header::CONNECTION, name)
    }

    fn slice(&self, range: &Range<u32>) -> &[u8] {
        &self.raw[range.start as usize..range.end as usize]
    }
}

/// Takes a request head off the front of `buffer`, once it is there in full.
///
/// # Errors
///
/// Returns an error when the bytes can't become a head that is accepted.
pub fn parse_request_head(
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<RequestHead>, HeadError> {
    skip_empty_lines(buffer);
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut parsed = httparse::Request::new(&mut fields);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= max_bytes => length,
        Ok(httparse::Status::Partial) if buffer.len() <= max_bytes => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
        Err(_) => return Err(HeadError::Malformed("the bytes are no request head")),
    };
    let method = parsed.method.unwrap_or_default().to_owned();
    let target = parsed.path.unwrap_or_default().to_owned();
    let is_http11 = parsed.version == Some(1);
    // A parsed head borrows the buffer, so the ranges are found first.
    let raw = Bytes::copy_from_slice(&buffer[..length]);
    let headers = copy_fields(&buffer[..length], raw, parsed.headers);
    bytes::Buf::advance(buffer, length);
    let framing = request_framing(&headers)?;
    Ok(Some(RequestHead { method, target, is_http11, headers, framing }))
}

/// Takes a response head off the front of `buffer`, once it is there in full.
/// `method` is the method of the request that is answered.
///
/// # Errors
///
/// Returns an error when the bytes can't become a head that is accepted.
pub fn parse_response_head(
    buffer: &mut BytesMut,
    max_bytes: usize,
    method: &str,
) -> Result<Option<ResponseHead>, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut parsed = httparse::Response::new(&mut fields);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= max_bytes => length,
        Ok(httparse::Status::Partial) if buffer.len() <= max_bytes => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
        Err(_) => return Err(HeadError::Malformed("the bytes are no response head")),
    };
    let status = parsed.code.unwrap_or_default();
    let is_http11 = parsed.version == Some(1);
    let raw = Bytes::copy_from_slice(&buffer[..length]);
    let headers = copy_fields(&buffer[..length], raw, parsed.headers);
    bytes::Buf::advance(buffer, length);
    let framing = response_framing(&headers, status, method)?;
    let closes = headers.has_token(&header::CONNECTION, "close")
        || (!is_http11 && !headers.has_token(&header::CONNECTION, "keep-alive"))
        || framing == Framing::UntilClose;
    Ok(Some(ResponseHead { status, headers, framing, keeps_alive: !closes }))
}

/// Turns parsed fields that borrow `from` into fields that borrow a copy.
fn copy_fields(from: &[u8], raw: Bytes, parsed: &[httparse::Header<'_>]) -> Headers {
    let base = from.as_ptr() as usize;
    let range = |part: &[u8]| {
        let start = (part.as_ptr() as usize - base) as u32;
        start..start + part.len() as u32
    };
    let fields = parsed.iter().map(|f| (range(f.name.as_bytes()), range(f.value))).collect();
    Headers { raw, fields }
}

/// Drops empty lines before a request line, as RFC 9112 section 2.2 asks.
fn skip_empty_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        bytes::Buf::advance(buffer, 2);
    }
}

fn request_framing(headers: &Headers) -> Result<Framing, HeadError> {
    let chunked = is_chunked(headers)?;
    let length = content_length(headers)?;
    match (chunked, length) {
        (true, Some(_)) => Err(HeadError::Malformed("the body has two lengths")),
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
        (false, true, Some(_)) => Err(HeadError::Malformed("the body has two lengths")),
        (false, true, None) => Ok(Framing::Chunked),
        (false, false, Some(length)) => Ok(Framing::Length(length)),
        (false, false, None) => Ok(Framing::UntilClose),
    }
}

fn is_chunked(headers: &Headers) -> Result<bool, HeadError> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING.as_str());
    let Some(first) = codings.next() else { return Ok(false) };
    if codings.next().is_none() && first.trim_ascii().eq_ignore_ascii_case(b"chunked") {
        return Ok(true);
    }
    Err(HeadError::Malformed("the transfer encoding is not chunked alone"))
}

fn content_length(headers: &Headers) -> Result<Option<u64>, HeadError> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH.as_str());
    let Some(first) = lengths.next() else { return Ok(None) };
    let digits = first.trim_ascii();
    let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    let parsed = std::str::from_utf8(digits).ok().and_then(|text| text.parse().ok());
    if !is_number || lengths.any(|other| other.trim_ascii() != digits) {
        return Err(HeadError::Malformed("the content length is no single number"));
    }
    parsed.map(Some).ok_or(HeadError::Malformed("the content length is no single number"))
}
