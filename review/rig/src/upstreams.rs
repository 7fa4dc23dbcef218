//! Stand-ins of the platform's list of servers and of the servers themselves.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message},
    record::Record,
};

/// A request that arrived at a server.
#[derive(Clone, Debug)]
#[allow(dead_code)]
pub struct Arrival {
    pub at: Duration,
    pub server: String,
    pub request: String,
    /// Whether the server ran it.
    pub has_run: bool,
    /// When the server had written the answer, if it has.
    pub answered_at: Option<Duration>,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// A server of a service.
#[derive(Clone, Debug)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    /// Whether it is about to leave; it says so in the list, in its answers and in its health.
    pub is_draining: Arc<Mutex<bool>>,
    pub life: Arc<Mutex<Life>>,
    /// How long it is down after a crash.
    pub down_time: Duration,
}

/// The incarnations of a server.
#[derive(Debug, Default)]
pub struct Life {
    /// The number of crashes so far; each start has an id of its own.
    pub crashes: u32,
    /// When it started again after its last crash.
    started: Option<Instant>,
    is_down: bool,
    connections: Vec<TcpStream>,
}

/// `cold_start_s` of the service.
const COLD_START: Duration = Duration::from_secs(3);

impl Server {
    /// The id of its current start, or of the last one while it is down.
    pub fn current_id(&self) -> String {
        let life = self.life.lock().unwrap();
        let starts = if life.is_down { life.crashes - 1 } else { life.crashes };
        if starts == 0 { self.id.clone() } else { format!("{}-{starts}", self.id) }
    }

    fn cold_left(&self) -> Duration {
        let started = self.life.lock().unwrap().started;
        started.map_or(Duration::ZERO, |started| COLD_START.saturating_sub(started.elapsed()))
    }

    /// Ends all connections, refuses new ones for a while, and starts again.
    pub fn crash(&self, record: &Record) {
        {
            let mut life = self.life.lock().unwrap();
            if life.is_down {
                return;
            }
            life.crashes += 1;
            life.is_down = true;
            for connection in life.connections.drain(..) {
                connection.shutdown(std::net::Shutdown::Both).ok();
            }
        }
        record.say(&format!("server {} crashes", self.current_id()));
        let (server, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(server.down_time);
            {
                let mut life = server.life.lock().unwrap();
                life.is_down = false;
                life.started = Some(Instant::now());
            }
            record.line(&format!("server {} starts", server.current_id()));
        });
    }

    /// Ends the server for good.
    pub fn end(&self) {
        let mut life = self.life.lock().unwrap();
        life.crashes += 1;
        life.is_down = true;
        for connection in life.connections.drain(..) {
            connection.shutdown(std::net::Shutdown::Both).ok();
        }
    }

    /// The entry of the server in the platform's list.
    pub fn entry(&self) -> String {
        let (id, crashes) = (self.current_id(), self.life.lock().unwrap().crashes);
        let (born, cold_left_s) =
            (1764900000000_u64 + u64::from(crashes), self.cold_left().as_secs_f64());
        let state = if *self.is_draining.lock().unwrap() { "draining" } else { "ready" };
        format!(
            r#"{{"service":"{}","addr":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","cold_left_s":{cold_left_s:.3},"id":"{id}","born":{born}}}"#,
            self.service, self.address, self.zone, self.slots
        )
    }

    /// Serves for as long as the program runs.
    pub fn start(&self, arrivals: Arrivals, record: Record) -> std::io::Result<()> {
        let mut listener = Some(TcpListener::bind(self.address)?);
        let server = self.clone();
        let running = Arc::new(Mutex::new(0_u32));
        thread::spawn(move || {
            loop {
                if server.life.lock().unwrap().is_down {
                    listener = None;
                    thread::sleep(Duration::from_millis(5));
                    continue;
                }
                if listener.is_none() {
                    listener = TcpListener::bind(server.address).ok();
                }
                let Some(open) = &listener else { continue };
                open.set_nonblocking(true).ok();
                let Ok((stream, _)) = open.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).ok();
                if let Ok(copy) = stream.try_clone() {
                    server.life.lock().unwrap().connections.push(copy);
                }
                let (server, arrivals) = (server.clone(), arrivals.clone());
                let (record, running) = (record.clone(), running.clone());
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    let idle = Duration::from_secs(60);
                    while let Ok(request) = connection.read(Instant::now() + idle) {
                        if !server.answer(&mut connection, &request, &arrivals, &record, &running) {
                            break;
                        }
                    }
                    connection.stream.shutdown(std::net::Shutdown::Both).ok();
                });
            }
        });
        Ok(())
    }

    /// Answers one request and returns whether the connection is kept.
    fn answer(
        &self,
        connection: &mut Connection,
        request: &Message,
        arrivals: &Arrivals,
        record: &Record,
        running: &Mutex<u32>,
    ) -> bool {
        let is_draining = *self.is_draining.lock().unwrap();
        let own_id = self.current_id();
        let cold_ms = self.cold_left().as_millis();
        let id = request.header("Bulrushspan-Request-Id").unwrap_or_default().to_owned();
        let mut head = String::new();
        if !id.is_empty() {
            head += &format!("Bulrushspan-Request-Id: {id}\r\n");
        }
        if is_draining {
            head += "Server-Leaving: 1\r\nConnection: close\r\n";
        } else {
            head += "Keep-Alive: timeout=60\r\n";
        }
        let mut reply = |status: &str, more: &str, body: &[u8]| {
            let text =
                format!("HTTP/1.1 {status}\r\n{head}{more}Content-Length: {}\r\n\r\n", body.len());
            connection.send(text.as_bytes()).and_then(|()| connection.send(body)).is_ok()
        };
        if request.target() == "/healthz" {
            let status = if is_draining { "503 Service Unavailable" } else { "200 OK" };
            let more =
                format!("Bulrushspan-Instance-Id: {own_id}\r\nBulrushspan-Cold-Ms: {cold_ms}\r\n");
            return reply(status, &more, b"") && !is_draining;
        }
        let expected = request.header("Bulrushspan-Expect-Instance");
        let refusal = match expected {
            Some(expected) if expected != own_id => Some("421 Misdirected Request"),
            _ if id.is_empty() => Some("400 Bad Request"),
            _ => None,
        };
        if let Some(status) = refusal {
            let more = format!("Bulrushspan-Not-Run: 1\r\nBulrushspan-Instance-Id: {own_id}\r\n");
            record.line(&format!("server {own_id} refuses {id}: {status}"));
            return reply(status, &more, b"");
        }
        let index = {
            let mut arrivals = arrivals.lock().unwrap();
            arrivals.push(Arrival {
                at: record.elapsed(),
                server: self.id.clone(),
                request: id.clone(),
                has_run: true,
                answered_at: None,
            });
            arrivals.len() - 1
        };
        let body_bytes = request.body.len();
        record.line(&format!(
            "server {} in {} runs {id} ({} {}, body {body_bytes})",
            self.id,
            self.zone,
            request.method(),
            request.target()
        ));
        *running.lock().unwrap() += 1;
        thread::sleep(Duration::from_millis(request.query("ms").unwrap_or(20)));
        if self.life.lock().unwrap().is_down {
            return false;
        }
        let load = {
            let mut running = running.lock().unwrap();
            *running -= 1;
            format!("{},0,{}", *running, self.slots)
        };
        let body = vec![b'x'; request.query("bytes").unwrap_or(400) as usize];
        let more = format!(
            "Bulrushspan-Server-Stamp: {}.{id}\r\nBulrushspan-Server-Load: {load}\r\n",
            self.id
        );
        let is_sent = reply("200 OK", &more, &body);
        if is_sent {
            arrivals.lock().unwrap()[index].answered_at = Some(record.elapsed());
            record.line(&format!("server {} answered {id}", self.id));
        }
        is_sent && !is_draining
    }
}

/// The platform's list of servers.
#[derive(Clone, Default)]
pub struct Platform {
    pub servers: Arc<Mutex<Vec<Server>>>,
    /// Entries of another writer, as bytes.
    pub other_entries: Arc<Mutex<Vec<Vec<u8>>>>,
    /// How often the list was read.
    pub reads: Arc<Mutex<u32>>,
}

impl Platform {
    pub fn start(&self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let platform = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = platform.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(request) =
                        connection.read(Instant::now() + Duration::from_secs(60))
                    {
                        let body = platform.page(&request);
                        let head = format!(
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                            body.len()
                        );
                        if connection
                            .send(head.as_bytes())
                            .and_then(|()| connection.send(&body))
                            .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        Ok(())
    }

    /// The only page: the stand-in lists fewer servers than fit on one.
    fn page(&self, request: &Message) -> Vec<u8> {
        *self.reads.lock().unwrap() += 1;
        let zone = request
            .target()
            .split_once("zone=")
            .map(|(_, rest)| rest.split('&').next().unwrap_or_default().to_owned());
        let servers = self.servers.lock().unwrap();
        let listed =
            servers.iter().filter(|server| zone.as_ref().is_none_or(|zone| *zone == server.zone));
        let mut entries: Vec<Vec<u8>> = listed.map(|server| server.entry().into_bytes()).collect();
        entries.extend(self.other_entries.lock().unwrap().iter().cloned());
        let mut body = br#"{"instances":["#.to_vec();
        body.extend(entries.join(&b','));
        body.extend(br#"],"next_token":null}"#);
        body
    }
}

/// Returns how often each request ran.
#[allow(dead_code)]
pub fn runs(arrivals: &Arrivals) -> BTreeMap<String, u32> {
    let mut runs = BTreeMap::new();
    for arrival in arrivals.lock().unwrap().iter().filter(|arrival| arrival.has_run) {
        *runs.entry(arrival.request.clone()).or_default() += 1;
    }
    runs
}
