//! Clients, which send requests to one front.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use crate::{deployment::Record, http::Connection};

pub const HOST: &str = "ficu95.example";

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Ask {
    pub method: &'static str,
    pub path: String,
    pub key: String,
    pub deadline_ms: u64,
}

impl Ask {
    pub fn new(method: &'static str, path: impl Into<String>, key: impl ToString) -> Self {
        Self { method, path: path.into(), key: key.to_string(), deadline_ms: 4000 }
    }
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Reply {
    pub id: String,
    /// The status, or 0 if the connection ended without an answer.
    pub status: u16,
    pub has_stamp: bool,
}

/// Sends a request on a new connection and waits for its answer.
pub fn ask(record: &Record, front: SocketAddr, ask: &Ask) -> Reply {
    ask_on(record, &mut None, front, ask, new_id())
}

/// Returns the id of the next request.
pub fn new_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// Sends a request on a kept connection, or a new one, and waits for its answer.
pub fn ask_on(
    record: &Record,
    kept: &mut Option<Connection>,
    front: SocketAddr,
    ask: &Ask,
    id: String,
) -> Reply {
    let started_at = Instant::now();
    let timeout = Duration::from_millis(ask.deadline_ms);
    record
        .line(format!("client: {} {} as {id} (key {}) to {front}", ask.method, ask.path, ask.key));
    let mut send = || {
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => Connection::open(front, Duration::from_secs(1))?,
        };
        connection.stream.set_read_timeout(Some(timeout))?;
        let deadline = ask.deadline_ms.to_string();
        let cookie = format!("Bulrushspan-Affinity-Key={}", ask.key);
        let fields = [
            ("Host", HOST),
            ("Bulrushspan-Request-Id", id.as_str()),
            ("Cookie", cookie.as_str()),
            ("Bulrushspan-Deadline-Ms", deadline.as_str()),
        ];
        let start = format!("{} {} HTTP/1.1", ask.method, ask.path);
        let body: &[u8] = if ask.method == "POST" { b"deposit" } else { b"" };
        connection.write(&start, &fields, body)?;
        let response = connection.read_message()?;
        if let Some(response) = &response {
            if !response.header("Connection").is_some_and(|value| value.contains("close")) {
                *kept = Some(connection);
            }
        }
        std::io::Result::Ok(response)
    };
    let result = send();
    let took = started_at.elapsed();
    let (status, text) = match &result {
        Ok(Some(response)) => {
            (response.status(), String::from_utf8_lossy(&response.body).into_owned())
        }
        Ok(None) => (0, "the connection was closed without an answer".to_owned()),
        Err(error) => (0, format!("no answer: {error}")),
    };
    record.line(format!("client: {id} got {status} after {} ms: {text}", took.as_millis()));
    let response = result.ok().flatten().unwrap_or_default();
    let stamp = response.header("Bulrushspan-Server-Stamp").unwrap_or_default();
    Reply { id, status, has_stamp: !stamp.is_empty() }
}
