//! A small HTTP server whose requests are handled by one closure.

use std::{
    convert::Infallible,
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{
    net::{TcpListener, UdpSocket},
    time::timeout,
};
use tower_service::Service;
use warp::reply::Response;

use super::node_error::NodeError;
use crate::{
    core::{ConnectionLimits, MessageKind},
    net::{HttpLimits, SharedBudget, held_bytes::HeldBytes, serve_http},
};

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

/// The limits on the requests of a server.
#[derive(Clone, Debug)]
pub(super) struct HandlerLimits {
    pub(super) http: HttpLimits,
    /// The maximum size of the body of a request, in bytes.
    pub(super) body_max_bytes: usize,
    /// What the bodies of all requests take.
    pub(super) memory: SharedBudget,
}

/// The maximum size of the head of a call.
const HEAD_MAX_BYTES: usize = 16 * 1024;
/// The maximum size of the body of a call that needs none.
const UNUSED_BODY_MAX_BYTES: usize = 4 * 1024;
/// The maximum time in which the body of a request arrives.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// The size of the send buffer of a connection with short responses.
const SHORT_SEND_BUFFER_BYTES: usize = 4 * 1024;
/// How much room is made for the start of a body.
const BODY_ROOM_BYTES: usize = 4 * 1024;

impl HandlerLimits {
    /// Returns the limits of a server whose calls need no body and have short responses.
    pub(super) fn without_body(connections: ConnectionLimits) -> Self {
        let memory = SharedBudget::new(connections.max_count * UNUSED_BODY_MAX_BYTES);
        let http = HttpLimits {
            header_max_bytes: HEAD_MAX_BYTES,
            headers_max: 100,
            send_buffer_bytes: SHORT_SEND_BUFFER_BYTES,
            connections,
            ..HttpLimits::default()
        };
        Self { http, body_max_bytes: UNUSED_BODY_MAX_BYTES, memory }
    }
}

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
pub(super) async fn serve_http_handler(
    listener: TcpListener,
    handler: HttpHandler,
    limits: HandlerLimits,
) {
    serve_http_handler_until(listener, handler, limits, std::future::pending()).await;
}

/// Serves requests until `stop` completes, and then waits for those that are being read or
/// handled.
pub(super) async fn serve_http_handler_until(
    listener: TcpListener,
    handler: HttpHandler,
    limits: HandlerLimits,
    stop: impl Future<Output = ()> + Send,
) {
    let http_limits = limits.http;
    let service = HandlerService { handler, limits: Arc::new(limits) };
    serve_http(listener, service, http_limits, stop).await;
}

#[derive(Clone)]
struct HandlerService {
    handler: HttpHandler,
    limits: Arc<HandlerLimits>,
}

impl Service<hyper::Request<Incoming>> for HandlerService {
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response, Infallible>> + Send>>;
    type Response = Response;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: hyper::Request<Incoming>) -> Self::Future {
        let (handler, limits) = (self.handler.clone(), self.limits.clone());
        Box::pin(async move { Ok(handle(handler, request, &limits).await.into_response()) })
    }
}

async fn handle(
    handler: HttpHandler,
    request: hyper::Request<Incoming>,
    limits: &HandlerLimits,
) -> HttpResponse {
    let (head, body) = request.into_parts();
    // What is made of the body takes memory until the call is handled.
    let mut held = HeldBytes::new(&limits.memory, MessageKind::Request);
    let reading = read_body(body, limits.body_max_bytes, &mut held);
    let body = match timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(response)) => return response,
        Err(_) => {
            let text = format!("the body did not arrive within {BODY_TIMEOUT:?}");
            return HttpResponse::text(StatusCode::REQUEST_TIMEOUT, &text);
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

/// Reads a body, or returns the response that says why it is not read.
async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    held: &mut HeldBytes,
) -> Result<Bytes, HttpResponse> {
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            HttpResponse::text(StatusCode::BAD_REQUEST, &format!("the body can't be read: {error}"))
        })?;
        let Ok(data) = frame.into_data() else { continue };
        let length = buffer.len() + data.len();
        if length > max_bytes {
            let text = format!("the body is too long; {max_bytes} bytes are read at most");
            return Err(HttpResponse::text(StatusCode::PAYLOAD_TOO_LARGE, &text));
        }
        if length > buffer.capacity() {
            let capacity = (buffer.capacity() * 2).clamp(BODY_ROOM_BYTES, max_bytes).max(length);
            held.resize(capacity).map_err(|error| {
                let text = format!("{error}; send the call again later");
                HttpResponse::text(StatusCode::SERVICE_UNAVAILABLE, &text)
            })?;
            buffer.reserve(capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}
