//! Takes callers' connections: reads requests, starts them side by side and
//! answers them in order.

use std::{io, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesOrdered};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};
use tracing::{info, warn};

use super::{answer::Answer, exchange, request::Request, state::EntryState};
use crate::{
    core::routing::CallerLimits,
    net::{
        http1::{BodyError, BodyReader, Framing, HeadError, RequestHead, parse_request_head},
        mesh::prepare,
    },
    platform::headers,
};

/// The most requests of one connection that are in progress.
const PIPELINED_MAX: usize = 32;
/// The pause after an accept failed, as it does without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long what a caller still sends is read after the last answer: closing
/// at once would reset the connection and could destroy the answer.
const CLOSE_LINGER: Duration = Duration::from_secs(1);
/// How long a connection without requests outlives the beginning of a stop.
const STOP_IDLE: Duration = Duration::from_millis(1500);

/// Accepts connections for as long as the process runs.
pub(super) async fn accept(state: Rc<EntryState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                prepare(&stream);
                let connection = Connection::new(state.clone(), stream);
                tokio::task::spawn_local(connection.run());
            }
            Err(error) => {
                warn!(%error, "can't accept a caller's connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

type Pending = LocalBoxFuture<'static, Encoded>;

/// Holds an answer ready to be written.
struct Encoded {
    bytes: Bytes,
    closes: bool,
    /// Whether the caller may still send what is not wanted.
    leaves_unread: bool,
}

struct Connection {
    state: Rc<EntryState>,
    stream: TcpStream,
    buffer: BytesMut,
    limits: CallerLimits,
    reading: Reading,
    pending: FuturesOrdered<Pending>,
    /// When the connection last did something, or the current head began.
    since: Instant,
}

/// Says what is read next.
enum Reading {
    Head,
    Body {
        head: Box<RequestHead>,
        reader: BodyReader,
        body: BytesMut,
        arrived: Duration,
    },
    /// Nothing more: the connection ends after what is pending.
    Nothing,
}

impl Connection {
    fn new(state: Rc<EntryState>, stream: TcpStream) -> Self {
        let limits = state.limits();
        Self {
            state,
            stream,
            buffer: BytesMut::new(),
            limits,
            reading: Reading::Head,
            pending: FuturesOrdered::new(),
            since: Instant::now(),
        }
    }

    async fn run(mut self) {
        // A caller that breaks its connection is no news.
        self.serve().await.ok();
    }

    async fn serve(&mut self) -> io::Result<()> {
        let mut stopping = self.state.stopping.subscribe();
        loop {
            self.take_requests().await?;
            let reads = self.wants_bytes();
            if !reads && self.pending.is_empty() {
                return Ok(());
            }
            let deadline = self.read_deadline();
            tokio::select! {
                biased;
                Some(answer) = self.pending.next() => {
                    self.write(answer).await?;
                }
                read = self.stream.read_buf(&mut self.buffer), if reads => {
                    if read? == 0 {
                        return Ok(());
                    }
                }
                () = tokio::time::sleep_until(deadline), if self.pending.is_empty() => {
                    if self.is_idle() {
                        return Ok(());
                    }
                    self.give_up(408, "slow_request");
                }
                changed = stopping.changed(), if !*self.state.stopping.borrow() => {
                    changed.ok();
                }
            }
        }
    }

    /// Takes as many requests off the buffer as are there.
    async fn take_requests(&mut self) -> io::Result<()> {
        while self.pending.len() < PIPELINED_MAX {
            match &mut self.reading {
                Reading::Nothing => return Ok(()),
                Reading::Head => {
                    if self.buffer.is_empty() {
                        return Ok(());
                    }
                    let header_max = self.limits.header_max_bytes as usize;
                    match parse_request_head(&mut self.buffer, header_max) {
                        Ok(None) => return Ok(()),
                        Ok(Some(head)) => self.begin(head).await?,
                        Err(HeadError::TooLarge) => self.give_up(431, "head_too_large"),
                        Err(HeadError::Malformed(what)) => {
                            info!(what, "malformed request");
                            self.give_up(400, "malformed");
                        }
                    }
                }
                Reading::Body { reader, body, .. } => {
                    let done = match read_on(reader, body, &mut self.buffer) {
                        Ok(()) => reader.is_done(),
                        Err(error) => {
                            info!(%error, "malformed body");
                            self.give_up(400, "malformed");
                            continue;
                        }
                    };
                    if body.len() as u64 > self.limits.body_max_bytes {
                        self.give_up(413, "body_too_large");
                    } else if done {
                        self.finish_body();
                    } else {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    /// Begins a request whose head has arrived.
    async fn begin(&mut self, head: RequestHead) -> io::Result<()> {
        let arrived = self.state.clock.now();
        if let Some(answer) = self.refusal(&head) {
            self.push(answer);
            return Ok(());
        }
        if head.headers.text("expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue")) {
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let reader = BodyReader::new(head.framing);
        self.reading =
            Reading::Body { head: Box::new(head), reader, body: BytesMut::new(), arrived };
        Ok(())
    }

    /// Returns the answer to a request that is not acceptable.
    fn refusal(&self, head: &RequestHead) -> Option<Answer> {
        let hosts = head.headers.all("host").count();
        if hosts > 1 || (head.is_http11 && hosts == 0) || !head.target.starts_with('/') {
            return Some(Answer::own(400, "malformed").closing());
        }
        match head.framing {
            Framing::Length(length) if length > self.limits.body_max_bytes => {
                Some(Answer::own(413, "body_too_large").closing())
            }
            _ => None,
        }
    }

    /// Starts a request that has arrived in full.
    fn finish_body(&mut self) {
        let reading = std::mem::replace(&mut self.reading, Reading::Head);
        let Reading::Body { head, body, arrived, .. } = reading else { return };
        self.since = Instant::now();
        let keeps_alive =
            head.is_http11 && !head.headers.has_token(&http::header::CONNECTION, "close");
        if !keeps_alive {
            self.reading = Reading::Nothing;
        }
        let request = Request { head: *head, body: body.freeze(), arrived };
        let state = self.state.clone();
        self.pending.push_back(Box::pin(async move {
            let _open = OpenRequest::new(&state);
            let answer = exchange::answer(&state, &request).await;
            let closes = !keeps_alive || *state.stopping.borrow();
            let answer = if closes { answer.closing() } else { answer };
            let id = headers::request_id(&request.head.headers);
            let bytes = answer.encode(&request.head.method, id);
            Encoded { bytes, closes: answer.closes, leaves_unread: false }
        }));
    }

    /// Answers what can't be read on, and reads no more.
    fn give_up(&mut self, status: u16, error: &str) {
        self.push(Answer::own(status, error).closing());
    }

    fn push(&mut self, answer: Answer) {
        self.reading = Reading::Nothing;
        let bytes = answer.encode("", None);
        let encoded = Encoded { bytes, closes: true, leaves_unread: true };
        self.pending.push_back(Box::pin(std::future::ready(encoded)));
    }

    async fn write(&mut self, answer: Encoded) -> io::Result<()> {
        self.stream.write_all(&answer.bytes).await?;
        self.since = Instant::now();
        if answer.closes {
            self.reading = Reading::Nothing;
            self.pending = FuturesOrdered::new();
            self.stream.shutdown().await?;
            if answer.leaves_unread {
                let drained = self.drain();
                tokio::time::timeout(CLOSE_LINGER, drained).await.unwrap_or(Ok(()))?;
            }
        }
        Ok(())
    }

    /// Reads and drops what the caller still sends.
    async fn drain(&mut self) -> io::Result<()> {
        loop {
            self.buffer.clear();
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Ok(());
            }
        }
    }

    fn wants_bytes(&self) -> bool {
        // While requests are pending, reading tells that the caller left.
        match self.reading {
            Reading::Nothing => false,
            _ => self.pending.len() < PIPELINED_MAX,
        }
    }

    fn is_idle(&self) -> bool {
        matches!(self.reading, Reading::Head) && self.buffer.is_empty()
    }

    fn read_deadline(&self) -> Instant {
        if !self.is_idle() {
            return self.since + self.limits.idle_timeout.max(self.limits.header_timeout);
        }
        if *self.state.stopping.borrow() {
            return (self.since + self.limits.idle_timeout).min(Instant::now() + STOP_IDLE);
        }
        self.since + self.limits.idle_timeout
    }
}

fn read_on(
    reader: &mut BodyReader,
    body: &mut BytesMut,
    buffer: &mut BytesMut,
) -> Result<(), BodyError> {
    while let Some(piece) = reader.next(buffer)? {
        body.extend_from_slice(&piece);
    }
    Ok(())
}

/// Counts a request for as long as it lives.
struct OpenRequest {
    state: Rc<EntryState>,
}

impl OpenRequest {
    fn new(state: &Rc<EntryState>) -> Self {
        state.requests_open.set(state.requests_open.get() + 1);
        Self { state: state.clone() }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.state.requests_open.set(self.state.requests_open.get() - 1);
    }
}
