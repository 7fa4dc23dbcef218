//! Bounds what the operating system holds of a connection.
//!
//! Bytes that were received and not read, and bytes that were written and not acknowledged, count
//! as memory of the process. By default, each buffer may grow to several MiB.

use std::{io, net::SocketAddr};

use bytes::Buf;
use rustix::net::SendFlags;
use socket2::SockRef;
use tokio::{
    io::Interest,
    net::{TcpListener, TcpStream},
};

/// The maximum length of a piece that is sent at once by [`send_bounded`].
const PIECE_MAX_BYTES: usize = 4 * 1024;

/// Sets the size of the send buffer of all connections that a listener accepts from now on.
pub(crate) fn set_send_buffer_of_accepted(listener: &TcpListener, bytes: usize) {
    log_failure(SockRef::from(listener).set_send_buffer_size(bytes), listener.local_addr());
}

/// Sets the size of a connection's send buffer. The system takes up to twice as much.
pub(crate) fn set_send_buffer(stream: &TcpStream, bytes: usize) {
    log_failure(SockRef::from(stream).set_send_buffer_size(bytes), stream.local_addr());
}

/// Sets the size of a connection's receive buffer. The system takes up to twice as much.
pub(crate) fn set_receive_buffer(stream: &TcpStream, bytes: usize) {
    log_failure(SockRef::from(stream).set_recv_buffer_size(bytes), stream.local_addr());
}

fn log_failure(result: io::Result<()>, address: io::Result<SocketAddr>) {
    if let Err(error) = result {
        let address = address.ok();
        tracing::debug!(%error, ?address, "can't set the size of a socket's buffer");
    }
}

/// Writes the next piece of a message, so that no more than the send buffer and one piece wait to
/// be sent.
///
/// The system adds to the last packet that waits without regard to the size of the buffer, so each
/// piece is marked as complete.
///
/// # Errors
///
/// Returns an error if the connection fails.
pub(crate) async fn send_bounded(stream: &TcpStream, message: &mut impl Buf) -> io::Result<()> {
    let chunk = message.chunk();
    let piece = &chunk[..chunk.len().min(PIECE_MAX_BYTES)];
    let send = || {
        let flags = SendFlags::EOR | SendFlags::NOSIGNAL;
        rustix::net::send(stream, piece, flags).map_err(io::Error::from)
    };
    let length = stream.async_io(Interest::WRITABLE, send).await?;
    message.advance(length);
    Ok(())
}
