//! Transports calls between instances over one TCP connection per client.
//!
//! A frame consists of its length and a MessagePack body. Calls have ids, and
//! replies may arrive in any order. A client closes a connection on which a
//! caller stopped waiting for its reply, since a connection can stop delivering
//! data without a reset.

use std::{
    collections::BTreeMap,
    fmt,
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    time,
};
use tokio_util::{
    codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
    io::InspectReader,
};

use super::wire::{decode, encode};

/// Represents a call or its reply, which have the same id.
#[derive(Debug, Deserialize, Serialize)]
struct MeshMessage<T> {
    #[serde(rename = "n")]
    id: u64,
    /// The maximum length of the reply that the caller takes; calls only.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    reply_max_bytes: Option<usize>,
    #[serde(rename = "b")]
    body: T,
}

/// Represents the reason why a call has no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MeshError {
    /// The call was not sent: the connection could not be established or was
    /// closed, or the queue of calls is full.
    Unreachable,
    /// The call may have arrived, but no reply was received.
    NoReply,
    /// The message can't be encoded.
    Encode,
    /// The message is longer than a frame may be.
    TooLong,
}

impl fmt::Display for MeshError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "the instance is unreachable",
            Self::NoReply => "the instance did not reply",
            Self::Encode => "the message can't be encoded",
            Self::TooLong => "the message is longer than a frame may be",
        })
    }
}

impl std::error::Error for MeshError {}

/// The default of the maximum time for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay after a failure to connect or to accept a connection.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The maximum frame size. The largest frames hold a chunk of a snapshot or a
/// whole policy.
const FRAME_MAX_BYTES: usize = 64 * 1024 * 1024;
/// The maximum number of queued calls per client and of queued replies per
/// connection.
const QUEUE_LEN: usize = 256;
/// The longest pause after which a reply still counts as arriving.
const ARRIVAL_PAUSE_MAX: Duration = Duration::from_secs(1);
/// The interval at which a caller checks whether its reply is still arriving.
pub(crate) const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long data may stay unacknowledged by a receiver that has room for it.
pub(crate) const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(2);

/// Represents the limits of a client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// The maximum time for establishing a connection.
    pub connect_timeout: Duration,
    /// The maximum size of a reply. What answers at the address may be no instance.
    pub reply_max_bytes: usize,
    /// How long a call waits beyond its timeout while part of a reply arrives.
    pub arrival_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect_timeout: CONNECT_TIMEOUT,
            reply_max_bytes: FRAME_MAX_BYTES,
            arrival_timeout: Duration::ZERO,
        }
    }
}

/// Holds when part of a reply that is not complete yet last arrived on a connection.
#[derive(Debug, Default)]
struct Arrival(Mutex<Option<Instant>>);

impl Arrival {
    fn record(&self, bytes: &[u8]) {
        if !bytes.is_empty() {
            lock(&self.0).replace(Instant::now());
        }
    }

    fn clear(&self) {
        lock(&self.0).take();
    }

    fn is_recent(&self) -> bool {
        lock(&self.0).is_some_and(|arrived_at| arrived_at.elapsed() <= ARRIVAL_PAUSE_MAX)
    }
}

/// Represents a client of one other instance. Clones share its connection.
#[derive(Debug)]
pub struct MeshClient<Req, Rep> {
    calls: mpsc::Sender<Call<Req, Rep>>,
    arrival: Arc<Arrival>,
    arrival_timeout: Duration,
}

impl<Req, Rep> Clone for MeshClient<Req, Rep> {
    fn clone(&self) -> Self {
        let (calls, arrival) = (self.calls.clone(), self.arrival.clone());
        Self { calls, arrival, arrival_timeout: self.arrival_timeout }
    }
}

#[derive(Debug)]
struct Call<Req, Rep> {
    request: Req,
    reply: oneshot::Sender<Result<Rep, MeshError>>,
}

/// The senders that pass on the replies of pending calls, by call id.
type PendingReplies<Rep> = Arc<Mutex<BTreeMap<u64, oneshot::Sender<Result<Rep, MeshError>>>>>;

impl<Req, Rep> MeshClient<Req, Rep>
where
    Req: Serialize + Send + 'static,
    Rep: DeserializeOwned + Send + 'static,
{
    /// Creates a client of the instance at `address`. The client connects at the
    /// first call and reconnects after the connection was lost. Its task ends
    /// once all its clones are dropped.
    ///
    /// # Panics
    ///
    /// Panics if it is called outside a Tokio runtime.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_limits(address, ClientLimits::default())
    }

    /// Creates a client like [`new`](Self::new) with other limits.
    ///
    /// # Panics
    ///
    /// Panics if it is called outside a Tokio runtime.
    pub fn with_limits(address: SocketAddr, limits: ClientLimits) -> Self {
        let (calls, queue) = mpsc::channel(QUEUE_LEN);
        let arrival = Arc::<Arrival>::default();
        tokio::spawn(run_client(address, limits, queue, arrival.clone()));
        Self { calls, arrival, arrival_timeout: limits.arrival_timeout }
    }

    /// Returns whether part of a reply has arrived, and the rest is still arriving.
    pub fn is_receiving(&self) -> bool {
        self.arrival.is_recent()
    }

    /// Sends a request and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance is unreachable, the queue of calls is full,
    /// the request can't be encoded or is too long, or no reply was received within `timeout`
    /// and, while part of one is arriving, [`ClientLimits::arrival_timeout`].
    pub async fn call(&self, request: Req, timeout: Duration) -> Result<Rep, MeshError> {
        let (reply, mut reply_receiver) = oneshot::channel();
        let call = Call { request, reply };
        if self.calls.try_send(call).is_err() {
            return Err(MeshError::Unreachable);
        }
        let deadline = Instant::now() + timeout + self.arrival_timeout;
        let mut wait = timeout;
        loop {
            match time::timeout(wait, &mut reply_receiver).await {
                Ok(Ok(reply)) => return reply,
                Ok(Err(_)) => return Err(MeshError::NoReply),
                Err(_) if self.is_receiving() && Instant::now() < deadline => {
                    wait = ARRIVAL_CHECK_INTERVAL;
                }
                Err(_) => return Err(MeshError::NoReply),
            }
        }
    }
}

async fn run_client<Req, Rep>(
    address: SocketAddr,
    limits: ClientLimits,
    mut queue: mpsc::Receiver<Call<Req, Rep>>,
    arrival: Arc<Arrival>,
) where
    Req: Serialize,
    Rep: DeserializeOwned + Send + 'static,
{
    let mut last_id = 0;
    while let Some(first_call) = queue.recv().await {
        let stream = time::timeout(limits.connect_timeout, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = stream else {
            first_call.reply.send(Err(MeshError::Unreachable)).ok();
            while let Ok(call) = queue.try_recv() {
                call.reply.send(Err(MeshError::Unreachable)).ok();
            }
            time::sleep(RETRY_DELAY).await;
            continue;
        };
        configure_stream(&stream, UNACKNOWLEDGED_MAX);
        run_connection(stream, address, limits, &arrival, first_call, &mut queue, &mut last_id)
            .await;
        arrival.clear();
    }
}

/// Sends calls over one connection until the connection fails, the caller of a
/// pending call stops waiting or all clients are dropped.
async fn run_connection<Req, Rep>(
    stream: TcpStream,
    address: SocketAddr,
    limits: ClientLimits,
    arrival: &Arc<Arrival>,
    first_call: Call<Req, Rep>,
    queue: &mut mpsc::Receiver<Call<Req, Rep>>,
    last_id: &mut u64,
) where
    Req: Serialize,
    Rep: DeserializeOwned + Send + 'static,
{
    let (read_half, write_half) = stream.into_split();
    let mut write = FramedWrite::new(write_half, codec(FRAME_MAX_BYTES));
    let arriving = arrival.clone();
    let inspect = move |bytes: &[u8]| arriving.record(bytes);
    let read = InspectReader::new(read_half, inspect);
    let replies = FramedRead::new(read, codec(limits.reply_max_bytes));
    let pending: PendingReplies<Rep> = Arc::default();
    let mut reader = tokio::spawn(read_replies(replies, address, pending.clone(), arrival.clone()));
    let mut next_call = Some(first_call);
    loop {
        let call = match next_call.take() {
            Some(call) => call,
            None => tokio::select! {
                call = queue.recv() => match call {
                    Some(call) => call,
                    None => break,
                },
                _ = &mut reader => break,
            },
        };
        *last_id += 1;
        // A caller that stopped waiting for its reply indicates that the connection
        // may no longer deliver data.
        if has_abandoned_call(&pending) {
            next_call = Some(call);
            break;
        }
        let reply_max_bytes = Some(limits.reply_max_bytes);
        let Ok(frame) = encode(&MeshMessage { id: *last_id, reply_max_bytes, body: &call.request })
        else {
            call.reply.send(Err(MeshError::Encode)).ok();
            continue;
        };
        if !is_within_limit(&frame, FRAME_MAX_BYTES, address) {
            call.reply.send(Err(MeshError::TooLong)).ok();
            continue;
        }
        lock(&pending).insert(*last_id, call.reply);
        if write.send(Bytes::from(frame)).await.is_err() {
            break;
        }
    }
    reader.abort();
    if let Some(call) = next_call {
        call.reply.send(Err(MeshError::Unreachable)).ok();
    }
    for (_, reply) in std::mem::take(&mut *lock(&pending)) {
        reply.send(Err(MeshError::NoReply)).ok();
    }
}

async fn read_replies<R, Rep>(
    mut read: FramedRead<R, LengthDelimitedCodec>,
    address: SocketAddr,
    pending: PendingReplies<Rep>,
    arrival: Arc<Arrival>,
) where
    R: tokio::io::AsyncRead + Unpin,
    Rep: DeserializeOwned,
{
    while let Some(frame) = next_frame(&mut read, address).await {
        if read.read_buffer().is_empty() {
            arrival.clear();
        }
        let Ok(MeshMessage { id, body, .. }) = decode::<MeshMessage<Rep>>(&frame) else { return };
        if let Some(reply) = lock(&pending).remove(&id) {
            reply.send(Ok(body)).ok();
        }
    }
}

/// Returns the next frame, or `None` at the end of the connection or if the frame is too long.
async fn next_frame<R>(
    read: &mut FramedRead<R, LengthDelimitedCodec>,
    peer: SocketAddr,
) -> Option<BytesMut>
where
    R: tokio::io::AsyncRead + Unpin,
{
    match read.next().await? {
        Ok(frame) => Some(frame),
        Err(error) => {
            if error.kind() == io::ErrorKind::InvalidData {
                let max_bytes = read.decoder().max_frame_length();
                tracing::warn!(%peer, max_bytes, "a message is too long to be read; disconnecting");
            }
            None
        }
    }
}

/// Returns whether a frame may be sent, and logs a warning otherwise. The receiver would close
/// the connection, and with it end all other calls.
fn is_within_limit(frame: &[u8], max_bytes: usize, peer: SocketAddr) -> bool {
    let frame_bytes = frame.len();
    if frame_bytes > max_bytes {
        tracing::warn!(%peer, frame_bytes, max_bytes, "a message is too long for its receiver; not sent");
    }
    frame_bytes <= max_bytes
}

/// Returns whether the caller of a pending call no longer waits for its reply.
fn has_abandoned_call<Rep>(pending: &PendingReplies<Rep>) -> bool {
    lock(pending).values().any(oneshot::Sender::is_closed)
}

fn lock<T>(shared: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn codec(frame_max_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(frame_max_bytes).new_codec()
}

/// Configures a connection to send small frames without delay and to fail when the peer
/// acknowledges no data for `unacknowledged_max`; see [`set_unacknowledged_max`].
pub(crate) fn configure_stream(stream: &TcpStream, unacknowledged_max: Duration) {
    stream.set_nodelay(true).ok();
    set_unacknowledged_max(stream, Some(unacknowledged_max));
}

/// Sets how long sent data may stay unacknowledged before a connection fails; `None` leaves
/// it to the operating system.
///
/// Data that the receiver has no room for counts as well, so a receiver that may pause while
/// it reads a long message needs a longer time.
pub(crate) fn set_unacknowledged_max(stream: &TcpStream, max: Option<Duration>) {
    socket2::SockRef::from(stream).set_tcp_user_timeout(max).ok();
}

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
