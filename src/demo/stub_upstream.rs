//! Implements a stub upstream for the demo, trials and tests.

use std::{
    collections::BTreeMap,
    fs::{File, OpenOptions},
    future::Future,
    io::{self, Write},
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::{Buf, Bytes};
use futures_util::{Stream, StreamExt, stream};
use serde::Serialize;
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;
use warp::{
    Filter,
    http::{HeaderMap, HeaderValue, Method, StatusCode, header},
    reply::{Reply, Response},
};

use crate::net::{HttpLimits, serve_http};

/// Represents an upstream that echoes its requests and counts them. Clones share
/// the counts.
#[derive(Clone, Debug)]
pub struct StubUpstream {
    name: String,
    slots: u32,
    service_time: Duration,
    allows_crash: bool,
    stats: Arc<Mutex<Stats>>,
}

/// Counts the requests of a stub upstream.
#[derive(Debug, Default)]
struct Stats {
    running: u32,
    max_running: u32,
    runs: u64,
    runs_by_key: BTreeMap<String, u32>,
    record_file: Option<File>,
}

/// Represents the body of a response.
#[derive(Serialize)]
struct Echo<'a> {
    upstream: &'a str,
    method: &'a str,
    path: &'a str,
    key: &'a str,
    body_bytes: u64,
    body_sha256: String,
}

/// Represents a request without its body.
struct Request {
    method: Method,
    path: String,
    query: BTreeMap<String, String>,
    headers: HeaderMap,
}

impl Request {
    /// Returns the query parameter `name` if it is a number.
    fn query_number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// Returns the idempotency key, or an empty string if there is none.
    fn key(&self) -> String {
        let key = self.headers.get("idempotency-key").and_then(|value| value.to_str().ok());
        key.unwrap_or_default().to_owned()
    }
}

impl StubUpstream {
    /// Creates an upstream. A request takes one of its slots for `service_time`.
    pub fn new(name: String, slots: u32, service_time: Duration) -> Self {
        Self { name, slots, service_time, allows_crash: false, stats: Arc::default() }
    }

    /// Allows a request with the query `crash=1` to end the process.
    pub fn with_crash_requests(mut self) -> Self {
        self.allows_crash = true;
        self
    }

    /// Appends a line to a file when a request starts, ends or is refused.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be opened.
    pub fn with_record_file(self, path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        self.lock().record_file = Some(file);
        Ok(self)
    }

    /// Returns the highest number of concurrent requests at the upstream. A request that
    /// was refused because all slots were taken counts as well.
    pub fn max_running(&self) -> u32 {
        self.lock().max_running
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns how many requests started.
    pub fn runs(&self) -> u64 {
        self.lock().runs
    }

    /// Returns how many requests started with each idempotency key.
    pub fn runs_by_key(&self) -> BTreeMap<String, u32> {
        self.lock().runs_by_key.clone()
    }

    /// Listens on an address, and returns a future that serves until it is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be listened on.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<impl Future<Output = ()> + use<>> {
        let listener = TcpListener::bind(address).await?;
        let upstream = self.clone();
        let query = warp::query::<BTreeMap<String, String>>();
        let request = warp::method()
            .and(warp::path::full())
            .and(query)
            .and(warp::header::headers_cloned())
            .map(|method, path: warp::filters::path::FullPath, query, headers| Request {
                method,
                path: path.as_str().to_owned(),
                query,
                headers,
            });
        let routes = request.and(warp::body::stream()).then(move |request: Request, body| {
            let upstream = upstream.clone();
            async move { upstream.respond(request, body).await }
        });
        let service = warp::service(routes);
        Ok(serve_http(listener, service, HttpLimits::default(), std::future::pending()))
    }

    async fn respond<S, B>(&self, request: Request, body: S) -> Response
    where
        S: Stream<Item = Result<B, warp::Error>> + Send,
        B: Buf,
    {
        let Some(_guard) = self.try_start(&request) else {
            let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
            response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
            return response;
        };
        let Ok((length, digest)) = hash_body(body).await else {
            return StatusCode::BAD_REQUEST.into_response();
        };
        let service_time =
            request.query_number("ms").map_or(self.service_time, Duration::from_millis);
        tokio::time::sleep(service_time).await;
        if self.allows_crash && request.query.contains_key("crash") {
            std::process::exit(CRASH_EXIT_STATUS);
        }
        self.lock().append_record(&["done", &self.name, &request.key(), &request.path]);
        self.echo(&request, length, digest)
    }

    /// Takes a slot for a request, or returns `None` if all are taken.
    fn try_start(&self, request: &Request) -> Option<RunGuard> {
        let mut stats = self.lock();
        if stats.running >= self.slots {
            stats.max_running = stats.max_running.max(stats.running + 1);
            stats.append_record(&["over", &self.name, &request.key(), &request.path]);
            return None;
        }
        stats.running += 1;
        stats.runs += 1;
        stats.max_running = stats.max_running.max(stats.running);
        if !request.key().is_empty() {
            *stats.runs_by_key.entry(request.key()).or_insert(0) += 1;
        }
        stats.append_record(&["run", &self.name, &request.key(), &request.path]);
        Some(RunGuard { stats: self.stats.clone() })
    }

    /// Returns the response to a request. The query parameter `bytes` sets the length
    /// of the body, and `cut` makes the response break off in the middle.
    fn echo(&self, request: &Request, body_bytes: u64, body_sha256: String) -> Response {
        let echo = Echo {
            upstream: &self.name,
            method: request.method.as_str(),
            path: &request.path,
            key: &request.key(),
            body_bytes,
            body_sha256,
        };
        let mut text = serde_json::to_vec(&echo).unwrap_or_default();
        if let Some(length) = request.query_number("bytes") {
            text.resize(length as usize, b' ');
        }
        if !request.query.contains_key("cut") {
            return text.into_response();
        }
        let half = Bytes::from(text[..text.len() / 2].to_vec());
        let chunks = stream::iter([Ok(half), Err(io::Error::other("cut"))]);
        warp::reply::stream(chunks).into_response()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Stats> {
        self.stats.lock().unwrap_or_else(|error| error.into_inner())
    }
}

/// The exit status of the process when a request with `crash=1` ends it.
const CRASH_EXIT_STATUS: i32 = 70;

impl Stats {
    /// Appends a line of tab-separated fields to the record file, if there is one.
    fn append_record(&mut self, fields: &[&str]) {
        if let Some(file) = &mut self.record_file {
            // One write call per line, so that a killed process leaves no partial line.
            file.write_all(format!("{}\n", fields.join("\t")).as_bytes()).ok();
        }
    }
}

/// Frees the slot of a request when it is dropped.
struct RunGuard {
    stats: Arc<Mutex<Stats>>,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.stats.lock().unwrap_or_else(|error| error.into_inner()).running -= 1;
    }
}

/// Reads a body to its end, and returns its length in bytes and its SHA-256 in hex.
async fn hash_body<S, B>(body: S) -> Result<(u64, String), warp::Error>
where
    S: Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    let mut body = std::pin::pin!(body);
    let mut digest = Sha256::new();
    let mut length = 0;
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk?;
        let bytes = chunk.copy_to_bytes(chunk.remaining());
        length += bytes.len() as u64;
        digest.update(&bytes);
    }
    let digest = digest.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    Ok((length, digest))
}
