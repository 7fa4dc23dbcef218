//! Serves HTTP/1.1 with limits per connection and a graceful shutdown.

use std::{convert::Infallible, future::Future, net::SocketAddr, time::Duration};

use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::net::{TcpListener, TcpStream};
use tower_service::Service as TowerService;
use warp::reply::Response;

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
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            header_max_bytes: 1024 * 1024,
            headers_max: 1000,
            keep_alive: true,
        }
    }
}

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
    tokio::pin!(stop);
    loop {
        let accept_result = tokio::select! {
            result = listener.accept() => result,
            () = &mut stop => break,
        };
        match accept_result {
            Ok((stream, peer)) => serve_connection(stream, peer, &service, limits, &graceful),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_connection<S>(
    stream: TcpStream,
    peer: SocketAddr,
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
    let service = service.clone();
    let serve = service_fn(move |mut request: hyper::Request<Incoming>| {
        request.extensions_mut().insert(PeerAddr(peer));
        service.clone().call(request)
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_max_bytes)
        .max_headers(limits.headers_max)
        .keep_alive(limits.keep_alive)
        .serve_connection(TokioIo::new(stream), serve);
    let connection = graceful.watch(connection);
    // Errors are not logged, since peers may close their connections at any time.
    tokio::spawn(async move { connection.await.ok() });
}
