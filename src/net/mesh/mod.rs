//! Transports calls between instances over one TCP connection per client.
//!
//! A frame consists of its length and a MessagePack body. Calls have ids, and
//! replies may arrive in any order. A client closes a connection on which a
//! caller stopped waiting for its reply, since a connection can stop delivering
//! data without a reset.

mod call_decoder;
mod client;
mod server;

use std::{fmt, io, net::SocketAddr, time::Duration};

use futures_util::StreamExt;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, FramedRead, LengthDelimitedCodec};

pub(crate) use self::client::ARRIVAL_CHECK_INTERVAL;
pub use self::{
    client::{ClientLimits, MeshClient},
    server::{MeshHandler, ServerLimits, serve_mesh, serve_mesh_with_limits},
};

/// Represents a call or its reply, which have the same id.
#[derive(Debug, Deserialize, Serialize)]
struct MeshMessage<T> {
    #[serde(rename = "n")]
    id: u64,
    /// The maximum length of the reply that the caller takes; calls only.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    reply_max_bytes: Option<usize>,
    #[serde(rename = "b")]
    body: T,
}

/// Represents the reason why a call has no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MeshError {
    /// The call was not sent: the connection could not be established or was
    /// closed, or the queue of calls is full.
    Unreachable,
    /// The call may have arrived, but no reply was received.
    NoReply,
    /// The message can't be encoded.
    Encode,
    /// The message is longer than a frame may be.
    TooLong,
}

impl fmt::Display for MeshError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "the instance is unreachable",
            Self::NoReply => "the instance did not reply",
            Self::Encode => "the message can't be encoded",
            Self::TooLong => "the message is longer than a frame may be",
        })
    }
}

impl std::error::Error for MeshError {}

/// The delay after a failure to connect or to accept a connection.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The maximum frame size. The largest frames hold a chunk of a snapshot or a
/// whole policy.
const FRAME_MAX_BYTES: usize = 64 * 1024 * 1024;
/// The maximum number of queued calls per client and of queued replies per
/// connection.
const QUEUE_LEN: usize = 256;
/// How long data may stay unacknowledged by a receiver that has room for it.
pub(crate) const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(2);

/// Returns what is decoded next, or `None` at the end of the connection, if the frame is longer
/// than `max_bytes`, which the decoder checks, or if there is no memory for it.
async fn next_frame<R, D>(
    read: &mut FramedRead<R, D>,
    peer: SocketAddr,
    max_bytes: usize,
) -> Option<D::Item>
where
    R: tokio::io::AsyncRead + Unpin,
    D: Decoder<Error = io::Error>,
{
    match read.next().await? {
        Ok(frame) => Some(frame),
        Err(error) => {
            match error.kind() {
                io::ErrorKind::InvalidData => {
                    tracing::warn!(%peer, max_bytes, "a message is too long to be read; disconnecting");
                }
                io::ErrorKind::OutOfMemory => {
                    tracing::warn!(%peer, %error, "a message can't be read; disconnecting");
                }
                _ => {}
            }
            None
        }
    }
}

/// Returns whether a frame may be sent, and logs a warning otherwise. The receiver would close
/// the connection, and with it end all other calls.
fn is_within_limit(frame: &[u8], max_bytes: usize, peer: SocketAddr) -> bool {
    let frame_bytes = frame.len();
    if frame_bytes > max_bytes {
        tracing::warn!(%peer, frame_bytes, max_bytes, "a message is too long for its receiver; not sent");
    }
    frame_bytes <= max_bytes
}

fn codec(frame_max_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(frame_max_bytes).new_codec()
}

/// Configures a connection to send small frames without delay and to fail when the peer
/// acknowledges no data for `unacknowledged_max`; see [`set_unacknowledged_max`].
pub(crate) fn configure_stream(stream: &TcpStream, unacknowledged_max: Duration) {
    stream.set_nodelay(true).ok();
    set_unacknowledged_max(stream, Some(unacknowledged_max));
}

/// Sets how long sent data may stay unacknowledged before a connection fails; `None` leaves
/// it to the operating system.
///
/// Data that the receiver has no room for counts as well, so a receiver that may pause while
/// it reads a long message needs a longer time.
pub(crate) fn set_unacknowledged_max(stream: &TcpStream, max: Option<Duration>) {
    socket2::SockRef::from(stream).set_tcp_user_timeout(max).ok();
}
