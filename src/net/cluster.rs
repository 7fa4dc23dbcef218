//! Transports messages between instances by gRPC.

use std::{
    error::Error, fmt, future::Future, net::SocketAddr, pin::Pin, sync::Arc, time::Duration,
};

use serde::{Serialize, de::DeserializeOwned};
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tonic::{
    Code, Request, Response, Status,
    metadata::MetadataValue,
    service::interceptor::InterceptedService,
    transport::{Channel, Endpoint, Server},
};

use super::{
    connections::ConnectionSlot,
    generated::{
        Frame,
        cluster_client::ClusterClient as GeneratedClient,
        cluster_server::{Cluster, ClusterServer},
    },
    limited_stream::limited_connections,
    wire::{
        ProbeReply, QueryReply, QueryRequest, ReplicateRequest, SubmitReply, SubmitRequest,
        WatchReply, WatchRequest, decode, encode,
    },
};
use crate::core::ConnectionLimits;

/// The key of the metadata entry that holds the cluster key.
const KEY_METADATA: &str = "x-bulrushspan-key";
/// The maximum frame size. The largest frames hold a chunk of a snapshot or a
/// whole policy.
const FRAME_MAX_BYTES: usize = 256 * 1024 * 1024;
/// The maximum number of calls of one connection at the same time.
const STREAMS_MAX: u32 = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

type ReplyFuture<T> = Pin<Box<dyn Future<Output = Result<T, ClusterError>> + Send>>;

/// Holds the handlers of calls from other instances.
#[derive(Clone)]
pub struct ClusterHandlers {
    /// Receives messages of the replicated log.
    pub replicate: Arc<dyn Fn(ReplicateRequest) -> ReplyFuture<()> + Send + Sync>,
    /// Commits a command or adds a replica.
    pub submit: Arc<dyn Fn(SubmitRequest) -> ReplyFuture<SubmitReply> + Send + Sync>,
    /// Renews a lease and returns the update of the policy.
    pub watch: Arc<dyn Fn(WatchRequest) -> ReplyFuture<WatchReply> + Send + Sync>,
    /// Reads the control state.
    pub query: Arc<dyn Fn(QueryRequest) -> ReplyFuture<QueryReply> + Send + Sync>,
    /// Returns the state of the replica's log.
    pub probe: Arc<dyn Fn() -> ReplyFuture<ProbeReply> + Send + Sync>,
}

/// Represents the reason why a call to another instance failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClusterError {
    /// The connection could not be established, so the call did not arrive.
    Unreachable(String),
    /// The call was rejected, or could not be encoded or decoded.
    Refused(String),
    /// The call may have arrived, but no reply was received.
    NoReply(String),
}

impl fmt::Display for ClusterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(text) => write!(f, "unreachable: {text}"),
            Self::Refused(text) => write!(f, "refused: {text}"),
            Self::NoReply(text) => write!(f, "no answer: {text}"),
        }
    }
}

impl Error for ClusterError {}

struct ClusterService {
    handlers: ClusterHandlers,
}

/// Checks the cluster key, in constant time, before anything else of a call is read.
fn check_key(key: &str, request: Request<()>) -> Result<Request<()>, Status> {
    let sent_key = request.metadata().get(KEY_METADATA).map(|value| value.as_encoded_bytes());
    if !sent_key.is_some_and(|sent_key| sent_key.ct_eq(key.as_bytes()).into()) {
        return Err(Status::unauthenticated("the cluster key is missing or wrong"));
    }
    if let Some(slot) = request.extensions().get::<Arc<ConnectionSlot>>() {
        slot.set_not_closable();
    }
    Ok(request)
}

impl ClusterService {
    async fn handle<Q, R, F>(
        &self,
        request: Request<Frame>,
        handler: F,
    ) -> Result<Response<Frame>, Status>
    where
        Q: DeserializeOwned,
        R: Serialize,
        F: FnOnce(Q) -> ReplyFuture<R>,
    {
        let message: Q = decode(&request.get_ref().body)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let reply =
            handler(message).await.map_err(|error| Status::unavailable(error.to_string()))?;
        let body = encode(&reply).map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(Frame { body }))
    }
}

#[tonic::async_trait]
impl Cluster for ClusterService {
    async fn replicate(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        self.handle(request, |message| (self.handlers.replicate)(message)).await
    }

    async fn submit(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        self.handle(request, |message| (self.handlers.submit)(message)).await
    }

    async fn watch(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        self.handle(request, |message| (self.handlers.watch)(message)).await
    }

    async fn query(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        self.handle(request, |message| (self.handlers.query)(message)).await
    }

    async fn probe(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        self.handle(request, |(): ()| (self.handlers.probe)()).await
    }
}

/// Serves the calls of other instances until `stop` completes. A connection on which no call with
/// the key has arrived yet is closed to make room for another.
///
/// # Errors
///
/// Returns an error if the listener fails.
pub async fn serve_cluster(
    listener: TcpListener,
    key: String,
    handlers: ClusterHandlers,
    limits: ConnectionLimits,
    stop: impl Future<Output = ()> + Send,
) -> Result<(), tonic::transport::Error> {
    let service = ClusterServer::new(ClusterService { handlers })
        .max_decoding_message_size(FRAME_MAX_BYTES)
        .max_encoding_message_size(FRAME_MAX_BYTES);
    let service = InterceptedService::new(service, move |request| check_key(&key, request));
    let incoming = limited_connections(listener, limits);
    Server::builder()
        .max_concurrent_streams(STREAMS_MAX)
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, stop)
        .await
}

/// Represents a client of one other instance.
#[derive(Clone, Debug)]
pub struct ClusterClient {
    key: String,
    client: GeneratedClient<Channel>,
}

impl ClusterClient {
    /// Creates a client of the instance at `address`. The client connects at the
    /// first call and reconnects after the connection was lost.
    pub fn new(address: SocketAddr, key: String) -> Self {
        // An address that does not form a valid URI is replaced by one at which
        // every connection is refused.
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .unwrap_or_else(|_| Endpoint::from_static("http://127.0.0.1:0"))
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true);
        let client = GeneratedClient::new(endpoint.connect_lazy())
            .max_decoding_message_size(FRAME_MAX_BYTES)
            .max_encoding_message_size(FRAME_MAX_BYTES);
        Self { key, client }
    }

    fn request<T: Serialize>(
        &self,
        message: &T,
        timeout: Duration,
    ) -> Result<Request<Frame>, ClusterError> {
        let body = encode(message).map_err(|error| ClusterError::Refused(error.to_string()))?;
        let mut request = Request::new(Frame { body });
        request.set_timeout(timeout);
        let key = MetadataValue::try_from(self.key.as_str())
            .map_err(|error| ClusterError::Refused(error.to_string()))?;
        request.metadata_mut().insert(KEY_METADATA, key);
        Ok(request)
    }

    /// Sends messages of the replicated log.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or no reply was received within
    /// `timeout`.
    pub async fn replicate(
        &self,
        messages: &ReplicateRequest,
        timeout: Duration,
    ) -> Result<(), ClusterError> {
        let request = self.request(messages, timeout)?;
        decode_reply(self.client.clone().replicate(request).await)
    }

    /// Requests that a command is committed or a replica is added.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or no reply was received within
    /// `timeout`.
    pub async fn submit(
        &self,
        message: &SubmitRequest,
        timeout: Duration,
    ) -> Result<SubmitReply, ClusterError> {
        let request = self.request(message, timeout)?;
        decode_reply(self.client.clone().submit(request).await)
    }

    /// Requests a lease and the update of the policy since the requester's version.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or no reply was received within
    /// `timeout`.
    pub async fn watch(
        &self,
        message: &WatchRequest,
        timeout: Duration,
    ) -> Result<WatchReply, ClusterError> {
        let request = self.request(message, timeout)?;
        decode_reply(self.client.clone().watch(request).await)
    }

    /// Reads the control state.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or no reply was received within
    /// `timeout`.
    pub async fn query(
        &self,
        message: &QueryRequest,
        timeout: Duration,
    ) -> Result<QueryReply, ClusterError> {
        let request = self.request(message, timeout)?;
        decode_reply(self.client.clone().query(request).await)
    }

    /// Reads the state of a replica's log.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or no reply was received within
    /// `timeout`.
    pub async fn probe(&self, timeout: Duration) -> Result<ProbeReply, ClusterError> {
        let request = self.request(&(), timeout)?;
        decode_reply(self.client.clone().probe(request).await)
    }
}

fn decode_reply<T: DeserializeOwned>(
    reply: Result<Response<Frame>, Status>,
) -> Result<T, ClusterError> {
    let frame = reply.map_err(|status| {
        let text = status.message().to_owned();
        match status.code() {
            Code::Unauthenticated | Code::InvalidArgument => ClusterError::Refused(text),
            Code::Unavailable if is_connect_error(&status) => ClusterError::Unreachable(text),
            _ => ClusterError::NoReply(text),
        }
    })?;
    decode(&frame.get_ref().body).map_err(|error| ClusterError::Refused(error.to_string()))
}

/// Returns whether a call failed before its connection was established.
fn is_connect_error(status: &Status) -> bool {
    let mut source = status.source();
    while let Some(error) = source {
        if error.to_string().contains("tcp connect error") {
            return true;
        }
        source = error.source();
    }
    false
}
