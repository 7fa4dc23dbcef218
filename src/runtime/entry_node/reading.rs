//! Reads responses from connections to upstreams and peers.

use std::io;

use tokio::io::AsyncReadExt;

use super::{pool::UpstreamConnection, request::Request};
use crate::{
    core::MessageKind,
    net::{
        held_bytes::{Body, BodyBuffer, HeldBytes, SharedBudget},
        http1::{BodyReader, ResponseHead, parse_response_head},
    },
    platform::headers,
};

/// The maximum size of an upstream's response head.
const HEAD_MAX_BYTES: usize = 64 * 1024;
/// How much room is made for what is read of a head at once.
const HEAD_READ_BYTES: usize = 1024;
/// How much room is made for what is read of a body at once.
const BODY_READ_BYTES: usize = 16 * 1024;
/// The maximum number of responses that are skipped before the one to the request:
/// interim ones, and late ones to earlier requests.
const SKIPPED_MAX: usize = 16;

/// The error of a head that may consist of a part of an earlier response and the response's own.
const JOINED_HEADS: &str = "a second status line in the head of a response on a kept connection";

/// Reads the response to a request. Interim responses (1xx) and responses that
/// have the id of another request are skipped, up to [`SKIPPED_MAX`] of them; `on_skipped` gets
/// the head of each of the latter, and the local port of the connection.
///
/// A response without an id is an error, unless it is the first on its connection: it may be
/// a late one to an earlier request. So is a head that contains another status line: it may begin
/// with a part of an earlier response.
pub(super) async fn read_response(
    connection: &mut UpstreamConnection,
    request: &Request,
    limits: BodyLimits<'_>,
    on_head: impl FnOnce(&ResponseHead),
    on_skipped: impl Fn(&ResponseHead, u16),
) -> io::Result<(ResponseHead, Body)> {
    let mut is_first = !connection.is_reused;
    for _ in 0..=SKIPPED_MAX {
        let head = read_head(connection, &request.head.method, limits.memory).await?;
        if head.holds_status_line && !is_first {
            return Err(io::Error::other(JOINED_HEADS));
        }
        if head.status < 200 {
            continue;
        }
        let has_id = headers::request_id(&head.headers).is_some();
        let is_unambiguous = is_first && (!has_id || request.id().is_none());
        if is_unambiguous || request.is_named_by(&head) {
            on_head(&head);
            let body = read_body(connection, &head, limits).await?;
            return Ok((head, body));
        }
        on_skipped(&head, connection.local_port());
        read_body(connection, &head, limits).await?;
        if !has_id {
            return Err(io::Error::other("a response without an id on a kept connection"));
        }
        is_first = false;
        if !head.keeps_alive {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Err(io::Error::other("too many responses to other requests"))
}

/// Reads a response head; `method` is that of the request.
///
/// # Errors
///
/// Returns an error if the connection ends, or if the head is malformed, too long or longer than
/// there is memory for.
pub(super) async fn read_head(
    connection: &mut UpstreamConnection,
    method: &str,
    memory: &SharedBudget,
) -> io::Result<ResponseHead> {
    let mut held = HeldBytes::new(memory, MessageKind::Response);
    loop {
        let parse_result = parse_response_head(&mut connection.buffer, HEAD_MAX_BYTES, method);
        if let Some(head) = parse_result.map_err(io::Error::other)? {
            return Ok(head);
        }
        if read_more(connection, &mut held, HEAD_READ_BYTES).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// The limits on the body of a response.
#[derive(Clone, Copy)]
pub(super) struct BodyLimits<'a> {
    pub(super) max_bytes: usize,
    /// What all messages may take together.
    pub(super) memory: &'a SharedBudget,
}

/// Reads the body that follows a response head.
///
/// # Errors
///
/// Returns an error if the connection ends, or if the body is malformed or longer than the limits
/// allow: an upstream in trouble may send bytes without end, and they are held in memory.
pub(super) async fn read_body(
    connection: &mut UpstreamConnection,
    head: &ResponseHead,
    limits: BodyLimits<'_>,
) -> io::Result<Body> {
    let mut reader = BodyReader::new(head.framing);
    let mut body = BodyBuffer::new(limits.memory, MessageKind::Response);
    let mut held = HeldBytes::new(limits.memory, MessageKind::Response);
    while !reader.is_done() {
        while let Some(piece) = reader.next(&mut connection.buffer).map_err(io::Error::other)? {
            if body.len() + piece.len() > limits.max_bytes {
                return Err(io::Error::other("the response body is too large"));
            }
            body.push(&piece)?;
        }
        if !reader.is_done() && read_more(connection, &mut held, BODY_READ_BYTES).await? == 0 {
            reader.handle_eof().map_err(io::Error::other)?;
        }
    }
    Ok(body.finish())
}

/// Reads more bytes into the buffer, which `held` counts, and makes room for `room_bytes` if it is
/// full. Returns how many were read, which is 0 at the end of the connection.
///
/// # Errors
///
/// Returns an error if the connection fails, or if there is no memory for the buffer.
async fn read_more(
    connection: &mut UpstreamConnection,
    held: &mut HeldBytes,
    room_bytes: usize,
) -> io::Result<usize> {
    let buffer = &mut connection.buffer;
    if buffer.capacity() == buffer.len() {
        buffer.reserve(room_bytes);
    }
    held.resize(buffer.capacity())?;
    connection.stream.read_buf(buffer).await
}
