//! Serves warp filters with limits on what a peer may do, and lets requests
//! in flight finish when it stops.

use std::{convert::Infallible, future::Future, net::SocketAddr, time::Duration};

use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::net::{TcpListener, TcpStream};
use tower_service::Service as TowerService;
use warp::reply::Response;

/// Holds the address of the peer, as an extension of its requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerAddr(pub SocketAddr);

/// Bounds what a peer may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HttpLimits {
    /// The longest that the headers of a request may take to arrive.
    pub header_timeout: Duration,
    /// The most bytes of the headers of a request that are read at all. Far
    /// fewer are passed on; between the two, the answer can say why.
    pub header_max_bytes: usize,
    /// The most headers of a request that are read at all.
    pub headers_max: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            header_max_bytes: 1024 * 1024,
            headers_max: 1000,
        }
    }
}

/// The pause after an accept failed, as it does without free descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves `service` on `listener` until `stop` ends, then waits for the
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
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stop => break,
        };
        match accepted {
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
    // Answers are small next to the delays between regions.
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
        .serve_connection(TokioIo::new(stream), serve);
    let connection = graceful.watch(connection);
    // A peer that breaks its connection is no news.
    tokio::spawn(async move { connection.await.ok() });
}
