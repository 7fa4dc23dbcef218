//! A stand-in of a client that keeps its connection.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::Reader;

/// What became of a request on a kept connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    Answered(u16),
    Closed,
}

/// A client with one connection.
pub struct Client {
    stream: TcpStream,
    reader: Reader,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok();
        stream.set_read_timeout(Some(Duration::from_secs(6))).ok();
        stream.set_write_timeout(Some(Duration::from_secs(6))).ok();
        Some(Self { stream, reader: Reader::new() })
    }

    pub fn send(&mut self, id: &str, target: &str, body: &[u8]) -> End {
        let head = format!(
            "POST {target} HTTP/1.1\r\nHost: desk.example\r\nBulrushspan-Request-Id: {id}\r\n\
             Bulrushspan-Deadline-Ms: 4000\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let sent =
            self.stream.write_all(head.as_bytes()).and_then(|()| self.stream.write_all(body));
        if sent.is_err() {
            return End::Closed;
        }
        match self.reader.read(&mut self.stream) {
            Ok(Some(response)) => End::Answered(response.status()),
            _ => End::Closed,
        }
    }
}
