//! A small HTTP/1.1 client and the reading of messages, for stand-ins.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A message that was received: its first line, its header fields and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response, or 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a stream. Bodies need a length.
pub struct Reader {
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new() -> Self {
        Self { buffer: Vec::new() }
    }

    /// Reads the next message; `Ok(None)` if the stream ends before one begins.
    pub fn read(&mut self, stream: &mut impl Read) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if !self.fill(stream)? {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let fields: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = Message { first_line, fields, body: Vec::new() };
        let length: usize =
            message.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            if !self.fill(stream)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(Some(message))
    }

    fn fill(&mut self, stream: &mut impl Read) -> io::Result<bool> {
        let mut piece = vec![0; 64 * 1024];
        let count = stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count > 0)
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// Sends one request on a new connection and returns the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    Reader::new().read(&mut stream)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
