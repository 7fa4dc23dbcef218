//! A soak: real processes under series of overlapping signals, between callers that keep their
//! connections and upstreams in trouble. It checks what refusals promise, and that nothing that
//! may run once runs twice.
//!
//! `SOAK_SEEDS=1..51` plays other seeds than those of CI, `SOAK_PROGRAM` another build, and
//! `SOAK_FAULTS` upstreams with only some of [`FAULTS`].

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{sleep, timeout},
};

use super::fleet::{Fleet, WAIT_TIMEOUT};

const ENTRIES: [&str; 4] = ["e1", "e2", "e3", "e4"];
const CONTROLS: [&str; 3] = ["c1", "c2", "c3"];
const UPSTREAMS: usize = 8;
/// How many upstreams are listed under two ids each.
const LISTED_TWICE: usize = 4;
/// The slots of an upstream, and how many more requests it queues.
const SLOTS: usize = 3;
const QUEUE: usize = 3;
const CALLERS: usize = 100;
/// How long callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(12);
/// How long requests may still run after the last one was sent.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// What upstreams in trouble do: they answer a request that has run with a status that promises
/// the contrary, refuse requests without naming them, answer twice, copy a refusal while its
/// request runs after all, answer in pieces, break off, and take no new connections for a while.
const FAULTS: &str = "unmarked,unnamed,twice,copies,pieces,breaks,closed";
const DEADLINE: Duration = Duration::from_secs(3);

/// What callers and upstreams saw of requests that may run once.
#[derive(Default)]
struct Record {
    /// How often an upstream began to run each attempt.
    runs: BTreeMap<String, u32>,
    /// The status that the caller got for each attempt, with the response.
    answers: BTreeMap<String, (u16, String)>,
}

type Shared = Arc<Mutex<Record>>;

/// Returns the value of a header field.
fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .filter_map(|line| line.split_once(": "))
        .find_map(|(field, value)| field.eq_ignore_ascii_case(name).then_some(value.trim()))
}

/// Reads one message with a body that has a length. Returns its head, or `None` at the end of the
/// connection.
async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = field(&head, "content-length").map_or(0, |length| length.parse().unwrap());
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    Some(head)
}

/// An upstream with slots and a queue that answers late, twice, in pieces or not at all.
struct Upstream {
    number: usize,
    record: Shared,
    rng: Mutex<StdRng>,
    running: Mutex<usize>,
    /// Some of [`FAULTS`].
    faults: String,
}

impl Upstream {
    fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.rng.lock().unwrap().random_range(range)
    }

    /// Returns whether the upstream shows a fault now, which it does once in a number of times.
    fn shows(&self, fault: &str, times: u64) -> bool {
        self.faults.split(',').any(|shown| shown == fault) && self.draw(0..times) == 0
    }

    /// Serves connections, with pauses in which new ones are refused.
    async fn serve(self: Arc<Self>, address: std::net::SocketAddr) {
        loop {
            let Ok(listener) = TcpListener::bind(address).await else {
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            let open_ms = self.draw(1500..6000);
            timeout(Duration::from_millis(open_ms), self.clone().accept(&listener)).await.ok();
            if !self.shows("closed", 1) {
                continue;
            }
            drop(listener);
            sleep(Duration::from_millis(self.draw(0..800))).await;
        }
    }

    async fn accept(self: Arc<Self>, listener: &TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut refused = BTreeSet::new();
        while let Some(head) = read_message(&mut stream).await {
            if self.respond(&mut stream, &head, &mut refused).await.is_none() {
                return;
            }
        }
    }

    /// Handles one request. `refused` are the ids that were refused on the connection. Returns
    /// `None` if the connection is to be closed.
    async fn respond(
        &self,
        stream: &mut TcpStream,
        head: &str,
        refused: &mut BTreeSet<String>,
    ) -> Option<()> {
        let id = field(head, "bulrushspan-request-id").unwrap_or_default().to_owned();
        if id.is_empty() {
            let instance = field(head, "bulrushspan-expect-instance").unwrap_or_default();
            let text = format!(
                "HTTP/1.1 200 OK\r\nBulrushspan-Instance-Id: {instance}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes()).await.ok();
        }
        let queued_until = Instant::now() + Duration::from_millis(self.draw(50..900));
        let is_full = *self.running.lock().unwrap() >= SLOTS + QUEUE;
        while !is_full && *self.running.lock().unwrap() >= SLOTS && Instant::now() < queued_until {
            sleep(Duration::from_millis(10)).await;
        }
        let has_slot = *self.running.lock().unwrap() < SLOTS;
        if is_full || !has_slot {
            refused.insert(id.clone());
            let id = if self.shows("unnamed", 20) { "" } else { &id };
            return self.write(stream, id, 503, "Bulrushspan-Not-Run: 1\r\n").await;
        }
        *self.running.lock().unwrap() += 1;
        let target = head.split(' ').nth(1).unwrap_or_default();
        let number = target.split_once('=').map_or("", |(_, number)| number);
        *self.record.lock().unwrap().runs.entry(format!("{id}#{number}")).or_default() += 1;
        if refused.contains(&id) && self.shows("copies", 1) {
            self.write(stream, &id, 503, "Bulrushspan-Not-Run: 1\r\n").await?;
        }
        let work_ms = if self.draw(0..40) == 0 { 1000..4000 } else { 5..100 };
        sleep(Duration::from_millis(self.draw(work_ms))).await;
        *self.running.lock().unwrap() -= 1;
        if self.shows("breaks", 25) {
            return None;
        }
        let status = if self.shows("unmarked", 50) { 503 } else { 200 };
        self.write(stream, &id, status, "").await
    }

    /// Writes a response, sometimes in pieces, and sometimes once more a while later.
    async fn write(
        &self,
        stream: &mut TcpStream,
        id: &str,
        status: u16,
        extra: &str,
    ) -> Option<()> {
        let named = if id.is_empty() { "" } else { &format!("Bulrushspan-Request-Id: {id}\r\n") };
        let text = format!(
            "HTTP/1.1 {status} X\r\n{named}Bulrushspan-Server-Stamp: s{}\r\n{extra}\
             Content-Length: 5\r\n\r\nplate",
            self.number
        );
        let bytes = text.as_bytes();
        if self.shows("pieces", 8) {
            let (start, rest) = bytes.split_at(self.draw(1..bytes.len() as u64) as usize);
            stream.write_all(start).await.ok()?;
            sleep(Duration::from_millis(self.draw(10..400))).await;
            stream.write_all(rest).await.ok()?;
        } else {
            stream.write_all(bytes).await.ok()?;
        }
        if self.shows("twice", 8) {
            sleep(Duration::from_millis(self.draw(0..200))).await;
            stream.write_all(bytes).await.ok()?;
        }
        Some(())
    }
}

/// Sends requests one after another on connections that are kept until they end.
async fn run_caller(front: Vec<String>, number: usize, seed: u64, record: Shared) {
    let mut rng = StdRng::seed_from_u64(seed * 1000 + number as u64);
    let started_at = Instant::now();
    let mut connection: Option<TcpStream> = None;
    let mut refused_id: Option<String> = None;
    for attempt in 0.. {
        if started_at.elapsed() > LOAD_TIME {
            return;
        }
        let mut stream = match connection.take() {
            Some(stream) => stream,
            None => {
                let address = &front[rng.random_range(0..front.len())];
                let connecting = timeout(Duration::from_secs(1), TcpStream::connect(address));
                let Ok(Ok(stream)) = connecting.await else {
                    sleep(Duration::from_millis(50)).await;
                    continue;
                };
                stream
            }
        };
        let id = refused_id.take().unwrap_or_else(|| format!("s{seed}-{number}-{attempt}"));
        let body = "x".repeat(if rng.random_range(0..10) == 0 { 40_000 } else { 30 });
        let request = format!(
            "POST /book/{number}?attempt={attempt} HTTP/1.1\r\nHost: shop.example\r\n\
             Bulrushspan-Request-Id: {id}\r\nBulrushspan-Deadline-Ms: {}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            DEADLINE.as_millis(),
            body.len()
        );
        if stream.write_all(request.as_bytes()).await.is_err() {
            continue;
        }
        // Some callers leave early, and some still read what comes after their deadline.
        let patience = if rng.random_range(0..20) == 0 { DEADLINE / 10 } else { DEADLINE * 2 };
        let Ok(Some(head)) = timeout(patience, read_message(&mut stream)).await else { continue };
        let status = head[9..12].parse().unwrap();
        let is_closed = field(&head, "connection") == Some("close");
        record.lock().unwrap().answers.insert(format!("{id}#{attempt}"), (status, head));
        // Some callers send a request again under the id that was refused.
        let is_repeated = is_promise(status) && rng.random_range(0..3) == 0;
        refused_id = is_repeated.then_some(id);
        if !is_closed && status == 200 {
            connection = Some(stream);
        }
        sleep(Duration::from_millis(rng.random_range(0..30))).await;
    }
}

/// Stops, continues, ends and kills processes in series that overlap.
async fn disrupt(fleet: &mut Fleet, rng: &mut StdRng) {
    let started_at = Instant::now();
    let mut stopped: Vec<(&str, Instant)> = Vec::new();
    while started_at.elapsed() < LOAD_TIME {
        sleep(Duration::from_millis(rng.random_range(50..500))).await;
        stopped.retain(|(name, until)| {
            let is_due = Instant::now() >= *until;
            if is_due {
                fleet.signal(name, "-CONT");
            }
            !is_due
        });
        let is_control = rng.random_range(0..6) == 0;
        let names: &[&str] = if is_control { &CONTROLS } else { &ENTRIES };
        let name = names[rng.random_range(0..names.len())];
        if stopped.iter().any(|(stopped, _)| *stopped == name) {
            continue;
        }
        match rng.random_range(0..10) {
            0..6 => {
                fleet.signal(name, "-STOP");
                let duration = Duration::from_millis(rng.random_range(100..3500));
                stopped.push((name, Instant::now() + duration));
            }
            6..8 => {
                fleet.kill(name);
                fleet.start_process(name, false);
            }
            _ if !is_control => {
                fleet.signal(name, "-TERM");
                // Signals come while it stops, and the platform starts it again once it is gone.
                if rng.random_range(0..2) == 0 {
                    sleep(Duration::from_millis(rng.random_range(50..500))).await;
                    fleet.signal(name, "-STOP");
                    sleep(Duration::from_millis(rng.random_range(100..1500))).await;
                    fleet.signal(name, "-CONT");
                }
                sleep(Duration::from_millis(rng.random_range(500..2500))).await;
                fleet.kill(name);
                fleet.start_process(name, false);
            }
            _ => {}
        }
    }
    stopped.iter().for_each(|(name, _)| fleet.signal(name, "-CONT"));
}

/// Plays one seed, and returns the broken promises.
async fn play(seed: u64) -> Vec<String> {
    let mut fleet = Fleet::new(6);
    if let Some(program) = env::var_os("SOAK_PROGRAM") {
        fleet.program = PathBuf::from(program);
    }
    let faults = env::var("SOAK_FAULTS").unwrap_or_else(|_| FAULTS.to_owned());
    let record = Shared::default();
    let mut tasks = JoinSet::new();
    let mut entries: Vec<Value> = Vec::new();
    for number in 0..UPSTREAMS {
        let address = fleet.upstream_address(number);
        let is_listed_twice = number < LISTED_TWICE;
        let ids = [Some(format!("i-{number}")), is_listed_twice.then(|| format!("j-{number}"))];
        entries.extend(ids.into_iter().flatten().map(|id| {
            json!({
                "id": id, "service": "orders", "addr": address, "zone": "a", "version": "v1",
                "slots": SLOTS, "state": "ready", "cold_left_s": 0,
            })
        }));
        let rng = Mutex::new(StdRng::seed_from_u64(seed * 1000 + 500 + number as u64));
        let (record, running, faults) = (record.clone(), Mutex::default(), faults.clone());
        let upstream = Upstream { number, record, rng, running, faults };
        tasks.spawn(Arc::new(upstream).serve(address));
    }
    let processes: Vec<&str> = CONTROLS.into_iter().chain(ENTRIES).collect();
    fleet.launch(entries, &processes);
    fleet.configure("r2", "/book/").await;
    for entry in ENTRIES {
        fleet.wait_for(&format!("http://{}:8140/api/readyz", fleet.ip(entry)), 200, "").await;
    }
    let front: Vec<String> =
        ENTRIES.iter().map(|entry| format!("{}:8144", fleet.ip(entry))).collect();
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(run_caller(front.clone(), number, seed, record.clone()));
    }
    disrupt(&mut fleet, &mut StdRng::seed_from_u64(seed)).await;
    timeout(WAIT_TIMEOUT, callers.join_all()).await.unwrap();
    sleep(SETTLE_TIME).await;
    let broken = broken_promises(&record.lock().unwrap(), seed);
    if !broken.is_empty() {
        fleet.keeps_logs = true;
    }
    broken
}

/// Returns whether a status promises that the request has not run and never will.
fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn broken_promises(record: &Record, seed: u64) -> Vec<String> {
    let mut counts: BTreeMap<u16, u32> = BTreeMap::new();
    record.answers.values().for_each(|(status, _)| *counts.entry(*status).or_default() += 1);
    println!("seed {seed}: {} ran, answers {counts:?}", record.runs.len());
    let refused = record.answers.iter().filter_map(|(id, (status, head))| {
        let has_run = record.runs.contains_key(id);
        (is_promise(*status) && has_run)
            .then(|| format!("REFUSED: {id} was refused and ran: {head}"))
    });
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for (attempt, count) in &record.runs {
        let (id, _) = attempt.split_once('#').unwrap();
        *runs.entry(id).or_default() += count;
    }
    let twice = runs.into_iter().filter(|(_, count)| *count > 1);
    refused.chain(twice.map(|(id, count)| format!("TWICE: {id} ran {count} times"))).collect()
}

/// Requests that had been refused with the promise that they never run had run.
#[tokio::test(flavor = "multi_thread")]
async fn refused_requests_never_run_while_signals_and_faults_overlap() {
    let seeds = env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..2".to_owned());
    let (first, end) = seeds.split_once("..").expect("SOAK_SEEDS is FIRST..END");
    let mut broken = Vec::new();
    for seed in first.parse().unwrap()..end.parse().unwrap() {
        broken.extend(play(seed).await);
    }
    assert!(broken.is_empty(), "{} broken promises:\n{}", broken.len(), broken.join("\n"));
}
