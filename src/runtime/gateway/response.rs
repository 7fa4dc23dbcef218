//! Relays upstreams' responses, and aborts the transfer to the caller if one is truncated.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::mpsc;
use warp::{
    http::{HeaderMap, Method, StatusCode, Version, header},
    reply::{Reply, Response},
};

use super::{
    Gateway, claim::Recorder, headers::end_to_end, links::LinkLimiter, problem::Problem,
    request::CallerRequest, slot::SlotGuard,
};
use crate::core::{admission::Finish, control::UpstreamName};

/// Represents a response whose head has arrived and whose body has not been read yet.
pub(super) struct UpstreamResponse {
    inner: reqwest::Response,
    slot: Option<SlotGuard>,
    /// The upstream, if this instance sent the request to it directly.
    upstream: Option<UpstreamName>,
    /// Whether a complete response counts as a success of the upstream.
    is_success: bool,
}

/// How many chunks are buffered for a caller that reads slowly.
const CHUNK_BUFFER_LEN: usize = 8;
/// The longest time that the end of a response is held back until the response is recorded; less
/// if the request's deadline comes first.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);

impl UpstreamResponse {
    /// Creates the response of an upstream that this instance owns.
    pub(super) fn local(
        inner: reqwest::Response,
        slot: SlotGuard,
        upstream: UpstreamName,
        is_success: bool,
    ) -> Self {
        Self { inner, slot: Some(slot), upstream: Some(upstream), is_success }
    }

    /// Creates a response that came through another instance.
    pub(super) fn forwarded(inner: reqwest::Response) -> Self {
        Self { inner, slot: None, upstream: None, is_success: true }
    }

    pub(super) fn status(&self) -> StatusCode {
        self.inner.status()
    }

    pub(super) fn headers(&self) -> HeaderMap {
        end_to_end(self.inner.headers())
    }

    /// Returns whether a complete response can be distinguished from a truncated one.
    fn has_length(&self, method: &Method) -> bool {
        let headers = self.inner.headers();
        let is_bodiless = *method == Method::HEAD
            || self.status().is_informational()
            || matches!(self.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let is_chunked = self.inner.version() == Version::HTTP_11
            && headers.contains_key(header::TRANSFER_ENCODING);
        is_bodiless || is_chunked || headers.contains_key(header::CONTENT_LENGTH)
    }

    /// Relays the response in a task of its own. With a `recorder` the body is read to its end
    /// even if the caller disconnects, and the caller gets the end only once the response is
    /// recorded, so that it can repeat the request then.
    ///
    /// # Errors
    ///
    /// Returns a problem if a truncated body could not be distinguished from a complete one.
    pub(super) async fn relay(
        self,
        gateway: &Gateway,
        request: &CallerRequest,
        recorder: Option<Recorder>,
        limiter: Option<LinkLimiter>,
    ) -> Result<Response, Problem> {
        if !self.has_length(&request.method) {
            let message = "the upstream's answer has no length, so its end can't be told from a \
                           cut; it was dropped";
            return Err(Problem::unknown(StatusCode::BAD_GATEWAY, "no_length", message));
        }
        let status = self.status();
        let headers = self.headers();
        let (sender, receiver) = mpsc::channel(CHUNK_BUFFER_LEN);
        let (gateway, request) = (gateway.clone(), request.clone());
        let is_recorded = recorder.is_some();
        let last = None;
        let relay = Relay { gateway, request, response: self, sender, recorder, limiter, last };
        tokio::spawn(relay.run());
        let mut chunks = Chunks { first: None, receiver };
        if is_recorded {
            // The head alone may be the whole response.
            chunks.first = chunks.receiver.recv().await;
        }
        let mut response = warp::reply::stream(chunks).into_response();
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        Ok(response)
    }
}

/// Copies a response's body to the caller.
struct Relay {
    gateway: Gateway,
    request: CallerRequest,
    response: UpstreamResponse,
    sender: mpsc::Sender<io::Result<Bytes>>,
    recorder: Option<Recorder>,
    limiter: Option<LinkLimiter>,
    /// The chunk that was read last, if the response is recorded. The caller may not get it yet.
    last: Option<Bytes>,
}

/// Represents how relaying a response ended.
enum RelayEnd {
    Complete,
    Truncated,
    TimedOut,
    CallerDisconnected,
}

impl Relay {
    async fn run(mut self) {
        let remaining = self.request.deadline.saturating_sub(self.gateway.now());
        let end =
            tokio::time::timeout(remaining, self.copy_chunks()).await.unwrap_or(RelayEnd::TimedOut);
        self.release_slot(&end);
        if let (RelayEnd::Truncated, Some(upstream)) = (&end, self.response.upstream.take()) {
            self.gateway.report_crash(&self.request, upstream).await;
        }
        if let RelayEnd::Truncated | RelayEnd::TimedOut = end {
            // The error ends the transfer without its last chunk, so the caller detects that
            // the body is incomplete.
            let error = io::Error::other(
                "the upstream's response ended early or took longer than the deadline",
            );
            self.sender.send(Err(error)).await.ok();
        }
        if let Some(recorder) = self.recorder.take() {
            let recording = tokio::spawn(recorder.finish(matches!(end, RelayEnd::Complete)));
            let remaining = self.request.deadline.saturating_sub(self.gateway.now());
            tokio::time::timeout(remaining.min(RECORD_TIMEOUT), recording).await.ok();
        }
        if let (RelayEnd::Complete, Some(chunk)) = (end, self.last.take()) {
            self.sender.send(Ok(chunk)).await.ok();
        }
    }

    fn release_slot(&mut self, end: &RelayEnd) {
        let Some(mut slot) = self.response.slot.take() else { return };
        match end {
            RelayEnd::Complete if self.response.is_success => slot.set_finish(Finish::Done),
            RelayEnd::Complete => {}
            RelayEnd::Truncated => slot.set_finish(Finish::Broken),
            RelayEnd::TimedOut | RelayEnd::CallerDisconnected => slot.set_finish(Finish::Cancelled),
        }
    }

    async fn copy_chunks(&mut self) -> RelayEnd {
        loop {
            let chunk = match self.response.inner.chunk().await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return RelayEnd::Complete,
                Err(_) => return RelayEnd::Truncated,
            };
            if let Some(limiter) = &self.limiter {
                limiter.acquire(chunk.len() as u64).await;
            }
            let chunk = match &mut self.recorder {
                Some(recorder) => {
                    recorder.add(&chunk);
                    self.last.replace(chunk)
                }
                None => Some(chunk),
            };
            let Some(chunk) = chunk else { continue };
            let caller_disconnected = self.sender.send(Ok(chunk)).await.is_err();
            if caller_disconnected && self.recorder.is_none() {
                return RelayEnd::CallerDisconnected;
            }
        }
    }
}

/// The chunks of a response's body.
struct Chunks {
    /// The first chunk, if it was taken from the receiver already.
    first: Option<io::Result<Bytes>>,
    receiver: mpsc::Receiver<io::Result<Bytes>>,
}

impl Stream for Chunks {
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match self.first.take() {
            Some(chunk) => Poll::Ready(Some(chunk)),
            None => self.receiver.poll_recv(cx),
        }
    }
}
