//! Streams callers' request bodies to upstreams without buffering them.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::{Buf, Bytes};
use futures_util::{Stream, StreamExt, stream};
use tokio::sync::Mutex;

use super::links::LinkLimiter;

type ByteStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>;

/// Represents the body of a caller's request. Clones share the stream, and once any of it has been
/// read it can't be sent a second time.
#[derive(Clone)]
pub(super) struct CallerBody {
    stream: Option<Arc<Mutex<ByteStream>>>,
    read_started: Arc<AtomicBool>,
    bytes_read: Arc<AtomicU64>,
    max_bytes: u64,
}

/// The longest pause between two chunks of a caller's body.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(30);
/// How long the rest of a body is read at most once the request has failed.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(10);

impl CallerBody {
    /// Creates the body of a request that has none.
    pub(super) fn empty() -> Self {
        Self {
            stream: None,
            read_started: Arc::default(),
            bytes_read: Arc::default(),
            max_bytes: 0,
        }
    }

    /// Creates a body that fails if it turns out longer than `max_bytes`.
    pub(super) fn new<S, B, E>(stream: S, max_bytes: u64) -> Self
    where
        S: Stream<Item = Result<B, E>> + Send + 'static,
        B: Buf,
        E: std::error::Error + Send + Sync + 'static,
    {
        let bytes = stream.map(|chunk| match chunk {
            Ok(mut chunk) => Ok(chunk.copy_to_bytes(chunk.remaining())),
            Err(error) => Err(io::Error::other(error)),
        });
        let byte_stream: ByteStream = Box::pin(bytes);
        Self { stream: Some(Arc::new(Mutex::new(byte_stream))), max_bytes, ..Self::empty() }
    }

    /// Returns whether nothing has been read, so that the body can still be sent as a whole.
    pub(super) fn is_unread(&self) -> bool {
        !self.read_started.load(Ordering::Acquire)
    }

    /// Returns the body to send, paced by `limiter` if it crosses a limited link, or `None` for a
    /// request without a body.
    pub(super) fn to_request_body(&self, limiter: Option<LinkLimiter>) -> Option<reqwest::Body> {
        let shared_stream = self.stream.clone()?;
        let body = self.clone();
        let chunks = stream::unfold(false, move |has_failed| {
            let (shared_stream, body, limiter) =
                (shared_stream.clone(), body.clone(), limiter.clone());
            async move {
                if has_failed {
                    return None;
                }
                let chunk = body.next(&shared_stream).await?;
                if let (Ok(chunk), Some(limiter)) = (&chunk, &limiter) {
                    limiter.acquire(chunk.len() as u64).await;
                }
                let has_failed = chunk.is_err();
                Some((chunk, has_failed))
            }
        });
        Some(reqwest::Body::wrap_stream(chunks))
    }

    /// Reads and drops what is left of the body, for a limited time. A caller that is still sending
    /// can then read the response; otherwise the connection would be reset.
    pub(super) async fn discard(&self) {
        let Some(shared_stream) = self.stream.clone() else { return };
        let discarding =
            async { while let Some(Ok(_)) = shared_stream.lock().await.next().await {} };
        tokio::time::timeout(DISCARD_TIMEOUT, discarding).await.ok();
    }

    async fn next(&self, shared_stream: &Mutex<ByteStream>) -> Option<io::Result<Bytes>> {
        self.read_started.store(true, Ordering::Release);
        let mut stream = shared_stream.lock().await;
        let chunk = match tokio::time::timeout(CHUNK_TIMEOUT, stream.next()).await {
            Ok(chunk) => chunk?,
            Err(_) => {
                return Some(Err(io::Error::other(format!(
                    "the caller sent nothing of the request body for {CHUNK_TIMEOUT:?}"
                ))));
            }
        };
        let chunk = match chunk {
            Ok(chunk) => chunk,
            Err(error) => return Some(Err(error)),
        };
        let bytes_read =
            self.bytes_read.fetch_add(chunk.len() as u64, Ordering::Relaxed) + chunk.len() as u64;
        if bytes_read > self.max_bytes {
            return Some(Err(io::Error::other(
                "the request body is longer than the service's `body_max_bytes`",
            )));
        }
        Some(Ok(chunk))
    }
}
