//! Serves callers' connections. Pipelined requests run concurrently; their
//! responses are written in order.

mod input;
mod output;

use std::{collections::VecDeque, io, net::IpAddr, rc::Rc, time::Duration};

use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesOrdered};
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    time::Instant,
};
use tracing::{info, warn};

use self::input::{Input, ReadState};
use super::{
    ready_response::{AnsweredRequest, OpenRequest, ReadyResponse, Sender},
    refusal::{RETRY_AFTER_DEFAULT, refuse, refuse_for_stop, refuse_without_configuration},
    response::Response,
    state::EntryState,
};
use crate::{
    core::{StopPhase, routing::CallerLimits},
    net::{
        connections::{ConnectionSlot, Connections},
        mesh::configure_stream,
        socket_buffers::{set_receive_buffer, set_send_buffer_of_accepted},
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
/// The idle timeout of connections while the instance stops.
const STOP_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The part of the idle timeout after which callers use an idle connection no more.
const REUSED_IDLE_FRACTION: f64 = 0.8;
/// The size of the send buffer of connections whose responses are short.
const SEND_BUFFER_BYTES: usize = 4 * 1024;
/// The size of the receive buffer of connections whose requests are short.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
/// What a peer may add to the head of a request that it hands over, in bytes.
const PEER_FIELDS_MAX_BYTES: u64 = 4 * 1024;

/// Accepts connections for as long as the process runs.
pub(super) async fn accept(state: Rc<EntryState>, listener: TcpListener, sender: Sender) {
    set_send_buffer_of_accepted(&listener, SEND_BUFFER_BYTES);
    let surplus = Connections::new(state.settings.surplus_connections());
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                // Callers may pause while they read a response.
                configure_stream(&stream, state.limits().idle_timeout);
                set_receive_buffer(&stream, RECEIVE_BUFFER_BYTES);
                let slot = state.admit_connection(sender);
                let is_surplus = slot.is_none();
                if is_surplus {
                    // Connections that make room are closed before more are accepted.
                    tokio::task::yield_now().await;
                }
                let Some(slot) = slot.or_else(|| surplus.admit()) else { continue };
                if is_surplus {
                    slot.set_closable_after(Duration::ZERO);
                }
                let place = Place { slot, is_surplus };
                let connection =
                    CallerConnection::new(state.clone(), stream, sender, peer.ip(), place);
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

/// The place of a connection among those of its listener.
struct Place {
    slot: ConnectionSlot,
    /// Whether there was no room for the connection, so that its requests are refused.
    is_surplus: bool,
}

/// The state of one caller's connection.
struct CallerConnection {
    state: Rc<EntryState>,
    sender: Sender,
    sender_ip: IpAddr,
    stream: TcpStream,
    place: Place,
    input: Input,
    read_state: ReadState,
    pending: FuturesOrdered<PendingResponse>,
    /// The responses that became ready while another was written, in their order.
    ready: VecDeque<ReadyResponse>,
    /// When the connection was accepted, last received the first byte, a part of the body
    /// or the end of a request, or last had a response written to it.
    last_active_at: Instant,
}

impl CallerConnection {
    fn new(
        state: Rc<EntryState>,
        stream: TcpStream,
        sender: Sender,
        sender_ip: IpAddr,
        place: Place,
    ) -> Self {
        Self {
            input: Input::new(&state.memory),
            state,
            sender,
            sender_ip,
            stream,
            place,
            read_state: ReadState::Head,
            pending: FuturesOrdered::new(),
            ready: VecDeque::new(),
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
            if let Some(response) = self.ready.pop_front() {
                self.write_response(response).await?;
                continue;
            }
            if self.is_finished() && self.pending.is_empty() {
                return Ok(());
            }
            let wants_input = self.wants_input();
            if wants_input && !self.is_finished() && self.prepare_input().is_err() {
                self.refuse(None, "memory");
                continue;
            }
            let was_idle = self.is_idle();
            if was_idle && self.in_progress() == 0 && !self.place.is_surplus {
                // Callers no longer use it then.
                let reuse_max = self.state.limits().idle_timeout.mul_f64(REUSED_IDLE_FRACTION);
                self.place.slot.set_closable_after(reuse_max);
            }
            // Further bytes of a head don't: sent one by one, they would keep the connection open
            // for ever.
            let input_renews_timeout =
                was_idle || matches!(self.read_state, ReadState::Body { .. });
            let deadline = self.read_deadline();
            tokio::select! {
                biased;
                _ = stop_phases.changed() => {}
                () = self.place.slot.closed() => return Ok(()),
                Some(response) = self.pending.next() => {
                    self.write_response(response).await?;
                }
                read = self.stream.read_buf(&mut self.input.buffer), if wants_input => {
                    if read? == 0 {
                        return Ok(());
                    }
                    if input_renews_timeout {
                        self.last_active_at = Instant::now();
                    }
                    if self.is_finished() {
                        self.input.buffer.clear();
                    } else if was_idle && self.in_progress() == 0 && !self.place.is_surplus {
                        self.place.slot.set_closable_after(self.state.limits().header_timeout);
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
                    if self.is_past_body_deadline() {
                        self.refuse(None, "timeout");
                    } else {
                        self.reject(408, "slow_request", None);
                    }
                }
            }
        }
    }

    /// Refuses a request whose body is still arriving, if the process is about to exit.
    fn refuse_partial_request(&mut self) {
        let is_refusing = self.state.stop_phase() >= StopPhase::Refusing;
        if !is_refusing || self.in_progress() > 0 {
            return;
        }
        if let Some(request) = self.take_partial_request() {
            let response = refuse_for_stop(&self.state, request.id());
            self.push_last_response(response, Some(request));
        }
    }

    /// Refuses the request that is arriving, of which nothing was sent on. `request` is given if its
    /// head has just arrived.
    fn refuse(&mut self, request: Option<AnsweredRequest>, reason: &'static str) {
        let request = request.or_else(|| self.take_partial_request());
        let id = request.as_ref().map_or("", AnsweredRequest::id);
        let response = refuse(&self.state, id, reason, RETRY_AFTER_DEFAULT);
        self.push_last_response(response.with_connection_close(), request);
    }

    /// Responds with an error and stops reading from the connection.
    fn reject(&mut self, status: u16, error: &str, request: Option<AnsweredRequest>) {
        let request = request.or_else(|| self.take_partial_request());
        let (sender, config) = (self.sender, self.state.config_version());
        info!(status, error, ?sender, config, "request rejected; closing the connection");
        self.push_last_response(Response::local(status, error).with_connection_close(), request);
    }

    /// Rejects a request that is too large. Before a configuration is known, the request is
    /// refused like any other, and so is one of a peer, whose configuration may allow it.
    fn reject_size(&mut self, status: u16, error: &str, request: Option<AnsweredRequest>) {
        if !self.state.has_configuration() {
            let response = refuse_without_configuration(&self.state, "");
            self.push_last_response(response.with_connection_close(), request);
        } else if self.sender == Sender::Peer {
            self.refuse(request, "over_limits");
        } else {
            self.reject(status, error, request);
        }
    }

    /// Queues the last response of the connection.
    fn push_last_response(&mut self, response: Response, request: Option<AnsweredRequest>) {
        self.read_state = ReadState::Finished;
        self.input.release();
        let _open_request = OpenRequest::new(&self.state);
        let ready = ReadyResponse { response, request, has_unread_input: true, _open_request };
        self.pending.push_back(Box::pin(std::future::ready(ready)));
    }

    /// Returns whether to read from the connection.
    ///
    /// Input is read even while no further request is started, to notice when the
    /// caller disconnects. What follows the last request is discarded.
    fn wants_input(&self) -> bool {
        self.is_finished()
            || self.in_progress() < self.pipelined_max()
            || self.input.buffer.len() < PIPELINED_MAX_BYTES
    }

    /// Returns how many requests are in progress or have a response that is not written.
    fn in_progress(&self) -> usize {
        self.pending.len() + self.ready.len()
    }

    /// Returns how many requests may be in progress. While the instance stops, the connection
    /// is closed after the response to the last one.
    fn pipelined_max(&self) -> usize {
        if self.state.stop_phase() > StopPhase::Serving { 1 } else { PIPELINED_MAX }
    }

    fn is_finished(&self) -> bool {
        matches!(self.read_state, ReadState::Finished)
    }

    /// Returns the limits on what the sender may send. The body of what a peer hands over was
    /// within those of its own configuration.
    fn sender_limits(&self) -> CallerLimits {
        let limits = self.state.limits();
        match self.sender {
            Sender::Caller => limits,
            Sender::Peer => {
                let header_max_bytes =
                    limits.header_max_bytes.saturating_add(PEER_FIELDS_MAX_BYTES);
                CallerLimits { header_max_bytes, body_max_bytes: u64::MAX, ..limits }
            }
        }
    }

    /// Returns whether no part of the next request has arrived.
    fn is_idle(&self) -> bool {
        matches!(self.read_state, ReadState::Head) && self.input.buffer.is_empty()
    }

    /// Returns whether the caller of the request that is arriving no longer waits.
    fn is_past_body_deadline(&self) -> bool {
        let now = Instant::now();
        matches!(&self.read_state, ReadState::Body { deadline, .. } if *deadline <= now)
    }

    /// Returns when the connection times out, unless a request is pending.
    ///
    /// While a request is arriving, the longer of the idle timeout and the header timeout
    /// applies: to its whole head, and to each wait for more of its body, of which nothing is
    /// awaited beyond the request's deadline.
    fn read_deadline(&self) -> Instant {
        let limits = self.sender_limits();
        if !self.is_idle() {
            let timeout = limits.idle_timeout.max(limits.header_timeout);
            let deadline = self.last_active_at + timeout;
            return match &self.read_state {
                ReadState::Body { deadline: body_deadline, .. } => deadline.min(*body_deadline),
                _ => deadline,
            };
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
