//! Writes responses to callers' connections.

use std::{io, time::Duration};

use bytes::Buf as _;
use futures_util::{StreamExt, stream::FuturesOrdered};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, timeout, timeout_at},
};

use super::{
    super::{ready_response::ReadyResponse, state::EntryState},
    CallerConnection, RECEIVE_BUFFER_BYTES, ReadState,
};
use crate::{
    core::StopPhase,
    net::{
        connections::ConnectionSlot,
        http1::Message,
        socket_buffers::{set_receive_buffer, set_send_buffer},
    },
};

/// The size up to which a response is written through a small buffer.
const SHORT_RESPONSE_MAX_BYTES: usize = 4 * 1024;
/// The size of the send buffer of a connection with a long response.
const LONG_SEND_BUFFER_BYTES: usize = 32 * 1024;
/// What a connection with a long response takes, in bytes: both buffers, at the size that the
/// system makes of them, and a packet beyond the send buffer.
const LONG_RESPONSE_CONNECTION_BYTES: usize = 192 * 1024;
/// What a connection takes otherwise, in bytes.
const CONNECTION_BYTES: usize = 4 * 1024;
/// The size of the receive buffer while a long response is written for which there is no room
/// for larger buffers.
const RECEIVE_BUFFER_MIN_BYTES: usize = 2 * 1024;
/// How long input may pause after the last response. Closing at once would
/// reset the connection, and the caller could lose the response.
const CLOSE_LINGER: Duration = Duration::from_secs(1);
/// How long input is read at most after the last response.
const CLOSE_LINGER_MAX: Duration = Duration::from_secs(10);

impl CallerConnection {
    /// Writes a response, and closes the connection after the last one.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or if the caller reads too slowly.
    pub(super) async fn write_response(&mut self, ready: ReadyResponse) -> io::Result<()> {
        let is_stopping = self.state.stop_phase() > StopPhase::Serving;
        // Requests behind this one that were sent on are answered before the connection closes.
        let is_last = is_stopping && self.in_progress() == 0;
        let ready = if is_last { ready.with_connection_close() } else { ready };
        self.write_beside_requests(&ready).await?;
        self.last_active_at = Instant::now();
        if ready.response.closes_connection {
            self.read_state = ReadState::Finished;
            self.pending = FuturesOrdered::new();
            self.ready.clear();
            self.stream.shutdown().await?;
            // The caller of a stopping instance doesn't expect the close, and may be sending.
            if ready.has_unread_input || is_stopping {
                self.discard_input().await?;
            }
        }
        Ok(())
    }

    /// Writes a response while the requests behind it go on: their deadlines pass, and upstreams
    /// send their responses, whether or not the caller reads this one.
    async fn write_beside_requests(&mut self, ready: &ReadyResponse) -> io::Result<()> {
        let Self { state, sender, stream, place, pending, ready: queue, .. } = self;
        let writing = write_message(state, stream, &place.slot, ready.encode(*sender));
        tokio::pin!(writing);
        loop {
            tokio::select! {
                biased;
                result = &mut writing => return result,
                Some(response) = pending.next() => queue.push_back(response),
            }
        }
    }

    /// Reads and discards input until the caller closes the connection or pauses, or another
    /// connection needs the place of this one.
    async fn discard_input(&mut self) -> io::Result<()> {
        let deadline = Instant::now() + CLOSE_LINGER_MAX;
        let buffer = &mut self.input.buffer;
        self.place.slot.set_closable_after(Duration::ZERO);
        let discarding = async {
            loop {
                buffer.clear();
                let read = timeout(CLOSE_LINGER, self.stream.read_buf(buffer)).await;
                if !matches!(read, Ok(Ok(length)) if length > 0) {
                    return;
                }
            }
        };
        tokio::select! {
            _ = timeout_at(deadline, discarding) => {}
            () = self.place.slot.closed() => {}
        }
        Ok(())
    }
}

/// Writes a message through buffers that the connection has room for.
async fn write_message(
    state: &EntryState,
    stream: &mut TcpStream,
    slot: &ConnectionSlot,
    message: Message,
) -> io::Result<()> {
    let progress_timeout = state.limits().idle_timeout;
    let link = &state.link;
    if message.remaining() <= SHORT_RESPONSE_MAX_BYTES {
        // A caller that has sent another request has probably read the last response.
        let _ = slot.try_set_bytes(CONNECTION_BYTES);
        return link.write_to_reader_bounded(stream, message, progress_timeout).await;
    }
    if slot.try_set_bytes(LONG_RESPONSE_CONNECTION_BYTES) {
        set_send_buffer(stream, LONG_SEND_BUFFER_BYTES);
        return link.write_to_reader(stream, message, progress_timeout).await;
    }
    set_receive_buffer(stream, RECEIVE_BUFFER_MIN_BYTES);
    link.write_to_reader_bounded(stream, message, progress_timeout).await?;
    set_receive_buffer(stream, RECEIVE_BUFFER_BYTES);
    Ok(())
}
