//! A small HTTP server whose requests are handled by one closure.

use std::{
    convert::Infallible,
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::net::{TcpListener, UdpSocket};
use tower_service::Service;
use warp::reply::Response;

use super::node_error::NodeError;
use crate::net::{HttpLimits, serve_http};

/// Represents a request with its whole body.
#[derive(Clone, Debug)]
pub(super) struct HttpRequest {
    pub(super) method: String,
    pub(super) path: String,
    pub(super) query: String,
    pub(super) body: Bytes,
}

/// Represents a response with its whole body.
#[derive(Clone, Debug)]
pub(super) struct HttpResponse {
    pub(super) status: StatusCode,
    body: Bytes,
    content_type: &'static str,
}

/// The closure that handles the requests of a server.
pub(super) type HttpHandler =
    Arc<dyn Fn(HttpRequest) -> Pin<Box<dyn Future<Output = HttpResponse> + Send>> + Send + Sync>;

/// The maximum size of a request body.
const BODY_MAX_BYTES: usize = 16 * 1024 * 1024;

impl HttpResponse {
    /// Creates a response in plain text.
    pub(super) fn text(status: StatusCode, text: &str) -> Self {
        Self { status, body: Bytes::copy_from_slice(text.as_bytes()), content_type: "text/plain" }
    }

    /// Creates a successful response from encoded JSON.
    pub(super) fn json(body: impl Into<Bytes>) -> Self {
        Self { status: StatusCode::OK, body: body.into(), content_type: "application/json" }
    }

    fn into_response(self) -> Response {
        let mut response = Response::new(self.body.into());
        *response.status_mut() = self.status;
        let content_type = HeaderValue::from_static(self.content_type);
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        response
    }
}

/// Binds a TCP listener to an address.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub(super) async fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.map_err(|source| NodeError::Listen { address, source })
}

/// Binds a UDP socket to an address.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub(super) async fn listen_udp(address: SocketAddr) -> Result<UdpSocket, NodeError> {
    UdpSocket::bind(address).await.map_err(|source| NodeError::Listen { address, source })
}

/// Serves requests for as long as the process runs.
pub(super) async fn serve_http_handler(listener: TcpListener, handler: HttpHandler) {
    serve_http_handler_until(listener, handler, HttpLimits::default(), std::future::pending())
        .await;
}

/// Serves requests until `stop` completes, and then waits for those that are being read or
/// handled.
pub(super) async fn serve_http_handler_until(
    listener: TcpListener,
    handler: HttpHandler,
    limits: HttpLimits,
    stop: impl Future<Output = ()> + Send,
) {
    let service = HandlerService { handler };
    serve_http(listener, service, limits, stop).await;
}

#[derive(Clone)]
struct HandlerService {
    handler: HttpHandler,
}

impl Service<hyper::Request<Incoming>> for HandlerService {
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response, Infallible>> + Send>>;
    type Response = Response;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: hyper::Request<Incoming>) -> Self::Future {
        let handler = self.handler.clone();
        Box::pin(async move { Ok(handle(handler, request).await.into_response()) })
    }
}

async fn handle(handler: HttpHandler, request: hyper::Request<Incoming>) -> HttpResponse {
    let (head, body) = request.into_parts();
    let body = match Limited::new(body, BODY_MAX_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            let text =
                format!("the body, of which {BODY_MAX_BYTES} bytes are read at most: {error}");
            return HttpResponse::text(StatusCode::BAD_REQUEST, &text);
        }
    };
    handler(HttpRequest {
        method: head.method.as_str().to_owned(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        body,
    })
    .await
}
