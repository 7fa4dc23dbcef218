//! Carries calls between instances over one TCP connection each.
//!
//! A frame is its length and a MessagePack body. Calls are numbered, and
//! answers may overtake one another. A connection on which a call stays
//! unanswered is given up, since connections can fall silent without a reset.

use std::{
    collections::BTreeMap,
    fmt,
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    time::timeout,
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use super::wire::{decode, encode};

/// Holds one numbered message.
#[derive(Debug, Deserialize, Serialize)]
struct Numbered<T> {
    #[serde(rename = "n")]
    number: u64,
    #[serde(rename = "b")]
    body: T,
}

/// Says why a call has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MeshError {
    /// No connection came about: the call did not arrive.
    Unreachable,
    /// The call may have arrived, but no answer came.
    NoAnswer,
    /// The message can't be encoded.
    Encode,
}

impl fmt::Display for MeshError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "the instance is unreachable",
            Self::NoAnswer => "the instance did not answer",
            Self::Encode => "the message can't be encoded",
        })
    }
}

impl std::error::Error for MeshError {}

/// The longest that a connection may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause before a connection is tried again after a failure.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// The largest frame: a chunk of a snapshot, or a whole policy.
const FRAME_MAX_BYTES: usize = 64 * 1024 * 1024;
/// The most calls that wait for a connection.
const QUEUE_LEN: usize = 256;
/// How long sent data may stay unacknowledged before a connection is broken.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls one other instance.
#[derive(Debug)]
pub struct MeshClient<Q, A> {
    calls: mpsc::Sender<Call<Q, A>>,
}

impl<Q, A> Clone for MeshClient<Q, A> {
    fn clone(&self) -> Self {
        Self { calls: self.calls.clone() }
    }
}

#[derive(Debug)]
struct Call<Q, A> {
    question: Q,
    answer: oneshot::Sender<Result<A, MeshError>>,
}

type Pending<A> = Arc<Mutex<BTreeMap<u64, oneshot::Sender<Result<A, MeshError>>>>>;

impl<Q, A> MeshClient<Q, A>
where
    Q: Serialize + Send + 'static,
    A: DeserializeOwned + Send + 'static,
{
    /// Returns a client of the instance at an address. It connects with the
    /// first call, and again whenever the connection broke. It ends when all
    /// its clones are gone.
    pub fn new(address: SocketAddr) -> Self {
        let (calls, waiting) = mpsc::channel(QUEUE_LEN);
        tokio::spawn(run_client(address, waiting));
        Self { calls }
    }

    /// Asks and waits for the answer.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came within `patience`.
    pub async fn call(&self, question: Q, patience: Duration) -> Result<A, MeshError> {
        let (answer, answered) = oneshot::channel();
        let call = Call { question, answer };
        if self.calls.try_send(call).is_err() {
            return Err(MeshError::Unreachable);
        }
        match timeout(patience, answered).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(MeshError::NoAnswer),
        }
    }
}

async fn run_client<Q, A>(address: SocketAddr, mut waiting: mpsc::Receiver<Call<Q, A>>)
where
    Q: Serialize,
    A: DeserializeOwned + Send + 'static,
{
    let mut number = 0;
    while let Some(first) = waiting.recv().await {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = stream else {
            first.answer.send(Err(MeshError::Unreachable)).ok();
            while let Ok(call) = waiting.try_recv() {
                call.answer.send(Err(MeshError::Unreachable)).ok();
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        prepare(&stream);
        run_connection(stream, first, &mut waiting, &mut number).await;
    }
}

/// Sends calls over one connection until it breaks, falls silent or is no
/// longer needed.
async fn run_connection<Q, A>(
    stream: TcpStream,
    first: Call<Q, A>,
    waiting: &mut mpsc::Receiver<Call<Q, A>>,
    number: &mut u64,
) where
    Q: Serialize,
    A: DeserializeOwned + Send + 'static,
{
    let (read, write) = stream.into_split();
    let mut write = FramedWrite::new(write, codec());
    let pending: Pending<A> = Arc::default();
    let mut reader = tokio::spawn(read_answers(FramedRead::new(read, codec()), pending.clone()));
    let mut next = Some(first);
    loop {
        let call = match next.take() {
            Some(call) => call,
            None => tokio::select! {
                call = waiting.recv() => match call {
                    Some(call) => call,
                    None => break,
                },
                _ = &mut reader => break,
            },
        };
        *number += 1;
        // Whoever no longer waits for answers shows that the connection may
        // have fallen silent.
        if has_given_up(&pending) {
            next = Some(call);
            break;
        }
        let Ok(frame) = encode(&Numbered { number: *number, body: &call.question }) else {
            call.answer.send(Err(MeshError::Encode)).ok();
            continue;
        };
        lock(&pending).insert(*number, call.answer);
        if write.send(Bytes::from(frame)).await.is_err() {
            break;
        }
    }
    reader.abort();
    if let Some(call) = next {
        call.answer.send(Err(MeshError::Unreachable)).ok();
    }
    for (_, answer) in std::mem::take(&mut *lock(&pending)) {
        answer.send(Err(MeshError::NoAnswer)).ok();
    }
}

async fn read_answers<R, A>(mut read: FramedRead<R, LengthDelimitedCodec>, pending: Pending<A>)
where
    R: tokio::io::AsyncRead + Unpin,
    A: DeserializeOwned,
{
    while let Some(Ok(frame)) = read.next().await {
        let Ok(Numbered { number, body }) = decode::<Numbered<A>>(&frame) else { return };
        if let Some(answer) = lock(&pending).remove(&number) {
            answer.send(Ok(body)).ok();
        }
    }
}

fn has_given_up<A>(pending: &Pending<A>) -> bool {
    lock(pending).values().any(oneshot::Sender::is_closed)
}

fn lock<T>(shared: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_codec()
}

/// Sets up a connection: small frames go at once, and a peer that does not
/// acknowledge what is sent breaks it.
pub(crate) fn prepare(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_nodelay(true).ok();
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT)).ok();
}

/// Answers one call.
pub type MeshHandler<Q, A> =
    Arc<dyn Fn(Q, SocketAddr) -> Pin<Box<dyn Future<Output = Option<A>> + Send>> + Send + Sync>;

/// Serves the calls of other instances for as long as the listener works. A
/// call for which the handler returns `None` stays unanswered.
pub async fn serve_mesh<Q, A>(listener: TcpListener, handler: MeshHandler<Q, A>)
where
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                prepare(&stream);
                tokio::spawn(serve_peer(stream, peer, handler.clone()));
            }
            Err(error) => {
                tracing::warn!(%error, "can't accept a connection of another instance");
                tokio::time::sleep(RECONNECT_PAUSE).await;
            }
        }
    }
}

async fn serve_peer<Q, A>(stream: TcpStream, peer: SocketAddr, handler: MeshHandler<Q, A>)
where
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
{
    let (read, write) = stream.into_split();
    let mut read = FramedRead::new(read, codec());
    let (answers, waiting) = mpsc::channel::<Bytes>(QUEUE_LEN);
    tokio::spawn(write_answers(FramedWrite::new(write, codec()), waiting));
    while let Some(Ok(frame)) = read.next().await {
        let Ok(Numbered { number, body }) = decode::<Numbered<Q>>(&frame) else {
            tracing::warn!(%peer, "a message of another instance can't be read");
            return;
        };
        let (answers, answer) = (answers.clone(), handler(body, peer));
        tokio::spawn(async move {
            let Some(body) = answer.await else { return };
            if let Ok(frame) = encode(&Numbered { number, body }) {
                answers.send(Bytes::from(frame)).await.ok();
            }
        });
    }
}

async fn write_answers<W>(
    mut write: FramedWrite<W, LengthDelimitedCodec>,
    mut waiting: mpsc::Receiver<Bytes>,
) -> io::Result<()>
where
    W: tokio::io::AsyncWrite + Unpin,
{
    while let Some(frame) = waiting.recv().await {
        write.send(frame).await?;
    }
    Ok(())
}
