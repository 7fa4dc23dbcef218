//! A minimal HTTP/1.1 reader and writer for the stand-ins.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let field = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.header("Bulrushspan-Request-Id").unwrap_or_default()
    }
}

/// A connection with the input that was read and not parsed yet.
pub struct Connection {
    pub stream: TcpStream,
    input: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, input: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16384];
        let length = self.stream.read(&mut buffer)?;
        self.input.extend_from_slice(&buffer[..length]);
        Ok(length)
    }

    /// Reads one message. Returns `None` at the end of the connection before its first byte.
    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.input.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            if self.more()? == 0 {
                if self.input.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.input[..end]).into_owned();
        self.input.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message =
            Message { start: lines.next().unwrap_or_default().to_owned(), ..Message::default() };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let length: usize =
            message.header("Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
        while self.input.len() < length {
            if self.more()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.input.drain(..length).collect();
        Ok(Some(message))
    }

    pub fn write(&mut self, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{start}\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// Sends one request on a new connection and returns the response.
pub fn call(
    address: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(address, timeout.min(Duration::from_secs(1)))?;
    connection.stream.set_read_timeout(Some(timeout))?;
    connection.stream.set_write_timeout(Some(timeout))?;
    connection.write(&format!("{start} HTTP/1.1"), headers, body)?;
    connection.read_message()?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
