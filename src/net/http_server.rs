//! Serves HTTP/1.1 with limits per connection and a graceful shutdown.

use std::{
    convert::Infallible,
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use http_body::{Body, Frame, SizeHint};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::net::{TcpListener, TcpStream};
use tokio_io_timeout::TimeoutStream;
use tower_service::Service as TowerService;
use warp::reply::Response;

use super::{
    connections::{ConnectionSlot, Connections},
    socket_buffers::set_send_buffer_of_accepted,
};
use crate::core::ConnectionLimits;

/// Represents the address of the peer. It is added to the extensions of every
/// request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerAddr(pub SocketAddr);

/// Represents the limits on the requests of a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HttpLimits {
    /// The maximum time until the headers of a request have been received.
    pub header_timeout: Duration,
    /// The maximum size of the request headers that are read. The limit for
    /// forwarding a request is much lower, so that the response to a request
    /// between the two limits can state the reason.
    pub header_max_bytes: usize,
    /// The maximum number of request headers that are read.
    pub headers_max: usize,
    /// Whether a connection serves further requests after the first.
    pub keep_alive: bool,
    /// The maximum time in which the peer takes nothing of a response.
    pub write_timeout: Duration,
    /// The size of a connection's send buffer. The system takes up to twice as much.
    pub send_buffer_bytes: usize,
    /// The limits on the connections. One on which no request is in progress is closed to make
    /// room for another.
    pub connections: ConnectionLimits,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            header_max_bytes: 64 * 1024,
            headers_max: 1000,
            keep_alive: true,
            write_timeout: Duration::from_secs(15),
            send_buffer_bytes: 64 * 1024,
            connections: ConnectionLimits {
                max_count: 1024,
                max_bytes: 1024 * CONNECTION_BYTES,
                connection_bytes: CONNECTION_BYTES,
            },
        }
    }
}

/// What a connection takes whose head and response are buffered, in bytes.
const CONNECTION_BYTES: usize = 128 * 1024;

/// The delay after a failure to accept a connection, for example when no file
/// descriptors are free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves `service` on `listener` until `stop` completes, then waits for the
/// requests in flight.
pub async fn serve_http<S>(
    listener: TcpListener,
    service: S,
    limits: HttpLimits,
    stop: impl Future<Output = ()> + Send,
) where
    S: TowerService<hyper::Request<Incoming>, Response = Response, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    let graceful = GracefulShutdown::new();
    set_send_buffer_of_accepted(&listener, limits.send_buffer_bytes);
    let connections = Connections::new(limits.connections);
    tokio::pin!(stop);
    loop {
        let accept_result = tokio::select! {
            result = listener.accept() => result,
            () = &mut stop => break,
        };
        match accept_result {
            Ok((stream, peer)) => {
                let Some(slot) = connections.admit_next().await else { continue };
                serve_connection((stream, peer), slot, &service, limits, &graceful);
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_connection<S>(
    (stream, peer): (TcpStream, SocketAddr),
    slot: ConnectionSlot,
    service: &S,
    limits: HttpLimits,
    graceful: &GracefulShutdown,
) where
    S: TowerService<hyper::Request<Incoming>, Response = Response, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    // Nagle's algorithm is disabled: responses are small, and waiting for an
    // acknowledgement would delay them by the round trip between regions.
    let _ = stream.set_nodelay(true);
    slot.set_closable_after(Duration::ZERO);
    let slot = Arc::new(slot);
    let service = service.clone();
    let busy_slot = slot.clone();
    let serve = service_fn(move |mut request: hyper::Request<Incoming>| {
        request.extensions_mut().insert(PeerAddr(peer));
        let busy = BusyConnection::new(busy_slot.clone());
        let response = service.clone().call(request);
        async move {
            let response = response.await?;
            Ok::<_, Infallible>(response.map(|body| BusyBody { body, _busy: busy }))
        }
    });
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(limits.write_timeout));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_max_bytes)
        .max_headers(limits.headers_max)
        .keep_alive(limits.keep_alive)
        .serve_connection(TokioIo::new(Box::pin(stream)), serve);
    let connection = graceful.watch(connection);
    // Errors are not logged, since peers may close their connections at any time.
    tokio::spawn(async move {
        tokio::select! {
            _ = connection => {}
            () = slot.closed() => {}
        }
    });
}

/// Keeps a connection from being closed to make room for others, until dropped.
struct BusyConnection(Arc<ConnectionSlot>);

impl BusyConnection {
    fn new(slot: Arc<ConnectionSlot>) -> Self {
        slot.set_not_closable();
        Self(slot)
    }
}

impl Drop for BusyConnection {
    fn drop(&mut self) {
        self.0.set_closable_after(Duration::ZERO);
    }
}

/// The body of a response on a connection that is busy until it has been written.
struct BusyBody<B> {
    body: B,
    _busy: BusyConnection,
}

impl<B: Body + Unpin> Body for BusyBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
