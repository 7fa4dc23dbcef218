//! An HTTP client that fetches small documents over one persistent connection.

use std::{io, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use crate::net::{
    http1::{BodyReader, HeadWriter, parse_response_head},
    mesh::{UNACKNOWLEDGED_MAX, configure_stream},
};

/// Represents a client of one address with its idle connection, if any.
#[derive(Debug)]
pub(super) struct HttpClient {
    address: SocketAddr,
    /// The maximum size of a document.
    body_max_bytes: usize,
    connection: Option<Connection>,
}

/// The maximum size of a response head.
const HEAD_MAX_BYTES: usize = 64 * 1024;

impl HttpClient {
    /// Creates a client of an address; it connects with the first request.
    pub(super) fn new(address: SocketAddr, body_max_bytes: usize) -> Self {
        Self { address, body_max_bytes, connection: None }
    }

    /// Fetches one document and returns its status and body.
    ///
    /// # Errors
    ///
    /// Returns an error when the whole response does not arrive within `timeout`.
    pub(super) async fn get(
        &mut self,
        target: &str,
        timeout: Duration,
    ) -> io::Result<(u16, Bytes)> {
        let idle_connection = self.connection.take();
        let result = time::timeout(timeout, self.fetch(idle_connection, target)).await;
        let (status, body, connection) =
            result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        self.connection = connection;
        Ok((status, body))
    }
}

/// A connection, and the input from it that is not parsed yet.
type Connection = (TcpStream, BytesMut);
type FetchResult = (u16, Bytes, Option<Connection>);

impl HttpClient {
    async fn fetch(
        &self,
        idle_connection: Option<Connection>,
        target: &str,
    ) -> io::Result<FetchResult> {
        if let Some(idle_connection) = idle_connection
            && let Ok(result) = self.fetch_on(idle_connection, target).await
        {
            return Ok(result);
        }
        let stream = TcpStream::connect(self.address).await?;
        configure_stream(&stream, UNACKNOWLEDGED_MAX);
        self.fetch_on((stream, BytesMut::new()), target).await
    }

    async fn fetch_on(
        &self,
        (mut stream, mut buffer): Connection,
        target: &str,
    ) -> io::Result<FetchResult> {
        let mut head = HeadWriter::with_request("GET", target);
        head.field("Host", self.address.to_string().as_bytes());
        stream.write_all(&head.finish()).await?;
        let head = loop {
            let parsed = parse_response_head(&mut buffer, HEAD_MAX_BYTES, "GET");
            if let Some(head) = parsed.map_err(invalid)? {
                break head;
            }
            if stream.read_buf(&mut buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let mut reader = BodyReader::new(head.framing);
        let mut body = BytesMut::new();
        while !reader.is_done() {
            while let Some(chunk) = reader.next(&mut buffer).map_err(invalid)? {
                body.extend_from_slice(&chunk);
            }
            if body.len() > self.body_max_bytes {
                return Err(invalid("the document is larger than allowed"));
            }
            if !reader.is_done() && stream.read_buf(&mut buffer).await? == 0 {
                reader.handle_eof().map_err(invalid)?;
            }
        }
        let reusable_connection = head.keeps_alive.then_some((stream, buffer));
        Ok((head.status, body.freeze(), reusable_connection))
    }
}

fn invalid(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
