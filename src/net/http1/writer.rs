//! Writes the heads of requests and responses.

use std::{collections::VecDeque, io::IoSlice};

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Represents an encoded message. A long body is not copied behind its head.
///
/// It is read as a [`Buf`], in the order in which it is sent.
#[derive(Clone, Debug)]
pub struct Message {
    /// The pieces that are left; none is empty.
    pieces: VecDeque<Bytes>,
    remaining: usize,
}

impl Message {
    fn new(pieces: impl IntoIterator<Item = Bytes>) -> Self {
        let pieces: VecDeque<Bytes> =
            pieces.into_iter().filter(|piece| !piece.is_empty()).collect();
        let remaining = pieces.iter().map(Bytes::len).sum();
        Self { pieces, remaining }
    }
}

impl Buf for Message {
    fn remaining(&self) -> usize {
        self.remaining
    }

    fn chunk(&self) -> &[u8] {
        self.pieces.front().map_or(&[], |piece| piece.as_ref())
    }

    fn chunks_vectored<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let count = slices.len().min(self.pieces.len());
        for (slice, piece) in slices.iter_mut().zip(&self.pieces) {
            *slice = IoSlice::new(piece);
        }
        count
    }

    fn advance(&mut self, mut count: usize) {
        assert!(count <= self.remaining, "advanced beyond the end of a message");
        self.remaining -= count;
        while let Some(piece) = self.pieces.front_mut().filter(|_| count > 0) {
            let step = count.min(piece.len());
            piece.advance(step);
            count -= step;
            if piece.is_empty() {
                self.pieces.pop_front();
            }
        }
    }
}

/// Builds the head of one message.
#[derive(Debug)]
pub struct HeadWriter {
    buffer: BytesMut,
}

/// The initial buffer capacity. Most heads fit into it.
const HEAD_CAPACITY_BYTES: usize = 512;
/// The maximum size of a body that is copied, so that the message is written in one piece.
const COPIED_BODY_MAX_BYTES: usize = 4096;

impl HeadWriter {
    /// Creates a writer for a request, starting with its request line.
    pub fn with_request(method: &str, target: &str) -> Self {
        let mut buffer = BytesMut::with_capacity(HEAD_CAPACITY_BYTES);
        for part in [method, " ", target, " HTTP/1.1\r\n"] {
            buffer.put_slice(part.as_bytes());
        }
        Self { buffer }
    }

    /// Creates a writer for a response, starting with its status line.
    pub fn with_status(status: u16) -> Self {
        let mut buffer = BytesMut::with_capacity(HEAD_CAPACITY_BYTES);
        buffer.put_slice(b"HTTP/1.1 ");
        buffer.put_slice(status.to_string().as_bytes());
        buffer.put_u8(b' ');
        buffer.put_slice(reason_phrase(status).as_bytes());
        buffer.put_slice(b"\r\n");
        Self { buffer }
    }

    /// Adds a header field.
    pub fn field(&mut self, name: &str, value: &[u8]) {
        self.buffer.put_slice(name.as_bytes());
        self.buffer.put_slice(b": ");
        self.buffer.put_slice(value);
        self.buffer.put_slice(b"\r\n");
    }

    /// Adds a header field with a numeric value.
    pub fn number(&mut self, name: &str, value: u64) {
        self.field(name, value.to_string().as_bytes());
    }

    /// Ends the head and returns it with a body, which is given in pieces.
    pub fn finish_with(mut self, body: &[Bytes]) -> Message {
        self.buffer.put_slice(b"\r\n");
        if body.iter().map(Bytes::len).sum::<usize>() > COPIED_BODY_MAX_BYTES {
            return Message::new([self.buffer.freeze()].into_iter().chain(body.iter().cloned()));
        }
        body.iter().for_each(|piece| self.buffer.put_slice(piece));
        Message::new([self.buffer.freeze()])
    }

    /// Ends the head and returns it.
    pub fn finish(mut self) -> Bytes {
        self.buffer.put_slice(b"\r\n");
        self.buffer.freeze()
    }
}

/// Returns the canonical reason phrase of a status code, or `Unknown`.
pub fn reason_phrase(status: u16) -> &'static str {
    let status_code = http::StatusCode::from_u16(status).ok();
    status_code.and_then(|status| status.canonical_reason()).unwrap_or("Unknown")
}
