//! Stand-ins of the servers that run callers' requests.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::Reader;

/// The requests that servers have begun to run, by id, with the number of times.
pub type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

/// A server with a number of slots, and the work of one request.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub work: Duration,
    pub runs: Runs,
    /// When requests arrived, with their ids.
    pub arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
    running: Arc<AtomicU32>,
    has_ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn new(id: &str, service: &str, address: SocketAddr, zone: &str, runs: &Runs) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            slots: 5,
            work: Duration::from_millis(760),
            runs: runs.clone(),
            arrivals: Arc::default(),
            running: Arc::default(),
            has_ended: Arc::default(),
            streams: Arc::default(),
        }
    }

    /// Returns the server's entry of the platform's list.
    pub fn entry(&self, state: &str) -> String {
        format!(
            r#"{{"service":"{}","addr":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","cold_left_s":0,"id":"{}","born":1700000000000}}"#,
            self.service, self.address, self.zone, self.slots, self.id
        )
    }

    /// Returns an entry of another writer with the server's id, in which fields are missing.
    pub fn partial_entry(&self) -> String {
        format!(
            r#"{{"service":"{}","addr":"{}","zone":"{}","slots":{},"state":"ready","id":"{}","born":1700000000000}}"#,
            self.service, self.address, self.zone, self.slots, self.id
        )
    }

    /// Ends the server: it takes no connection any more and breaks off what it runs.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the listener up.
        TcpStream::connect(self.address).ok();
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    /// Begins to serve.
    pub fn start(&self) {
        let listener = TcpListener::bind(self.address).expect("a server can't listen");
        let server = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                server.streams.lock().unwrap().push(stream.try_clone().unwrap());
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut reader = Reader::new();
        while let Ok(Some(request)) = reader.read(&mut stream) {
            let id = request.field("bulrushspan-request-id").unwrap_or("").to_owned();
            let expected = request.field("bulrushspan-expect-instance");
            let (status, fields) = if expected.is_some_and(|expected| expected != self.id) {
                ("421 Misdirected Request", "Bulrushspan-Not-Run: 1\r\n".to_owned())
            } else if request.target() == "/healthz" {
                ("200 OK", format!("Bulrushspan-Instance-Id: {}\r\n", self.id))
            } else if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots * 4 {
                self.running.fetch_sub(1, Ordering::SeqCst);
                ("503 Service Unavailable", "Bulrushspan-Not-Run: 1\r\n".to_owned())
            } else {
                self.arrivals.lock().unwrap().push((Instant::now(), id.clone()));
                *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
                thread::sleep(self.work);
                self.running.fetch_sub(1, Ordering::SeqCst);
                ("200 OK", format!("Bulrushspan-Server-Stamp: {}.{id}\r\n", self.id))
            };
            let running = self.running.load(Ordering::SeqCst);
            let body = format!("answer to {id}");
            let response = format!(
                "HTTP/1.1 {status}\r\nBulrushspan-Request-Id: {id}\r\n{fields}\
                 Bulrushspan-Server-Load: {},{},{}\r\nContent-Length: {}\r\n\r\n{body}",
                running.min(self.slots),
                running.saturating_sub(self.slots),
                self.slots,
                body.len()
            );
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }
}
