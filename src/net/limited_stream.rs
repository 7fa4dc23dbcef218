//! Accepts a limited number of connections for a server that handles them itself.

use std::{
    future::Future,
    io::{self, IoSlice},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use futures_util::{FutureExt, Stream, stream};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
};
use tonic::transport::server::Connected;

use super::connections::{ConnectionSlot, Connections};
use crate::core::ConnectionLimits;

/// A connection that takes a place among those of its listener.
pub(super) struct LimitedStream {
    stream: TcpStream,
    slot: Arc<ConnectionSlot>,
    /// Completes when the connection has to make room for another.
    closed: Pin<Box<dyn Future<Output = ()> + Send>>,
}

/// Returns the connections that a listener accepts, as long as there is room for them. Each may be
/// closed for another until [`ConnectionSlot::set_not_closable`] is called.
pub(super) fn limited_connections(
    listener: TcpListener,
    limits: ConnectionLimits,
) -> impl Stream<Item = io::Result<LimitedStream>> {
    let connections = Connections::new(limits);
    stream::unfold((listener, connections), async |(listener, connections)| {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let Some(slot) = connections.admit_next().await else {
                        tracing::warn!(%peer, "too many connections from other instances; closing one");
                        continue;
                    };
                    // Otherwise, each small frame waits 40 ms for a delayed acknowledgement.
                    stream.set_nodelay(true).ok();
                    let stream = LimitedStream::new(stream, slot);
                    return Some((Ok(stream), (listener, connections)));
                }
                Err(error) => return Some((Err(error), (listener, connections))),
            }
        }
    })
}

impl LimitedStream {
    fn new(stream: TcpStream, slot: ConnectionSlot) -> Self {
        slot.set_closable_after(Duration::ZERO);
        let slot = Arc::new(slot);
        let closing_slot = slot.clone();
        // Reads may go on after the one that fails.
        let closed = Box::pin(async move { closing_slot.closed().await }.fuse());
        Self { stream, slot, closed }
    }
}

impl Connected for LimitedStream {
    type ConnectInfo = Arc<ConnectionSlot>;

    fn connect_info(&self) -> Self::ConnectInfo {
        self.slot.clone()
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.closed.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
