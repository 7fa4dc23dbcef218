//! A small HTTP/1.1 client and the parts of a server that the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A response, or a request on the side of a server.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let field = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// The value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<u64> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
    }
}

/// A connection with what was read from it and is not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a whole message, which must have come by the deadline.
    pub fn read(&mut self, deadline: Instant) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            self.fill(deadline)?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message =
            Message { start: lines.next().unwrap_or_default().to_owned(), ..Message::default() };
        for line in lines {
            let Some((name, value)) = line.split_once(':') else { continue };
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
        if message.header("transfer-encoding").is_some() {
            return Err(io::Error::other("chunks are not expected here"));
        }
        let length: usize =
            message.header("content-length").and_then(|t| t.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            self.fill(deadline)?;
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(message)
    }

    fn fill(&mut self, deadline: Instant) -> io::Result<()> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut piece = [0; 64 * 1024];
        match self.stream.read(&mut piece) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(length) => {
                self.buffer.extend_from_slice(&piece[..length]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                Err(io::ErrorKind::TimedOut.into())
            }
            Err(error) => Err(error),
        }
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// Sends one request on a new connection and returns the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let deadline = Instant::now() + timeout;
    let mut connection = Connection::open(address)?;
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Type: application/json\r\nContent-Length: {}\r\n", body.len())
    };
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {address}\r\n{length}Connection: close\r\n\r\n"
    );
    connection.send(head.as_bytes())?;
    connection.send(body)?;
    connection.read(deadline)
}
