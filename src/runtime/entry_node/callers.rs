//! Serves callers' connections. Pipelined requests run concurrently; their
//! responses are written in order.

use std::{io, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesOrdered};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};
use tracing::{info, warn};

use super::{exchange, request::Request, response::Response, state::EntryState};
use crate::{
    core::routing::CallerLimits,
    net::{
        http1::{BodyError, BodyReader, Framing, HeadError, RequestHead, parse_request_head},
        mesh::configure_stream,
        relay::{RELAY_FIELDS_MAX_BYTES, RelayTerms},
    },
    platform::headers,
};

/// The maximum number of requests in progress on one connection.
const PIPELINED_MAX: usize = 32;
/// The maximum size of the input that is buffered while [`PIPELINED_MAX`] requests are
/// in progress.
const PIPELINED_MAX_BYTES: usize = 16 * 1024;
/// The delay after a failure to accept a connection, for example when no file
/// descriptors are free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long input is still read after the last response. Closing at once would
/// reset the connection, and the caller could lose the response.
const CLOSE_LINGER: Duration = Duration::from_secs(1);
/// The idle timeout of connections while the instance stops.
const STOP_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Who sends requests over a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Sender {
    Caller,
    /// Another entry instance, which hands over requests of its callers.
    Peer,
}

/// Accepts connections for as long as the process runs.
pub(super) async fn accept(state: Rc<EntryState>, listener: TcpListener, sender: Sender) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Callers may pause while they read a response.
                configure_stream(&stream, state.limits().idle_timeout);
                let connection = CallerConnection::new(state.clone(), stream, sender);
                tokio::task::spawn_local(connection.run());
            }
            Err(error) => {
                warn!(%error, ?sender, "can't accept a connection; retrying");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

type PendingResponse = LocalBoxFuture<'static, EncodedResponse>;

/// A response that is ready to be written.
struct EncodedResponse {
    bytes: Bytes,
    closes_connection: bool,
    /// Whether the caller may still send input, which is then discarded.
    has_unread_input: bool,
    /// Keeps the request open until the response is written, so that a stop waits for it.
    open_request: Option<OpenRequest>,
}

/// The state of one caller's connection.
struct CallerConnection {
    state: Rc<EntryState>,
    sender: Sender,
    stream: TcpStream,
    buffer: BytesMut,
    limits: CallerLimits,
    read_state: ReadState,
    pending: FuturesOrdered<PendingResponse>,
    /// When the connection was accepted, last received a full request or last
    /// had a response written to it.
    last_active_at: Instant,
}

/// What is read next from a connection.
enum ReadState {
    Head,
    Body {
        head: Box<RequestHead>,
        reader: BodyReader,
        body: BytesMut,
        arrived_at: Duration,
    },
    /// No further request is read; the connection is closed after the pending
    /// responses.
    Finished,
}

impl CallerConnection {
    fn new(state: Rc<EntryState>, stream: TcpStream, sender: Sender) -> Self {
        let limits = state.limits();
        Self {
            state,
            sender,
            stream,
            buffer: BytesMut::new(),
            limits,
            read_state: ReadState::Head,
            pending: FuturesOrdered::new(),
            last_active_at: Instant::now(),
        }
    }

    async fn run(mut self) {
        // Callers may drop their connections at any time; that is not logged.
        self.serve().await.ok();
    }

    async fn serve(&mut self) -> io::Result<()> {
        let mut stopping = self.state.stopping.subscribe();
        loop {
            self.parse_requests().await?;
            if self.is_finished() && self.pending.is_empty() {
                return Ok(());
            }
            let wants_input = self.wants_input();
            let deadline = self.read_deadline();
            tokio::select! {
                biased;
                Some(response) = self.pending.next() => {
                    self.write_response(response).await?;
                }
                read = self.stream.read_buf(&mut self.buffer), if wants_input => {
                    if read? == 0 {
                        return Ok(());
                    }
                    if self.is_finished() {
                        self.buffer.clear();
                    }
                }
                () = tokio::time::sleep_until(deadline), if self.pending.is_empty() => {
                    if self.is_idle() {
                        return Ok(());
                    }
                    self.reject(408, "slow_request");
                }
                changed = stopping.changed(), if !*self.state.stopping.borrow() => {
                    changed.ok();
                }
            }
        }
    }

    /// Parses the buffered input and starts each complete request.
    async fn parse_requests(&mut self) -> io::Result<()> {
        while self.pending.len() < PIPELINED_MAX {
            match &mut self.read_state {
                ReadState::Finished => return Ok(()),
                ReadState::Head => {
                    if self.buffer.is_empty() {
                        return Ok(());
                    }
                    let header_max = self.header_max_bytes() as usize;
                    match parse_request_head(&mut self.buffer, header_max) {
                        Ok(None) => return Ok(()),
                        Ok(Some(head)) => self.handle_head(head).await?,
                        Err(HeadError::TooLarge) => self.reject(431, "head_too_large"),
                        Err(HeadError::Malformed(what)) => {
                            info!(
                                what,
                                "malformed request head; responding 400 and closing the connection"
                            );
                            self.reject(400, "malformed");
                        }
                    }
                }
                ReadState::Body { reader, body, .. } => {
                    let is_done = match append_body(reader, body, &mut self.buffer) {
                        Ok(()) => reader.is_done(),
                        Err(error) => {
                            info!(
                                %error,
                                "malformed request body; responding 400 and closing the connection"
                            );
                            self.reject(400, "malformed");
                            continue;
                        }
                    };
                    if body.len() as u64 > self.limits.body_max_bytes {
                        self.reject(413, "body_too_large");
                    } else if is_done {
                        self.start_request();
                    } else {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    /// Handles a complete request head: rejects the request or prepares to read its
    /// body.
    async fn handle_head(&mut self, head: RequestHead) -> io::Result<()> {
        let arrived_at = self.state.clock.now();
        if let Some(response) = self.error_response(&head) {
            self.push_last_response(response);
            return Ok(());
        }
        if head
            .headers
            .get_str("expect")
            .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
        {
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let reader = BodyReader::new(head.framing);
        self.read_state =
            ReadState::Body { head: Box::new(head), reader, body: BytesMut::new(), arrived_at };
        Ok(())
    }

    /// Returns the error response to a request whose head is invalid or whose body is
    /// too large, or `None` if the request is accepted.
    fn error_response(&self, head: &RequestHead) -> Option<Response> {
        let host_count = head.headers.get_all("host").count();
        if host_count > 1 || (head.is_http11 && host_count == 0) || !head.target.starts_with('/') {
            return Some(Response::local(400, "malformed").with_connection_close());
        }
        match head.framing {
            Framing::Length(length) if length > self.limits.body_max_bytes => {
                Some(Response::local(413, "body_too_large").with_connection_close())
            }
            _ => None,
        }
    }

    /// Starts handling a request that has arrived in full.
    fn start_request(&mut self) {
        let read_state = std::mem::replace(&mut self.read_state, ReadState::Head);
        let ReadState::Body { head, body, arrived_at, .. } = read_state else { return };
        self.last_active_at = Instant::now();
        let keeps_alive =
            head.is_http11 && !head.headers.has_token(&http::header::CONNECTION, "close");
        if !keeps_alive {
            self.read_state = ReadState::Finished;
        }
        let relay_terms = match self.sender {
            Sender::Caller => None,
            Sender::Peer => {
                let Some(terms) = RelayTerms::parse(&head.headers) else {
                    return self.reject(400, "malformed");
                };
                Some(terms)
            }
        };
        let request = Request { head: *head, body: body.freeze(), arrived_at, relay_terms };
        let state = self.state.clone();
        self.pending.push_back(Box::pin(async move {
            let open_request = Some(OpenRequest::new(&state));
            let response = exchange::handle_request(&state, &request).await;
            let closes_connection = !keeps_alive || *state.stopping.borrow();
            let response =
                if closes_connection { response.with_connection_close() } else { response };
            let id = headers::request_id(&request.head.headers);
            let bytes = if request.relay_terms.is_some() {
                response.encode_for_peer(&request.head.method, id)
            } else {
                response.encode(&request.head.method, id)
            };
            EncodedResponse {
                bytes,
                closes_connection: response.closes_connection,
                has_unread_input: false,
                open_request,
            }
        }));
    }

    /// Responds with an error and stops reading from the connection.
    fn reject(&mut self, status: u16, error: &str) {
        self.push_last_response(Response::local(status, error).with_connection_close());
    }

    /// Queues the last response of the connection.
    fn push_last_response(&mut self, response: Response) {
        self.read_state = ReadState::Finished;
        let bytes = response.encode("", None);
        let encoded = EncodedResponse {
            bytes,
            closes_connection: true,
            has_unread_input: true,
            open_request: None,
        };
        self.pending.push_back(Box::pin(std::future::ready(encoded)));
    }

    async fn write_response(&mut self, response: EncodedResponse) -> io::Result<()> {
        self.state.link.write(&mut self.stream, &response.bytes).await?;
        self.last_active_at = Instant::now();
        drop(response.open_request);
        if response.closes_connection {
            self.read_state = ReadState::Finished;
            self.pending = FuturesOrdered::new();
            self.stream.shutdown().await?;
            if response.has_unread_input {
                let discarding = self.discard_input();
                tokio::time::timeout(CLOSE_LINGER, discarding).await.unwrap_or(Ok(()))?;
            }
        }
        Ok(())
    }

    /// Reads and discards input until the caller closes the connection.
    async fn discard_input(&mut self) -> io::Result<()> {
        loop {
            self.buffer.clear();
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Ok(());
            }
        }
    }

    /// Returns whether to read from the connection.
    ///
    /// Input is read even while no further request is started, to notice when the
    /// caller disconnects. What follows the last request is discarded.
    fn wants_input(&self) -> bool {
        self.is_finished()
            || self.pending.len() < PIPELINED_MAX
            || self.buffer.len() < PIPELINED_MAX_BYTES
    }

    fn is_finished(&self) -> bool {
        matches!(self.read_state, ReadState::Finished)
    }

    fn header_max_bytes(&self) -> u64 {
        match self.sender {
            Sender::Caller => self.limits.header_max_bytes,
            Sender::Peer => self.limits.header_max_bytes + RELAY_FIELDS_MAX_BYTES,
        }
    }

    /// Returns whether no part of the next request has arrived.
    fn is_idle(&self) -> bool {
        matches!(self.read_state, ReadState::Head) && self.buffer.is_empty()
    }

    /// Returns when the connection times out, unless a request is pending.
    ///
    /// While a request is arriving, the longer of the idle timeout and the
    /// header timeout applies; it also covers the body.
    fn read_deadline(&self) -> Instant {
        if !self.is_idle() {
            return self.last_active_at + self.limits.idle_timeout.max(self.limits.header_timeout);
        }
        if *self.state.stopping.borrow() {
            return (self.last_active_at + self.limits.idle_timeout)
                .min(Instant::now() + STOP_IDLE_TIMEOUT);
        }
        self.last_active_at + self.limits.idle_timeout
    }
}

/// Moves all of the body that has arrived from `buffer` to `body`.
fn append_body(
    reader: &mut BodyReader,
    body: &mut BytesMut,
    buffer: &mut BytesMut,
) -> Result<(), BodyError> {
    while let Some(piece) = reader.next(buffer)? {
        body.extend_from_slice(&piece);
    }
    Ok(())
}

/// Counts a request as open until dropped.
struct OpenRequest {
    state: Rc<EntryState>,
}

impl OpenRequest {
    fn new(state: &Rc<EntryState>) -> Self {
        state.open_requests.set(state.open_requests.get() + 1);
        Self { state: state.clone() }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.state.open_requests.set(self.state.open_requests.get() - 1);
    }
}
