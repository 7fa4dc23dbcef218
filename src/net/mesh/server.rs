//! Serves the calls of other instances.

use std::{future::Future, io, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::SinkExt;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf},
    sync::{Semaphore, mpsc},
    time,
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use super::{
    FRAME_MAX_BYTES, MeshMessage, QUEUE_LEN, RETRY_DELAY, UNACKNOWLEDGED_MAX,
    call_decoder::{Arrival, Call, CallDecoder},
    codec, configure_stream, is_within_limit, next_frame,
};
use crate::{
    core::{ConnectionLimits, MessageKind},
    net::{
        SharedBudget,
        connections::{ConnectionSlot, Connections},
        held_bytes::HeldBytes,
        socket_buffers::set_receive_buffer,
        wire::encode,
    },
};

/// Handles one call: takes the request and the address of the peer, and returns
/// the reply, if there is one.
pub type MeshHandler<Req, Rep> =
    Arc<dyn Fn(Req, SocketAddr) -> Pin<Box<dyn Future<Output = Option<Rep>> + Send>> + Send + Sync>;

/// Represents the limits on the calls of other instances.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// The maximum size of a call, in bytes. A connection on which a larger one arrives is closed
    /// before the call is read.
    pub call_max_bytes: usize,
    /// The limits on the connections. One on which no call has arrived yet is closed to make room
    /// for another.
    pub connections: ConnectionLimits,
    /// The memory that calls and replies take. A connection for which there is none is closed.
    pub memory: SharedBudget,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            call_max_bytes: FRAME_MAX_BYTES,
            connections: ConnectionLimits {
                max_count: CONNECTIONS_MAX,
                max_bytes: CONNECTIONS_MAX,
                connection_bytes: 1,
            },
            memory: SharedBudget::new(4 * FRAME_MAX_BYTES),
        }
    }
}

/// The maximum number of connections unless a server has other limits.
const CONNECTIONS_MAX: usize = 1024;
/// The maximum number of calls of one connection that are handled at the same time.
const CALLS_MAX: usize = 256;
/// How long the rest of a call is awaited at least. A call that is still incomplete after twice
/// that time ends its connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// The memory counted for the receive buffer of a connection while a long call arrives.
const LONG_RECEIVE_BUFFER_BYTES: usize = 1024 * 1024;
/// The size of the receive buffer for a long call if there is no memory for a larger one.
const RECEIVE_BUFFER_MIN_BYTES: usize = 64 * 1024;

/// Serves the calls of other instances and never returns. A call for which the
/// handler returns `None` gets no reply.
pub async fn serve_mesh<Req, Rep>(listener: TcpListener, handler: MeshHandler<Req, Rep>)
where
    Req: DeserializeOwned + Send + 'static,
    Rep: Serialize + Send + 'static,
{
    serve_mesh_with_limits(listener, handler, ServerLimits::default()).await;
}

/// Serves calls like [`serve_mesh`] with other limits.
pub async fn serve_mesh_with_limits<Req, Rep>(
    listener: TcpListener,
    handler: MeshHandler<Req, Rep>,
    limits: ServerLimits,
) where
    Req: DeserializeOwned + Send + 'static,
    Rep: Serialize + Send + 'static,
{
    let connections = Connections::new(limits.connections);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let Some(slot) = connections.admit_next().await else {
                    tracing::warn!(%peer, "too many connections from other instances; closing one");
                    continue;
                };
                configure_stream(&stream, UNACKNOWLEDGED_MAX);
                let (handler, limits) = (handler.clone(), limits.clone());
                tokio::spawn(async move {
                    slot.set_closable_after(Duration::ZERO);
                    tokio::select! {
                        () = serve_peer(stream, peer, handler, &limits, &slot) => {}
                        () = slot.closed() => {}
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "can't accept a connection from another instance; retrying");
                time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// A reply that waits to be written.
struct QueuedReply {
    frame: Bytes,
    _held: HeldBytes,
}

async fn serve_peer<Req, Rep>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: MeshHandler<Req, Rep>,
    limits: &ServerLimits,
    slot: &ConnectionSlot,
) where
    Req: DeserializeOwned + Send + 'static,
    Rep: Serialize + Send + 'static,
{
    let (read_half, write_half) = stream.into_split();
    let decoder = CallDecoder::new(codec(limits.call_max_bytes), &limits.memory);
    let mut read = FramedRead::new(read_half, decoder);
    let (replies, queue) = mpsc::channel::<QueuedReply>(QUEUE_LEN);
    tokio::spawn(write_replies(FramedWrite::new(write_half, codec(FRAME_MAX_BYTES)), queue));
    let calls = Arc::new(Semaphore::new(CALLS_MAX));
    while let Some(call) = next_call(&mut read, peer, limits).await {
        let Ok(MeshMessage { id, reply_max_bytes, body }) = call.decode::<MeshMessage<Req>>()
        else {
            tracing::warn!(%peer, "can't decode a call from another instance; disconnecting it");
            return;
        };
        drop(call);
        slot.set_not_closable();
        let Ok(call) = calls.clone().acquire_owned().await else { return };
        let (replies, reply) = (replies.clone(), handler(body, peer));
        let mut held = HeldBytes::new(&limits.memory, MessageKind::Response);
        tokio::spawn(async move {
            let _call = call;
            let Some(body) = reply.await else { return };
            let max_bytes = reply_max_bytes.unwrap_or(FRAME_MAX_BYTES).min(FRAME_MAX_BYTES);
            let Ok(frame) = encode(&MeshMessage { id, reply_max_bytes: None, body }) else {
                return;
            };
            if !is_within_limit(&frame, max_bytes, peer) {
                return;
            }
            if let Err(error) = held.resize(frame.len()) {
                tracing::warn!(%peer, %error, "a reply to another instance is dropped");
                return;
            }
            replies.send(QueuedReply { frame: Bytes::from(frame), _held: held }).await.ok();
        });
    }
}

/// Returns the next call, or `None` at the end of the connection or if the rest of a call does not
/// arrive.
async fn next_call(
    read: &mut FramedRead<OwnedReadHalf, CallDecoder>,
    peer: SocketAddr,
    limits: &ServerLimits,
) -> Option<Call> {
    let mut is_overdue = false;
    let mut long_buffer = HeldBytes::new(&limits.memory, MessageKind::Request);
    loop {
        match time::timeout(CALL_TIMEOUT, next_frame(read, peer, limits.call_max_bytes)).await {
            Ok(Some(Arrival::LongCallBegan)) => {
                is_overdue = false;
                // The system stops tuning a buffer whose size is set.
                if long_buffer.resize(LONG_RECEIVE_BUFFER_BYTES).is_err() {
                    set_receive_buffer(read.get_ref().as_ref(), RECEIVE_BUFFER_MIN_BYTES);
                }
            }
            Ok(Some(Arrival::Call(call))) => return Some(call),
            Ok(None) => return None,
            Err(_) if !is_receiving(read) => is_overdue = false,
            Err(_) if is_overdue => {
                tracing::warn!(%peer, "a call did not arrive to its end; disconnecting");
                return None;
            }
            Err(_) => is_overdue = true,
        }
    }
}

/// Returns whether a part of a call has arrived.
fn is_receiving(read: &FramedRead<OwnedReadHalf, CallDecoder>) -> bool {
    !read.read_buffer().is_empty() || read.decoder().is_receiving_long_call()
}

async fn write_replies<W>(
    mut write: FramedWrite<W, LengthDelimitedCodec>,
    mut queue: mpsc::Receiver<QueuedReply>,
) -> io::Result<()>
where
    W: tokio::io::AsyncWrite + Unpin,
{
    while let Some(reply) = queue.recv().await {
        write.send(reply.frame).await?;
    }
    Ok(())
}
