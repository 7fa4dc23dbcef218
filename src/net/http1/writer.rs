//! Writes the heads of requests and responses.

use bytes::{BufMut, Bytes, BytesMut};

/// Builds the head of one message.
#[derive(Debug)]
pub struct HeadWriter {
    buffer: BytesMut,
}

/// The initial buffer capacity. Most heads fit into it.
const HEAD_CAPACITY_BYTES: usize = 512;

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

    /// Ends the head and returns it, followed by `body`.
    pub fn finish_with(mut self, body: &[u8]) -> Bytes {
        self.buffer.put_slice(b"\r\n");
        self.buffer.put_slice(body);
        self.buffer.freeze()
    }

    /// Ends the head and returns it.
    pub fn finish(self) -> Bytes {
        self.finish_with(&[])
    }
}

/// Returns the canonical reason phrase of a status code, or `Unknown`.
pub fn reason_phrase(status: u16) -> &'static str {
    let status_code = http::StatusCode::from_u16(status).ok();
    status_code.and_then(|status| status.canonical_reason()).unwrap_or("Unknown")
}
