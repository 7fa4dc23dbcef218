//! Sends a request to one upstream and reads the response.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Buf;
use tracing::info;

use super::{
    links::{AwaitedResponse, connect_to_upstream},
    notices::{NoticeSource, record_notice},
    pool::{ConnectionPool, UpstreamConnection, connect},
    reading::{BodyLimits, read_response},
    request::Request,
    response::{Response, is_stripped},
    state::EntryState,
};
use crate::{
    core::{
        balance::Choice,
        upstreams::{ReportedLoad, UpstreamId},
    },
    net::{
        held_bytes::Body,
        http1::{Framing, HeadWriter, Message, ResponseHead},
    },
    platform::headers,
    runtime::logs::REQUEST_TARGET,
};

/// The outcome of an attempt at one upstream.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The upstream responded.
    Responded { response: Response, load: Option<ReportedLoad> },
    /// The upstream reported that it did not run the request.
    NotRun { status: u16, load: Option<ReportedLoad>, connection: ConnectionUse },
    /// The connection could not be established, so nothing was sent.
    NotSent(AttemptError),
    /// The upstream left service or asked for a pause before anything was sent.
    LeftService,
    /// At least a part of the request was sent, and whether it ran is unknown.
    Unknown(AttemptError),
}

/// The error of an attempt at one upstream.
#[derive(Debug)]
pub(super) struct AttemptError {
    pub(super) error: io::Error,
    /// Whether the upstream may have closed the connection for being one too many, as it was opened
    /// beside an idle one that is still open.
    pub(super) may_be_connection_limit: bool,
}

/// The connection that a request was sent on, for log lines.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionUse {
    pub(super) local_port: u16,
    /// The number of requests that it had carried before.
    pub(super) carried: usize,
}

impl ConnectionUse {
    /// Returns how a connection has been used before it carries a request.
    pub(super) fn new(connection: &UpstreamConnection) -> Self {
        Self { local_port: connection.local_port(), carried: connection.carried.len() }
    }
}

/// The error of a refusal without the request's id, which may belong to another request.
pub(super) const UNNAMED_REFUSAL: &str = "a refusal without the request's id";

/// The error of a status that promises "not run" while nothing else in the response says so.
pub(super) const UNMARKED_REFUSAL: &str = "a status that promises `not run` without saying so";

/// Counts a request as in flight at an upstream until dropped.
struct InFlight {
    state: Rc<EntryState>,
    id: UpstreamId,
    started_at: Duration,
    is_sent: bool,
}

impl InFlight {
    fn new(state: &Rc<EntryState>, id: &UpstreamId) -> Self {
        let started_at = state.clock.now();
        state.balancer.borrow_mut().record_start(id, started_at);
        Self { state: state.clone(), id: id.clone(), started_at, is_sent: false }
    }

    /// Records that the request has left the instance.
    fn record_sent(&mut self) {
        if !std::mem::replace(&mut self.is_sent, true) {
            self.state.balancer.borrow_mut().record_sent(&self.id, self.state.clock.now());
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        // A part of it may have left.
        self.record_sent();
        self.state.balancer.borrow_mut().record_end(&self.id, self.started_at);
    }
}

/// Sends a request to the chosen upstream over a pooled or new connection.
/// The upstream is told how long it is until `deadline`, which does not limit this call.
pub(super) async fn attempt(
    state: &Rc<EntryState>,
    choice: &Choice,
    request: &Request,
    deadline: Duration,
) -> AttemptOutcome {
    let mut in_flight = InFlight::new(state, &choice.id);
    let pooled = take_pooled(&state.pool, choice.address, request);
    let is_extra =
        pooled.is_none() && needs_extra_connection(state, &state.pool, choice.address, request);
    let result = match pooled {
        Some(connection) => Ok(connection),
        None if is_extra => connect(choice.address, state.settings.link_queue_time()).await,
        None => connect_to_upstream(state, choice).await,
    };
    let describe = |error| {
        let may_be_connection_limit =
            is_extra && is_close(&error) && is_carrier_open(state, choice, request);
        AttemptError { error, may_be_connection_limit }
    };
    let mut connection = match result {
        Ok(connection) => connection,
        Err(error) => return AttemptOutcome::NotSent(describe(error)),
    };
    connection.is_extra = is_extra;
    let _awaited = AwaitedResponse::new(state, choice);
    match send(state, choice, request, deadline, connection, &mut in_flight).await {
        Ok(outcome) => outcome,
        Err(error) => AttemptOutcome::Unknown(describe(error)),
    }
}

/// Returns whether the other side refused, closed or reset the connection.
fn is_close(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::BrokenPipe
            | io::ErrorKind::UnexpectedEof
    )
}

/// Returns whether a connection to an upstream that has carried a request's id is still open. One
/// that crashed has closed it.
fn is_carrier_open(state: &EntryState, choice: &Choice, request: &Request) -> bool {
    request.id().is_some_and(|id| state.pool.borrow().is_carrier_open(choice.address, id))
}

async fn send(
    state: &Rc<EntryState>,
    choice: &Choice,
    request: &Request,
    deadline: Duration,
    mut connection: UpstreamConnection,
    in_flight: &mut InFlight,
) -> io::Result<AttemptOutcome> {
    let time_left = deadline.saturating_sub(state.clock.now());
    let message = encode_request(request, time_left, |head| {
        head.field(headers::EXPECT_INSTANCE, choice.id.as_bytes());
    });
    // Establishing the connection, or the wait for the link, may have taken most of the time in
    // which an upstream that leaves or pauses, or an evacuated zone, may still get requests.
    let takes_work = || state.balancer.borrow().takes_work(&choice.id, state.clock.now());
    connection.prepare_write(message.remaining());
    let connection_use = ConnectionUse::new(&connection);
    if !state.link.write_if(&mut connection.stream, message, takes_work).await? {
        return Ok(AttemptOutcome::LeftService);
    }
    in_flight.record_sent();
    let sent_at = state.clock.now();
    let on_head =
        |head: &ResponseHead| record_notice(state, choice, head, NoticeSource::Response, sent_at);
    let (pool, address) = (&state.pool, choice.address);
    let (head, body) = receive(state, pool, address, request, connection, on_head).await?;
    let load = headers::reported_load(&head.headers);
    let says_not_run = headers::is_not_run(&head.headers) || head.status == 421;
    if says_not_run && request.is_named_by(&head) {
        let (status, connection) = (head.status, connection_use);
        return Ok(AttemptOutcome::NotRun { status, load, connection });
    }
    if says_not_run {
        state.metrics.record_disbelieved_refusal("unnamed");
        return Err(io::Error::other(UNNAMED_REFUSAL));
    }
    if headers::promises_not_run(head.status) {
        state.metrics.record_disbelieved_refusal("unmarked");
        return Err(io::Error::other(UNMARKED_REFUSAL));
    }
    Ok(AttemptOutcome::Responded {
        response: Response::from_upstream(head.status, head.headers, body),
        load,
    })
}

/// Removes and returns an idle connection that can be used for a request, if any. A request gets
/// none that has carried its id, since a late copy of an earlier response would bear the id too.
/// `HEAD` requests and those without an id get none at all.
pub(super) fn take_pooled(
    pool: &RefCell<ConnectionPool>,
    address: SocketAddr,
    request: &Request,
) -> Option<UpstreamConnection> {
    if !shares_connections(request) {
        return None;
    }
    pool.borrow_mut().take(address, request.id()?)
}

/// Returns whether a request may use a connection that carries others. The length of a response's
/// body depends on whether the method is `HEAD`, so that a late response to a request with another
/// method would be read wrongly.
fn shares_connections(request: &Request) -> bool {
    request.head.method != "HEAD"
}

/// Returns whether a request needs a connection beside those to the address, as the idle ones have
/// carried its id.
pub(super) fn needs_extra_connection(
    state: &EntryState,
    pool: &RefCell<ConnectionPool>,
    address: SocketAddr,
    request: &Request,
) -> bool {
    let Some(id) = request.id() else { return false };
    if !pool.borrow().has_carried(address, id) {
        return false;
    }
    state.metrics.record_extra_connection();
    info!(
        target: REQUEST_TARGET,
        request = id,
        %address,
        "idle connection has carried the id; opening another"
    );
    true
}

/// Reads the response to a request that was sent. `on_head` gets its head as soon as it has
/// arrived. The connection is put into the pool if it can be reused; not after a response
/// without the request's id, since those to later requests would not have theirs either, nor once
/// it has carried as many requests as are remembered.
///
/// # Errors
///
/// Returns an error if the connection fails or the response is malformed.
pub(super) async fn receive(
    state: &EntryState,
    pool: &RefCell<ConnectionPool>,
    address: SocketAddr,
    request: &Request,
    mut connection: UpstreamConnection,
    on_head: impl FnOnce(&ResponseHead),
) -> io::Result<(ResponseHead, Body)> {
    let limits =
        BodyLimits { max_bytes: state.settings.response_max_bytes(), memory: &state.memory };
    if let Some(id) = request.id() {
        connection.carried.record(id);
    }
    let on_skipped = |head: &ResponseHead, port| record_skipped(state, request, head, port);
    let (head, body) = read_response(&mut connection, request, limits, on_head, on_skipped).await?;
    let may_carry_more = shares_connections(request)
        && head.keeps_alive
        && connection.buffer.is_empty()
        && request.is_named_by(&head)
        && !connection.carried.is_full();
    if may_carry_more {
        let mut pool = pool.borrow_mut();
        // An extra connection takes the place of the one that was passed over.
        if let Some(id) = request.id().filter(|_| connection.is_extra) {
            pool.close_carried(address, id);
        }
        pool.put(address, connection, keep_alive_timeout(&head));
    }
    Ok((head, body))
}

/// Counts and logs a response that is skipped while that to a request is awaited.
fn record_skipped(state: &EntryState, request: &Request, head: &ResponseHead, local_port: u16) {
    state.metrics.record_skipped_response();
    info!(
        target: REQUEST_TARGET,
        request = request.id(),
        response_to = headers::request_id(&head.headers),
        status = head.status,
        local_port,
        "response to another request skipped"
    );
}

/// Encodes a request that is forwarded; `write_fields` adds fields for the receiver.
pub(super) fn encode_request(
    request: &Request,
    time_left: Duration,
    write_fields: impl FnOnce(&mut HeadWriter),
) -> Message {
    let mut head = HeadWriter::with_request(&request.head.method, &request.head.target);
    let fields = &request.head.headers;
    let authority = request.head.authority.as_deref();
    if let Some(authority) = authority {
        head.field("Host", authority.as_bytes());
    }
    let is_replaced = |name: &str| authority.is_some() && name.eq_ignore_ascii_case("host");
    let connection_options = fields.connection_options();
    for (name, value) in fields.iter() {
        let is_forwarded = !is_stripped(name, &connection_options)
            && !headers::is_set_by_system(name)
            && !name.eq_ignore_ascii_case("expect")
            && !is_replaced(name);
        if is_forwarded {
            head.field(name, value);
        }
    }
    head.number(headers::DEADLINE_MS, time_left.as_millis() as u64);
    write_fields(&mut head);
    if !request.body.is_empty() || request.head.framing != Framing::Length(0) {
        head.number("Content-Length", request.body.len() as u64);
    }
    head.finish_with(request.body.pieces())
}

/// Returns the timeout in the response's `Keep-Alive` field, if any.
fn keep_alive_timeout(head: &ResponseHead) -> Option<Duration> {
    let text = head.headers.get_str("keep-alive")?;
    let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(Duration::from_secs)
}
