//! Reads requests from callers' connections.

use std::{io, rc::Rc, time::Duration};

use bytes::BytesMut;
use tokio::{io::AsyncWriteExt, time::Instant};
use tracing::{error, info};

use super::{
    super::{
        exchange,
        ready_response::{AnsweredRequest, OpenRequest, ReadyResponse, Sender},
        refusal::{RETRY_AFTER_DEFAULT, refuse, refuse_for_stop},
        request::{self, Request},
        response::Response,
        state::EntryState,
    },
    CallerConnection, RECEIVE_BUFFER_BYTES,
};
use crate::{
    core::{MessageKind, StopPhase, catch_panic},
    net::{
        held_bytes::{BodyBuffer, HeldBytes, SharedBudget},
        http1::{BodyError, BodyReader, HeadError, RequestHead, parse_request_head},
        relay::RelayTerms,
        socket_buffers::set_receive_buffer,
    },
};

/// How much room is made for the input of a head.
const HEAD_ROOM_BYTES: usize = 1024;
/// How much room is made for the input of a body.
const BODY_ROOM_BYTES: usize = 16 * 1024;
/// The size from which on a body is received through a large buffer.
const LONG_BODY_MIN_BYTES: usize = 64 * 1024;
/// The size of the receive buffer for a long body.
const LONG_RECEIVE_BUFFER_BYTES: usize = 256 * 1024;
/// How long the rest of a request is awaited at most if no route limits its time.
const BODY_TIMEOUT_MAX: Duration = Duration::from_secs(30);

/// The input of a connection that is not parsed yet.
pub(super) struct Input {
    pub(super) buffer: BytesMut,
    held: HeldBytes,
    /// What the large receive buffer of a long body takes, if there is one.
    long_receive_buffer: Option<HeldBytes>,
}

impl Input {
    pub(super) fn new(memory: &SharedBudget) -> Self {
        let held = HeldBytes::new(memory, MessageKind::Request);
        Self { buffer: BytesMut::new(), held, long_receive_buffer: None }
    }

    /// Makes room for further input, and counts what the buffer takes.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory for it.
    fn make_room(&mut self, bytes: usize) -> io::Result<()> {
        if self.buffer.capacity() == self.buffer.len() {
            self.buffer.reserve(bytes);
        }
        self.held.resize(self.buffer.capacity())
    }

    /// Drops the input and its memory.
    pub(super) fn release(&mut self) {
        self.buffer = BytesMut::new();
        // A message can always shrink.
        self.held.resize(0).ok();
    }
}

/// What is read next from a connection.
pub(super) enum ReadState {
    Head,
    Body {
        head: Box<RequestHead>,
        held: HeldBytes,
        reader: BodyReader,
        body: BodyBuffer,
        /// The limit in force when the head arrived.
        body_max_bytes: u64,
        arrived_at: Duration,
        /// Until when the rest of the request is awaited.
        deadline: Instant,
    },
    /// No further request is read; the connection is closed after the pending
    /// responses.
    Finished,
}

/// Why no more of a body is read.
enum BodyFailure {
    Malformed(BodyError),
    TooLarge,
    NoMemory,
}

impl CallerConnection {
    /// Makes room for the input that is read next.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory for it.
    pub(super) fn prepare_input(&mut self) -> io::Result<()> {
        let is_body = matches!(self.read_state, ReadState::Body { .. });
        self.input.make_room(if is_body { BODY_ROOM_BYTES } else { HEAD_ROOM_BYTES })
    }

    /// Parses the buffered input and starts each complete request.
    pub(super) async fn parse_requests(&mut self) -> io::Result<()> {
        while self.in_progress() < self.pipelined_max() {
            match &self.read_state {
                ReadState::Finished => return Ok(()),
                ReadState::Head => {
                    if self.input.buffer.is_empty() {
                        self.input.release();
                        return Ok(());
                    }
                    let header_max = self.sender_limits().header_max_bytes as usize;
                    match parse_request_head(&mut self.input.buffer, header_max) {
                        Ok(None) => return Ok(()),
                        Ok(Some(head)) => self.handle_head(head).await?,
                        Err(HeadError::TooLarge) => self.reject_size(431, "head_too_large", None),
                        Err(HeadError::Malformed(what)) => {
                            info!(what, "malformed request head");
                            self.reject(400, "malformed", None);
                        }
                    }
                }
                ReadState::Body { .. } => match self.read_body() {
                    Ok(true) => self.start_request(),
                    Ok(false) => return Ok(()),
                    Err(BodyFailure::Malformed(error)) => {
                        info!(%error, "malformed request body");
                        self.reject(400, "malformed", None);
                    }
                    Err(BodyFailure::TooLarge) => self.reject_size(413, "body_too_large", None),
                    Err(BodyFailure::NoMemory) => self.refuse(None, "memory"),
                },
            }
        }
        Ok(())
    }

    /// Moves what has arrived of a body out of the input. Returns whether it is complete.
    fn read_body(&mut self) -> Result<bool, BodyFailure> {
        let ReadState::Body { reader, body, body_max_bytes, .. } = &mut self.read_state else {
            return Ok(false);
        };
        while let Some(piece) =
            reader.next(&mut self.input.buffer).map_err(BodyFailure::Malformed)?
        {
            if (body.len() + piece.len()) as u64 > *body_max_bytes {
                return Err(BodyFailure::TooLarge);
            }
            body.push(&piece).map_err(|_| BodyFailure::NoMemory)?;
        }
        let is_long = body.len() >= LONG_BODY_MIN_BYTES && !reader.is_done();
        if is_long && self.input.long_receive_buffer.is_none() {
            let mut held = HeldBytes::new(&self.state.memory, MessageKind::Request);
            // Without room for it, the body arrives more slowly.
            if held.resize(LONG_RECEIVE_BUFFER_BYTES).is_ok() {
                set_receive_buffer(&self.stream, LONG_RECEIVE_BUFFER_BYTES);
                self.input.long_receive_buffer = Some(held);
            }
        }
        Ok(reader.is_done())
    }

    /// Handles a complete request head: rejects the request or prepares to read its
    /// body.
    async fn handle_head(&mut self, head: RequestHead) -> io::Result<()> {
        let arrived_at = self.state.clock.now();
        let host_count = head.headers.get_all("host").count();
        if host_count > 1 || (head.is_http11 && host_count == 0) || !head.target.starts_with('/') {
            self.reject(400, "malformed", Some(AnsweredRequest::new(&head)));
            return Ok(());
        }
        let body_max_bytes = self.sender_limits().body_max_bytes;
        let length = head.framing.length().unwrap_or_default();
        if length > body_max_bytes {
            self.reject_size(413, "body_too_large", Some(AnsweredRequest::new(&head)));
            return Ok(());
        }
        if self.state.stop_phase() >= StopPhase::Refusing {
            let request = AnsweredRequest::new(&head);
            let response = refuse_for_stop(&self.state, request.id());
            self.push_last_response(response, Some(request));
            return Ok(());
        }
        if self.place.is_surplus {
            self.refuse(Some(AnsweredRequest::new(&head)), "connections");
            return Ok(());
        }
        let mut held = HeldBytes::new(&self.state.memory, MessageKind::Request);
        let has_room = held.resize(head.memory_bytes()).is_ok()
            && self.state.memory.has_room_for_request(length as usize);
        if !has_room {
            self.refuse(Some(AnsweredRequest::new(&head)), "memory");
            return Ok(());
        }
        if head
            .headers
            .get_str("expect")
            .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
        {
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        self.place.slot.set_not_closable();
        self.read_state = ReadState::Body {
            held,
            reader: BodyReader::new(head.framing),
            body: BodyBuffer::new(&self.state.memory, MessageKind::Request),
            body_max_bytes,
            arrived_at,
            deadline: Instant::now() + self.body_timeout(&head),
            head: Box::new(head),
        };
        Ok(())
    }

    /// Returns how long the rest of a request is awaited. Its caller no longer waits for the
    /// response then.
    fn body_timeout(&self, head: &RequestHead) -> Duration {
        let routes = self.state.routes.borrow();
        let route = routes.find(head.host(), head.path());
        let timeout_max = route.map_or(BODY_TIMEOUT_MAX, |(_, route)| route.timeout);
        request::timeout(head).min(timeout_max)
    }

    /// Starts handling a request that has arrived in full.
    fn start_request(&mut self) {
        let read_state = std::mem::replace(&mut self.read_state, ReadState::Head);
        let ReadState::Body { head, held, body, arrived_at, .. } = read_state else { return };
        self.last_active_at = Instant::now();
        if self.input.long_receive_buffer.take().is_some() {
            set_receive_buffer(&self.stream, RECEIVE_BUFFER_BYTES);
        }
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
            body: body.finish(),
            arrived_at,
            sender: self.sender_ip,
            relay_terms,
            _held: held,
        };
        let state = self.state.clone();
        let has_room = state.has_room_for_request();
        let _open_request = OpenRequest::new(&state);
        self.pending.push_back(Box::pin(async move {
            let answered = AnsweredRequest::new(&request.head);
            let response = if has_room {
                respond(&state, &request).await
            } else {
                refuse(&state, answered.id(), "requests", RETRY_AFTER_DEFAULT)
            };
            let response = if keeps_alive { response } else { response.with_connection_close() };
            let request = Some(answered);
            ReadyResponse { response, request, has_unread_input: false, _open_request }
        }));
    }

    /// Stops reading the request whose body is arriving, if there is one.
    pub(super) fn take_partial_request(&mut self) -> Option<AnsweredRequest> {
        let read_state = std::mem::replace(&mut self.read_state, ReadState::Head);
        match read_state {
            ReadState::Body { head, .. } => Some(AnsweredRequest::new(&head)),
            read_state => {
                self.read_state = read_state;
                None
            }
        }
    }
}

/// Handles a request. If that panics, only this request gets no response of an upstream; the
/// others on the connection go on.
async fn respond(state: &Rc<EntryState>, request: &Request) -> Response {
    catch_panic(exchange::handle_request(state, request)).await.unwrap_or_else(|| {
        error!(request = request.id(), "panic while handling a request, which may have run");
        Response::local(502, "internal_error")
    })
}
