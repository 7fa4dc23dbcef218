//! Carries messages between instances by gRPC.

use std::{
    error::Error, fmt, future::Future, net::SocketAddr, pin::Pin, sync::Arc, time::Duration,
};

use serde::{Serialize, de::DeserializeOwned};
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tonic::{
    Code, Request, Response, Status,
    metadata::MetadataValue,
    transport::{Channel, Endpoint, Server, server::TcpIncoming},
};

use super::{
    generated::{
        Frame,
        cluster_client::ClusterClient as GeneratedClient,
        cluster_server::{Cluster, ClusterServer},
    },
    wire::{
        ProbeReply, QueryReply, QueryRequest, ReplicateRequest, SubmitReply, SubmitRequest,
        WatchReply, WatchRequest, decode, encode,
    },
};

/// The metadata entry that carries the cluster key.
const KEY_METADATA: &str = "x-bulrushspan-key";
/// The largest frame: a chunk of a snapshot, or a whole policy.
const FRAME_MAX_BYTES: usize = 256 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

type Answer<T> = Pin<Box<dyn Future<Output = Result<T, ClusterError>> + Send>>;

/// Holds what an instance does with the calls of others.
#[derive(Clone)]
pub struct ClusterHandlers {
    /// Takes messages of the replicated log.
    pub replicate: Arc<dyn Fn(ReplicateRequest) -> Answer<()> + Send + Sync>,
    /// Commits something.
    pub submit: Arc<dyn Fn(SubmitRequest) -> Answer<SubmitReply> + Send + Sync>,
    /// Renews a lease.
    pub watch: Arc<dyn Fn(WatchRequest) -> Answer<WatchReply> + Send + Sync>,
    /// Reads the state.
    pub query: Arc<dyn Fn(QueryRequest) -> Answer<QueryReply> + Send + Sync>,
    /// Says what the replica holds.
    pub probe: Arc<dyn Fn() -> Answer<ProbeReply> + Send + Sync>,
}

/// Says why a call between instances failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClusterError {
    /// No connection came about: the call did not arrive.
    Unreachable(String),
    /// The call was refused.
    Refused(String),
    /// The call may have arrived, but no answer came.
    NoAnswer(String),
}

impl fmt::Display for ClusterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(text) => write!(f, "unreachable: {text}"),
            Self::Refused(text) => write!(f, "refused: {text}"),
            Self::NoAnswer(text) => write!(f, "no answer: {text}"),
        }
    }
}

impl Error for ClusterError {}

struct ClusterService {
    key: String,
    handlers: ClusterHandlers,
}

impl ClusterService {
    fn check(&self, request: &Request<Frame>) -> Result<(), Status> {
        let shown = request.metadata().get(KEY_METADATA).map(|value| value.as_encoded_bytes());
        let matches = shown.is_some_and(|shown| shown.ct_eq(self.key.as_bytes()).into());
        if matches {
            return Ok(());
        }
        Err(Status::unauthenticated("the cluster key is missing or wrong"))
    }

    async fn answer<Q, A, F>(
        &self,
        request: Request<Frame>,
        run: F,
    ) -> Result<Response<Frame>, Status>
    where
        Q: DeserializeOwned,
        A: Serialize,
        F: FnOnce(Q) -> Answer<A>,
    {
        self.check(&request)?;
        let asked: Q = decode(&request.get_ref().body)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let answer = run(asked).await.map_err(|error| Status::unavailable(error.to_string()))?;
        let body = encode(&answer).map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(Frame { body }))
    }
}

#[tonic::async_trait]
impl Cluster for ClusterService {
    async fn replicate(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        self.answer(request, |asked| (self.handlers.replicate)(asked)).await
    }

    async fn submit(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        self.answer(request, |asked| (self.handlers.submit)(asked)).await
    }

    async fn watch(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        self.answer(request, |asked| (self.handlers.watch)(asked)).await
    }

    async fn query(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        self.answer(request, |asked| (self.handlers.query)(asked)).await
    }

    async fn probe(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        self.answer(request, |(): ()| (self.handlers.probe)()).await
    }
}

/// Serves the calls of other instances until `stop` ends.
///
/// # Errors
///
/// Returns an error when the listener fails.
pub async fn serve_cluster(
    listener: TcpListener,
    key: String,
    handlers: ClusterHandlers,
    stop: impl Future<Output = ()> + Send,
) -> Result<(), tonic::transport::Error> {
    let service = ClusterServer::new(ClusterService { key, handlers })
        .max_decoding_message_size(FRAME_MAX_BYTES)
        .max_encoding_message_size(FRAME_MAX_BYTES);
    // Without it, small frames wait for delayed acknowledgements, 40 ms each.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    Server::builder().add_service(service).serve_with_incoming_shutdown(incoming, stop).await
}

/// Calls one other instance.
#[derive(Clone, Debug)]
pub struct ClusterClient {
    key: String,
    client: GeneratedClient<Channel>,
}

impl ClusterClient {
    /// Returns a client of the instance at an address. It connects with the
    /// first call, and again whenever the connection broke.
    pub fn new(address: SocketAddr, key: String) -> Self {
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

    /// Hands over messages of the replicated log.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came in time.
    pub async fn replicate(
        &self,
        messages: &ReplicateRequest,
        timeout: Duration,
    ) -> Result<(), ClusterError> {
        let request = self.request(messages, timeout)?;
        read(self.client.clone().replicate(request).await)
    }

    /// Asks to commit something.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came in time.
    pub async fn submit(
        &self,
        asked: &SubmitRequest,
        timeout: Duration,
    ) -> Result<SubmitReply, ClusterError> {
        let request = self.request(asked, timeout)?;
        read(self.client.clone().submit(request).await)
    }

    /// Asks for a lease and for what changed.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came in time.
    pub async fn watch(
        &self,
        asked: &WatchRequest,
        timeout: Duration,
    ) -> Result<WatchReply, ClusterError> {
        let request = self.request(asked, timeout)?;
        read(self.client.clone().watch(request).await)
    }

    /// Reads the control state.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came in time.
    pub async fn query(
        &self,
        asked: &QueryRequest,
        timeout: Duration,
    ) -> Result<QueryReply, ClusterError> {
        let request = self.request(asked, timeout)?;
        read(self.client.clone().query(request).await)
    }

    /// Asks what a replica holds.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came in time.
    pub async fn probe(&self, timeout: Duration) -> Result<ProbeReply, ClusterError> {
        let request = self.request(&(), timeout)?;
        read(self.client.clone().probe(request).await)
    }
}

fn read<T: DeserializeOwned>(answer: Result<Response<Frame>, Status>) -> Result<T, ClusterError> {
    let frame = answer.map_err(|status| {
        let text = status.message().to_owned();
        match status.code() {
            Code::Unauthenticated | Code::InvalidArgument => ClusterError::Refused(text),
            Code::Unavailable if is_connect_error(&status) => ClusterError::Unreachable(text),
            _ => ClusterError::NoAnswer(text),
        }
    })?;
    decode(&frame.get_ref().body).map_err(|error| ClusterError::Refused(error.to_string()))
}

/// Tells whether a call failed before it had a connection.
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
