//! Serves the calls of other instances.

use std::{future::Future, io, net::SocketAddr, pin::Pin, sync::Arc};

use bytes::Bytes;
use futures_util::SinkExt;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time,
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use super::{
    FRAME_MAX_BYTES, MeshMessage, QUEUE_LEN, RETRY_DELAY, UNACKNOWLEDGED_MAX, codec,
    configure_stream, is_within_limit, next_frame,
};
use crate::net::wire::{decode, encode};

/// Handles one call: takes the request and the address of the peer, and returns
/// the reply, if there is one.
pub type MeshHandler<Req, Rep> =
    Arc<dyn Fn(Req, SocketAddr) -> Pin<Box<dyn Future<Output = Option<Rep>> + Send>> + Send + Sync>;

/// Serves the calls of other instances and never returns. A call for which the
/// handler returns `None` gets no reply.
pub async fn serve_mesh<Req, Rep>(listener: TcpListener, handler: MeshHandler<Req, Rep>)
where
    Req: DeserializeOwned + Send + 'static,
    Rep: Serialize + Send + 'static,
{
    serve_mesh_with_limit(listener, handler, FRAME_MAX_BYTES).await;
}

/// Serves calls like [`serve_mesh`] with another limit on the size of a call. A connection on
/// which a larger one arrives is closed before the call is read.
pub async fn serve_mesh_with_limit<Req, Rep>(
    listener: TcpListener,
    handler: MeshHandler<Req, Rep>,
    call_max_bytes: usize,
) where
    Req: DeserializeOwned + Send + 'static,
    Rep: Serialize + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                configure_stream(&stream, UNACKNOWLEDGED_MAX);
                tokio::spawn(serve_peer(stream, peer, handler.clone(), call_max_bytes));
            }
            Err(error) => {
                tracing::warn!(%error, "can't accept a connection from another instance; retrying");
                time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_peer<Req, Rep>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: MeshHandler<Req, Rep>,
    call_max_bytes: usize,
) where
    Req: DeserializeOwned + Send + 'static,
    Rep: Serialize + Send + 'static,
{
    let (read_half, write_half) = stream.into_split();
    let mut read = FramedRead::new(read_half, codec(call_max_bytes));
    let (replies, queue) = mpsc::channel::<Bytes>(QUEUE_LEN);
    tokio::spawn(write_replies(FramedWrite::new(write_half, codec(FRAME_MAX_BYTES)), queue));
    while let Some(frame) = next_frame(&mut read, peer).await {
        let Ok(MeshMessage { id, reply_max_bytes, body }) = decode::<MeshMessage<Req>>(&frame)
        else {
            tracing::warn!(%peer, "can't decode a call from another instance; disconnecting it");
            return;
        };
        let (replies, reply) = (replies.clone(), handler(body, peer));
        tokio::spawn(async move {
            let Some(body) = reply.await else { return };
            let max_bytes = reply_max_bytes.unwrap_or(FRAME_MAX_BYTES).min(FRAME_MAX_BYTES);
            if let Ok(frame) = encode(&MeshMessage { id, reply_max_bytes: None, body })
                && is_within_limit(&frame, max_bytes, peer)
            {
                replies.send(Bytes::from(frame)).await.ok();
            }
        });
    }
}

async fn write_replies<W>(
    mut write: FramedWrite<W, LengthDelimitedCodec>,
    mut queue: mpsc::Receiver<Bytes>,
) -> io::Result<()>
where
    W: tokio::io::AsyncWrite + Unpin,
{
    while let Some(frame) = queue.recv().await {
        write.send(frame).await?;
    }
    Ok(())
}
