//! Hands an upstream's answer on, whole or visibly broken.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::mpsc;
use warp::{
    http::{HeaderMap, Method, StatusCode, Version, header},
    reply::{Reply, Response},
};

use super::{
    Gateway, call::Call, claim::Recorder, headers::end_to_end, links::Meter, offer::Slot,
    problem::Problem,
};
use crate::core::{admission::Finish, control::UpstreamName};

/// Holds an answer whose head has arrived.
pub(super) struct Incoming {
    answer: reqwest::Response,
    slot: Option<Slot>,
    /// The upstream, when this instance sent the request to it.
    upstream: Option<UpstreamName>,
    /// Whether a whole answer counts as the upstream's success.
    done: bool,
}

/// How many chunks wait for a caller that reads slowly.
const CHUNKS_AHEAD: usize = 8;

impl Incoming {
    /// Returns the answer of an upstream of this instance's own.
    pub(super) fn here(
        answer: reqwest::Response,
        slot: Slot,
        upstream: UpstreamName,
        done: bool,
    ) -> Self {
        Self { answer, slot: Some(slot), upstream: Some(upstream), done }
    }

    /// Returns an answer that came through another instance.
    pub(super) fn through(answer: reqwest::Response) -> Self {
        Self { answer, slot: None, upstream: None, done: true }
    }

    pub(super) fn status(&self) -> StatusCode {
        self.answer.status()
    }

    pub(super) fn headers(&self) -> HeaderMap {
        end_to_end(self.answer.headers())
    }

    /// Tells whether the answer's end can be told from a cut.
    fn has_length(&self, method: &Method) -> bool {
        let headers = self.answer.headers();
        let bodiless = *method == Method::HEAD
            || self.status().is_informational()
            || matches!(self.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let chunked = self.answer.version() == Version::HTTP_11
            && headers.contains_key(header::TRANSFER_ENCODING);
        bodiless || chunked || headers.contains_key(header::CONTENT_LENGTH)
    }

    /// Hands the answer on. `keep_reading` says that the rest is read even
    /// when the caller is gone, so that it can be recorded.
    pub(super) fn hand_on(
        self,
        gateway: &Gateway,
        call: &Call,
        recorder: Option<Recorder>,
        meter: Option<Meter>,
    ) -> Result<Response, Problem> {
        if !self.has_length(&call.method) {
            let message = "the upstream's answer has no length, so its end can't be told from a \
                           cut; it was dropped";
            return Err(Problem::unknown(StatusCode::BAD_GATEWAY, "no_length", message));
        }
        let status = self.status();
        let headers = self.headers();
        let (sender, receiver) = mpsc::channel(CHUNKS_AHEAD);
        let (gateway, call) = (gateway.clone(), call.clone());
        let pump = Pump { gateway, call, incoming: self, sender, recorder, meter };
        tokio::spawn(pump.run());
        let mut response = warp::reply::stream(Chunks { receiver }).into_response();
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        Ok(response)
    }
}

struct Pump {
    gateway: Gateway,
    call: Call,
    incoming: Incoming,
    sender: mpsc::Sender<io::Result<Bytes>>,
    recorder: Option<Recorder>,
    meter: Option<Meter>,
}

/// Says how handing on an answer ended.
enum PumpEnd {
    Whole,
    Cut,
    Late,
    CallerGone,
}

impl Pump {
    async fn run(mut self) {
        let left = self.call.deadline.saturating_sub(self.gateway.now());
        let end = tokio::time::timeout(left, self.pass_all()).await.unwrap_or(PumpEnd::Late);
        self.give_slot_back(&end);
        if let (PumpEnd::Cut, Some(upstream)) = (&end, self.incoming.upstream.take()) {
            self.gateway.report_crash(&self.call, upstream).await;
        }
        if let PumpEnd::Cut | PumpEnd::Late = end {
            // Without its last chunk the transfer is broken for the caller.
            let cut = io::Error::other("the upstream's answer was cut short");
            self.sender.send(Err(cut)).await.ok();
        }
        if let Some(recorder) = self.recorder.take() {
            recorder.end(matches!(end, PumpEnd::Whole)).await;
        }
    }

    fn give_slot_back(&mut self, end: &PumpEnd) {
        let Some(mut slot) = self.incoming.slot.take() else { return };
        match end {
            PumpEnd::Whole if self.incoming.done => slot.set_finish(Finish::Done),
            PumpEnd::Whole => {}
            PumpEnd::Cut => slot.set_finish(Finish::Broken),
            PumpEnd::Late | PumpEnd::CallerGone => slot.set_finish(Finish::Cancelled),
        }
    }

    async fn pass_all(&mut self) -> PumpEnd {
        loop {
            let chunk = match self.incoming.answer.chunk().await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return PumpEnd::Whole,
                Err(_) => return PumpEnd::Cut,
            };
            if let Some(meter) = &self.meter {
                meter.pass(chunk.len() as u64).await;
            }
            if let Some(recorder) = &mut self.recorder {
                recorder.add(&chunk);
            }
            let gone = self.sender.send(Ok(chunk)).await.is_err();
            if gone && self.recorder.is_none() {
                return PumpEnd::CallerGone;
            }
        }
    }
}

struct Chunks {
    receiver: mpsc::Receiver<io::Result<Bytes>>,
}

impl Stream for Chunks {
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.receiver.poll_recv(cx)
    }
}
