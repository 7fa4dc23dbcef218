//! Serves callers' connections. Pipelined requests run concurrently; their
//! responses are written in order.

use std::{io, net::IpAddr, rc::Rc, time::Duration};

use bytes::BytesMut;
use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesOrdered};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};
use tracing::{info, warn};

use super::{
    exchange,
    ready_response::{OpenRequest, ReadyResponse, Sender},
    refusal::{refuse_for_stop, refuse_without_configuration},
    request::Request,
    response::Response,
    state::EntryState,
};
use crate::{
    core::{StopPhase, routing::CallerLimits},
    net::{
        http1::{BodyReader, HeadError, RequestHead, parse_request_head},
        mesh::configure_stream,
        relay::RelayTerms,
    },
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

/// Accepts connections for as long as the process runs.
pub(super) async fn accept(state: Rc<EntryState>, listener: TcpListener, sender: Sender) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                // Callers may pause while they read a response.
                configure_stream(&stream, state.limits().idle_timeout);
                let connection = CallerConnection::new(state.clone(), stream, sender, peer.ip());
                tokio::task::spawn_local(connection.run());
            }
            Err(error) => {
                warn!(%error, ?sender, "can't accept a connection; retrying");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

type PendingResponse = LocalBoxFuture<'static, ReadyResponse>;

/// The state of one caller's connection.
struct CallerConnection {
    state: Rc<EntryState>,
    sender: Sender,
    sender_ip: IpAddr,
    stream: TcpStream,
    buffer: BytesMut,
    read_state: ReadState,
    pending: FuturesOrdered<PendingResponse>,
    /// When the connection was accepted, last received the first byte, a part of the body
    /// or the end of a request, or last had a response written to it.
    last_active_at: Instant,
}

/// What is read next from a connection.
enum ReadState {
    Head,
    Body {
        head: Box<RequestHead>,
        reader: BodyReader,
        body: BytesMut,
        /// The limit in force when the head arrived.
        body_max_bytes: u64,
        arrived_at: Duration,
    },
    /// No further request is read; the connection is closed after the pending
    /// responses.
    Finished,
}

impl CallerConnection {
    fn new(state: Rc<EntryState>, stream: TcpStream, sender: Sender, sender_ip: IpAddr) -> Self {
        Self {
            state,
            sender,
            sender_ip,
            stream,
            buffer: BytesMut::new(),
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
        let mut stop_phases = self.state.stop_phase.subscribe();
        loop {
            self.parse_requests().await?;
            self.refuse_partial_request();
            if self.is_finished() && self.pending.is_empty() {
                return Ok(());
            }
            let wants_input = self.wants_input();
            // Further bytes of a head don't: sent one by one, they would keep the connection open
            // for ever.
            let input_renews_timeout =
                self.is_idle() || matches!(self.read_state, ReadState::Body { .. });
            let deadline = self.read_deadline();
            tokio::select! {
                biased;
                _ = stop_phases.changed() => {}
                Some(response) = self.pending.next() => {
                    self.write_response(response).await?;
                }
                read = self.stream.read_buf(&mut self.buffer), if wants_input => {
                    if read? == 0 {
                        return Ok(());
                    }
                    if input_renews_timeout {
                        self.last_active_at = Instant::now();
                    }
                    if self.is_finished() {
                        self.buffer.clear();
                    }
                }
                () = tokio::time::sleep_until(deadline), if self.pending.is_empty() => {
                    // A new configuration may have raised the timeout meanwhile.
                    let is_stopping = self.state.stop_phase() > StopPhase::Serving;
                    if !is_stopping && Instant::now() < self.read_deadline() {
                        continue;
                    }
                    if self.is_idle() {
                        return Ok(());
                    }
                    self.reject(408, "slow_request", None);
                }
            }
        }
    }

    /// Parses the buffered input and starts each complete request.
    async fn parse_requests(&mut self) -> io::Result<()> {
        while self.pending.len() < self.pipelined_max() {
            match &mut self.read_state {
                ReadState::Finished => return Ok(()),
                ReadState::Head => {
                    if self.buffer.is_empty() {
                        return Ok(());
                    }
                    let header_max = self.sender_limits().header_max_bytes as usize;
                    match parse_request_head(&mut self.buffer, header_max) {
                        Ok(None) => return Ok(()),
                        Ok(Some(head)) => self.handle_head(head).await?,
                        Err(HeadError::TooLarge) => self.reject_size(431, "head_too_large", None),
                        Err(HeadError::Malformed(what)) => {
                            info!(what, "malformed request head");
                            self.reject(400, "malformed", None);
                        }
                    }
                }
                ReadState::Body { reader, body, body_max_bytes, .. } => {
                    let body_max_bytes = *body_max_bytes;
                    let is_done = match reader.read_into(body, &mut self.buffer) {
                        Ok(()) => reader.is_done(),
                        Err(error) => {
                            info!(%error, "malformed request body");
                            self.reject(400, "malformed", None);
                            continue;
                        }
                    };
                    if body.len() as u64 > body_max_bytes {
                        self.reject_size(413, "body_too_large", None);
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
        let host_count = head.headers.get_all("host").count();
        if host_count > 1 || (head.is_http11 && host_count == 0) || !head.target.starts_with('/') {
            self.reject(400, "malformed", Some(head));
            return Ok(());
        }
        let body_max_bytes = self.sender_limits().body_max_bytes;
        if head.framing.length().is_some_and(|length| length > body_max_bytes) {
            self.reject_size(413, "body_too_large", Some(head));
            return Ok(());
        }
        if self.state.stop_phase() >= StopPhase::Refusing {
            let response = refuse_for_stop(&self.state, &head);
            self.push_last_response(response, Some(head));
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
        self.read_state = ReadState::Body {
            head: Box::new(head),
            reader,
            body: BytesMut::new(),
            body_max_bytes,
            arrived_at,
        };
        Ok(())
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
                    return self.reject(400, "malformed", None);
                };
                Some(terms)
            }
        };
        let request = Request {
            head: *head,
            body: body.freeze(),
            arrived_at,
            sender: self.sender_ip,
            relay_terms,
        };
        let state = self.state.clone();
        let _open_request = OpenRequest::new(&state);
        self.pending.push_back(Box::pin(async move {
            let response = exchange::handle_request(&state, &request).await;
            let response = if keeps_alive { response } else { response.with_connection_close() };
            let head = Some(request.head);
            ReadyResponse { response, head, has_unread_input: false, _open_request }
        }));
    }

    /// Refuses a request whose body is still arriving, if the process is about to exit.
    fn refuse_partial_request(&mut self) {
        let is_refusing = self.state.stop_phase() >= StopPhase::Refusing;
        if !is_refusing || !self.pending.is_empty() {
            return;
        }
        let read_state = std::mem::replace(&mut self.read_state, ReadState::Head);
        match read_state {
            ReadState::Body { head, .. } => {
                let response = refuse_for_stop(&self.state, &head);
                self.push_last_response(response, Some(*head));
            }
            read_state => self.read_state = read_state,
        }
    }

    /// Responds with an error and stops reading from the connection.
    fn reject(&mut self, status: u16, error: &str, head: Option<RequestHead>) {
        let (sender, config) = (self.sender, self.state.config_version());
        info!(status, error, ?sender, config, "request rejected; closing the connection");
        self.push_last_response(Response::local(status, error).with_connection_close(), head);
    }

    /// Rejects a request that is too large; before a configuration is known, the request is
    /// refused like any other.
    fn reject_size(&mut self, status: u16, error: &str, head: Option<RequestHead>) {
        if self.state.has_configuration() {
            self.reject(status, error, head);
        } else {
            let response = refuse_without_configuration(&self.state, "");
            self.push_last_response(response.with_connection_close(), head);
        }
    }

    /// Queues the last response of the connection.
    fn push_last_response(&mut self, response: Response, head: Option<RequestHead>) {
        self.read_state = ReadState::Finished;
        let _open_request = OpenRequest::new(&self.state);
        let ready = ReadyResponse { response, head, has_unread_input: true, _open_request };
        self.pending.push_back(Box::pin(std::future::ready(ready)));
    }

    async fn write_response(&mut self, ready: ReadyResponse) -> io::Result<()> {
        let is_stopping = self.state.stop_phase() > StopPhase::Serving;
        // Requests behind this one that were sent on are answered before the connection closes.
        let is_last = is_stopping && self.pending.is_empty();
        let ready = if is_last { ready.with_connection_close() } else { ready };
        self.state.link.write(&mut self.stream, ready.encode(self.sender)).await?;
        self.last_active_at = Instant::now();
        if ready.response.closes_connection {
            self.read_state = ReadState::Finished;
            self.pending = FuturesOrdered::new();
            self.stream.shutdown().await?;
            // The caller of a stopping instance doesn't expect the close, and may be sending.
            if ready.has_unread_input || is_stopping {
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
            || self.pending.len() < self.pipelined_max()
            || self.buffer.len() < PIPELINED_MAX_BYTES
    }

    /// Returns how many requests may be in progress. While the instance stops, the connection
    /// is closed after the response to the last one.
    fn pipelined_max(&self) -> usize {
        if self.state.stop_phase() > StopPhase::Serving { 1 } else { PIPELINED_MAX }
    }

    fn is_finished(&self) -> bool {
        matches!(self.read_state, ReadState::Finished)
    }

    /// Returns the limits on what the sender may send. What a peer hands over was within those
    /// of its own configuration.
    fn sender_limits(&self) -> CallerLimits {
        let limits = self.state.limits();
        match self.sender {
            Sender::Caller => limits,
            Sender::Peer => {
                CallerLimits { header_max_bytes: u64::MAX, body_max_bytes: u64::MAX, ..limits }
            }
        }
    }

    /// Returns whether no part of the next request has arrived.
    fn is_idle(&self) -> bool {
        matches!(self.read_state, ReadState::Head) && self.buffer.is_empty()
    }

    /// Returns when the connection times out, unless a request is pending.
    ///
    /// While a request is arriving, the longer of the idle timeout and the header timeout
    /// applies: to its whole head, and to each wait for more of its body.
    fn read_deadline(&self) -> Instant {
        let limits = self.sender_limits();
        if !self.is_idle() {
            return self.last_active_at + limits.idle_timeout.max(limits.header_timeout);
        }
        // Peers notice a closed connection only when they use it, and no longer choose this
        // instance by the time that it exits.
        if self.state.stop_phase() > StopPhase::Serving && self.sender == Sender::Caller {
            return (self.last_active_at + limits.idle_timeout)
                .min(Instant::now() + STOP_IDLE_TIMEOUT);
        }
        self.last_active_at + limits.idle_timeout
    }
}
