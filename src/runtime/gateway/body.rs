//! Streams a caller's body to an upstream without holding it.

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

/// Holds a caller's body until an upstream takes it. Clones share it; once
/// any of it was read it can't be sent a second time.
#[derive(Clone)]
pub(super) struct CallerBody {
    stream: Option<Arc<Mutex<ByteStream>>>,
    read_started: Arc<AtomicBool>,
    bytes_read: Arc<AtomicU64>,
    max_bytes: u64,
}

/// The longest pause that a caller may make while it sends.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(30);

impl CallerBody {
    /// Returns a request without a body.
    pub(super) fn empty() -> Self {
        Self {
            stream: None,
            read_started: Arc::default(),
            bytes_read: Arc::default(),
            max_bytes: 0,
        }
    }

    /// Returns a body that fails when it is longer than `max_bytes`.
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
        let boxed: ByteStream = Box::pin(bytes);
        Self { stream: Some(Arc::new(Mutex::new(boxed))), max_bytes, ..Self::empty() }
    }

    /// Tells whether the body can still be sent whole.
    pub(super) fn is_unread(&self) -> bool {
        !self.read_started.load(Ordering::Acquire)
    }

    /// Returns the body for a request, paced by a link's meter if it crosses
    /// one, or `None` for a request without a body.
    pub(super) fn to_request_body(&self, limiter: Option<LinkLimiter>) -> Option<reqwest::Body> {
        let shared = self.stream.clone()?;
        let body = self.clone();
        let chunks = stream::unfold(false, move |failed| {
            let (shared, body, limiter) = (shared.clone(), body.clone(), limiter.clone());
            async move {
                if failed {
                    return None;
                }
                let chunk = body.next(&shared).await?;
                if let (Ok(chunk), Some(limiter)) = (&chunk, &limiter) {
                    limiter.acquire(chunk.len() as u64).await;
                }
                let failed = chunk.is_err();
                Some((chunk, failed))
            }
        });
        Some(reqwest::Body::wrap_stream(chunks))
    }

    async fn next(&self, shared: &Mutex<ByteStream>) -> Option<io::Result<Bytes>> {
        self.read_started.store(true, Ordering::Release);
        let mut stream = shared.lock().await;
        let chunk = match tokio::time::timeout(CHUNK_TIMEOUT, stream.next()).await {
            Ok(chunk) => chunk?,
            Err(_) => return Some(Err(io::Error::other("the caller sends too slowly"))),
        };
        let chunk = match chunk {
            Ok(chunk) => chunk,
            Err(error) => return Some(Err(error)),
        };
        let bytes_read =
            self.bytes_read.fetch_add(chunk.len() as u64, Ordering::Relaxed) + chunk.len() as u64;
        if bytes_read > self.max_bytes {
            return Some(Err(io::Error::other("the body is longer than the service takes")));
        }
        Some(Ok(chunk))
    }
}
