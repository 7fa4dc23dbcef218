//! Calls other instances.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::SinkExt;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    time,
};
use tokio_util::{
    codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
    io::InspectReader,
};

use super::{
    FRAME_MAX_BYTES, MeshError, MeshMessage, QUEUE_LEN, RETRY_DELAY, UNACKNOWLEDGED_MAX, codec,
    configure_stream, is_within_limit, next_frame,
};
use crate::net::wire::{decode, encode};

/// The default of the maximum time for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest pause after which a reply still counts as arriving.
const ARRIVAL_PAUSE_MAX: Duration = Duration::from_secs(1);
/// The interval at which a caller checks whether its reply is still arriving.
pub(crate) const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

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
    let max_bytes = read.decoder().max_frame_length();
    while let Some(frame) = next_frame(&mut read, address, max_bytes).await {
        if read.read_buffer().is_empty() {
            arrival.clear();
        }
        let Ok(MeshMessage { id, body, .. }) = decode::<MeshMessage<Rep>>(&frame) else { return };
        if let Some(reply) = lock(&pending).remove(&id) {
            reply.send(Ok(body)).ok();
        }
    }
}

/// Returns whether the caller of a pending call no longer waits for its reply.
fn has_abandoned_call<Rep>(pending: &PendingReplies<Rep>) -> bool {
    lock(pending).values().any(oneshot::Sender::is_closed)
}

fn lock<T>(shared: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
