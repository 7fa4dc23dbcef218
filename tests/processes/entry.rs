//! Runs one entry instance against a stand-in for its control replica and against upstreams
//! that write raw bytes.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushspan::{
    core::{
        MapDelta,
        control::Policy,
        upstreams::{ListedState, ListedUpstream},
    },
    net::{
        mesh::{MeshHandler, serve_mesh},
        wire::{
            Cursor, FollowReply, FollowRequest, ListDelta, NodeReply, NodeRequest, PolicyUpdate,
        },
    },
    platform::configuration,
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{sleep, timeout},
};

pub(super) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(50);
pub(super) const SERVICE: &str = "orders";
pub(super) const MEMORY_MB: u64 = 64;
pub(super) const LINK_MBPS: f64 = 1000.0;
pub(super) const GRACE_S: f64 = 6.0;
/// The length of the body of [`large_response`].
const LARGE_BYTES: usize = 400_000;

/// What an upstream does with each connection, after the head of the first request.
type Behaviour = fn(TcpStream, mpsc::UnboundedSender<Event>) -> BoxFuture;
type BoxFuture = std::pin::Pin<Box<dyn Future<Output = ()> + Send>>;

/// What an upstream saw.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum Event {
    Requested,
    Closed,
    /// The control replica was asked how up to date it is.
    Probed,
}

/// An entry instance with one upstream, which is killed on drop.
pub(super) struct Rig {
    folder: PathBuf,
    ip: String,
    process: Child,
    events: mpsc::UnboundedReceiver<Event>,
}

impl Rig {
    /// Starts the instance on an address of its own, and waits until it is ready.
    async fn start(number: u32, behaviour: Behaviour) -> Self {
        Self::start_on_link(number, behaviour, LINK_MBPS).await
    }

    async fn start_on_link(number: u32, behaviour: Behaviour, link_mbps: f64) -> Self {
        let (event_sender, events) = mpsc::unbounded_channel();
        let listener = TcpListener::bind(address(upstream_number(number), 8080)).await.unwrap();
        let upstream = listed_upstream(listener.local_addr().unwrap());
        tokio::spawn(serve_upstream(listener, behaviour, event_sender));
        let control = control_replica(policy(|_| ()), upstream);
        let rig = Self::launch(number, control, events, link_mbps).await;
        rig.wait_ready().await;
        rig
    }

    /// Starts the instance with a control replica, and with a second seed that it finds at
    /// [`silent_seed`].
    pub(super) async fn launch(
        number: u32,
        control: MeshHandler<NodeRequest, NodeReply>,
        events: mpsc::UnboundedReceiver<Event>,
        link_mbps: f64,
    ) -> Self {
        Self::launch_with(number, control, events, (link_mbps, GRACE_S)).await
    }

    /// Starts the instance with another time from SIGTERM to SIGKILL.
    pub(super) async fn launch_with_grace(
        number: u32,
        control: MeshHandler<NodeRequest, NodeReply>,
        events: mpsc::UnboundedReceiver<Event>,
        grace_s: f64,
    ) -> Self {
        Self::launch_with(number, control, events, (LINK_MBPS, grace_s)).await
    }

    async fn launch_with(
        number: u32,
        control: MeshHandler<NodeRequest, NodeReply>,
        events: mpsc::UnboundedReceiver<Event>,
        (link_mbps, grace_s): (f64, f64),
    ) -> Self {
        let listener = TcpListener::bind(address(control_number(number), 7660)).await.unwrap();
        tokio::spawn(serve_mesh(listener, control));
        Self::launch_without_control(number, events, (link_mbps, grace_s))
    }

    /// Starts the instance alone. The test serves the control replica, and may serve the second
    /// seed.
    pub(super) fn launch_without_control(
        number: u32,
        events: mpsc::UnboundedReceiver<Event>,
        (link_mbps, grace_s): (f64, f64),
    ) -> Self {
        let ip = ip(number);
        let folder =
            std::env::temp_dir().join(format!("bulrushspan-entry-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let seeds =
            [address(control_number(number), 8146), format!("{}:8146", silent_seed(number))];
        let settings = json!({
            "node": "e1", "ip": ip, "zone": "a", "region": "north", "zones": {"a": "north"},
            "listen": {"front": format!("{ip}:8144"), "ready": format!("{ip}:8140")},
            "cluster_ports": [7660, 7675], "seeds": seeds, "bootstrap": true, "data_dir": null,
            "limits": {"cpu_share": 1.0, "memory_mb": MEMORY_MB, "max_fds": 4000, "link_mbps": link_mbps},
            "bounds": {"grace_s": grace_s, "retry_ratio": 100.0},
        });
        let file = folder.join("node.json");
        fs::write(&file, settings.to_string()).unwrap();
        let log = fs::File::create(folder.join("log")).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_bulrushspan"))
            .args(["entry", "--settings"])
            .arg(&file)
            .stdout(Stdio::from(log))
            .spawn()
            .unwrap();
        Self { folder, ip, process, events }
    }

    pub(super) async fn wait_ready(&self) {
        let started_at = Instant::now();
        let url = format!("http://{}:8140/api/readyz", self.ip);
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        while !http.get(&url).send().await.is_ok_and(|response| response.status().is_success()) {
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "the instance is not ready");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Begins a planned stop.
    pub(super) fn terminate(&self) {
        self.signal("TERM");
    }

    pub(super) async fn connect(&self) -> TcpStream {
        TcpStream::connect(format!("{}:8144", self.ip)).await.unwrap()
    }

    /// Sends one request on its own connection and returns the status of the response.
    async fn get(&self, id: &str) -> u16 {
        let mut caller = self.connect().await;
        caller.write_all(request(id, "close").as_bytes()).await.unwrap();
        let mut response = Vec::new();
        timeout(WAIT_TIMEOUT, caller.read_to_end(&mut response)).await.unwrap().unwrap();
        let text = String::from_utf8_lossy(&response);
        text.split(' ').nth(1).unwrap_or_default().parse().unwrap()
    }

    pub(super) fn signal(&self, name: &str) {
        let (signal, pid) = (format!("-{name}"), self.process.id().to_string());
        assert!(Command::new("kill").args([&signal, &pid]).status().unwrap().success());
    }

    async fn next_event(&mut self) -> Event {
        timeout(WAIT_TIMEOUT, self.events.recv()).await.unwrap().unwrap()
    }

    /// Returns the greatest amount of memory that the process has used, in MiB.
    pub(super) fn peak_memory_mib(&self) -> u64 {
        peak_memory_mib(self.process.id())
    }
}

/// Returns the greatest amount of memory that a process has used, in MiB.
pub(super) fn peak_memory_mib(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() / 1024
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.process.kill().ok();
        self.process.wait().ok();
        if !std::thread::panicking() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

/// How many instances the tests may start.
const INSTANCES_MAX: u32 = 250;

/// Returns an address on loopback that only this process uses. Each test has instance numbers of
/// its own.
pub(super) fn ip(number: u32) -> String {
    let pid = std::process::id();
    let (block, host) = (number / INSTANCES_MAX, 1 + number % INSTANCES_MAX);
    format!("127.{}.{}.{host}", 20 + pid % 80, pid / 80 % 60 * 4 + block)
}

/// Returns the number that stands for the control replica of an instance.
pub(super) fn control_number(instance: u32) -> u32 {
    instance + INSTANCES_MAX
}

/// Returns the number that stands for the upstreams of an instance.
pub(super) fn upstream_number(instance: u32) -> u32 {
    instance + 2 * INSTANCES_MAX
}

pub(super) fn address(number: u32, port: u16) -> String {
    format!("{}:{port}", ip(number))
}

/// Returns the address of a seed at which nothing listens unless a test does.
pub(super) fn silent_seed(number: u32) -> String {
    ip(number + 3 * INSTANCES_MAX)
}

fn request(id: &str, connection: &str) -> String {
    format!(
        "GET /menu/1 HTTP/1.1\r\nHost: shop.example\r\nConnection: {connection}\r\n\
         Bulrushspan-Request-Id: {id}\r\nBulrushspan-Deadline-Ms: 20000\r\n\r\n"
    )
}

pub(super) fn listed_upstream(address: SocketAddr) -> ListedUpstream {
    ListedUpstream {
        id: "u1".to_owned(),
        service: SERVICE.to_owned(),
        address,
        zone: "a".to_owned(),
        version: "v1".to_owned(),
        slots: 64,
        state: ListedState::Ready,
        cold_left: Duration::ZERO,
        started_unix_ms: None,
    }
}

/// Returns a policy with one route. `edit` changes its configuration.
pub(super) fn policy(edit: impl FnOnce(&mut Value)) -> Policy {
    let mut table = json!({"version": "r1", "resources": [
        {"type": "services", "meta": {"name": SERVICE}, "spec": {
            "health_path": "/health", "max_conns": 100, "cold_start_s": 0.0, "cold_per_s": 5.0}},
        {"type": "routes", "meta": {"name": "menu"}, "spec": {
            "host": "shop.example", "path_prefix": "/menu/", "kind": "safe", "timeout_s": 20.0,
            "slo_s": 1.0, "priority": 1, "service": SERVICE, "max_attempts": 1}},
        {"type": "limits", "meta": {}, "spec": {
            "max_header_bytes": 16_384, "max_body_bytes": 67_108_864, "header_timeout_s": 3.0,
            "idle_timeout_s": 15.0}},
    ]});
    edit(&mut table);
    let routing = configuration::decode(table.to_string().as_bytes()).unwrap();
    Policy { version: 1, routing: routing.into(), ..Policy::default() }
}

/// Returns a control replica whose policy and list never change.
pub(super) fn control_replica(
    policy: Policy,
    upstream: ListedUpstream,
) -> MeshHandler<NodeRequest, NodeReply> {
    Arc::new(move |call, _peer| {
        let (policy, upstream) = (policy.clone(), upstream.clone());
        Box::pin(async move {
            let NodeRequest::Follow(request) = call else { return None };
            sleep(Duration::from_millis(request.hold_ms)).await;
            Some(NodeReply::Follow(Box::new(follow_reply(&request, &policy, upstream))))
        })
    })
}

pub(super) fn follow_reply(
    request: &FollowRequest,
    policy: &Policy,
    listed: ListedUpstream,
) -> FollowReply {
    let put = vec![(listed.id.clone(), listed)];
    let change = MapDelta { version: 1, is_full: true, put, removed: Vec::new() };
    let has_list = request.list == Some(Cursor { counter: 1, count: 1 });
    FollowReply {
        zone: "a".to_owned(),
        version: policy.version,
        update: match request.version {
            Some(0) => PolicyUpdate::Whole(Box::new(policy.clone())),
            _ => PolicyUpdate::Deltas(Vec::new()),
        },
        list: (!has_list).then_some(ListDelta { counter: 1, change }),
        list_age_ms: Some(0),
        replicas: Vec::new(),
        behind_ms: Some(0),
        entries: 1,
        entry_rank: None,
        peers: None,
        held_ms: 0,
    }
}

async fn serve_upstream(
    listener: TcpListener,
    behaviour: Behaviour,
    events: mpsc::UnboundedSender<Event>,
) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let events = events.clone();
        tokio::spawn(async move {
            let mut head = vec![0; 4096];
            if stream.read(&mut head).await.is_ok_and(|length| length > 0) {
                events.send(Event::Requested).ok();
                behaviour(stream, events).await;
            }
        });
    }
}

/// Never responds, and reports when the connection is closed.
fn silent(mut stream: TcpStream, events: mpsc::UnboundedSender<Event>) -> BoxFuture {
    Box::pin(async move {
        let mut byte = [0];
        while stream.read(&mut byte).await.is_ok_and(|length| length > 0) {}
        events.send(Event::Closed).ok();
    })
}

fn large_response(mut stream: TcpStream, _events: mpsc::UnboundedSender<Event>) -> BoxFuture {
    Box::pin(async move {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.ok();
        stream.write_all(&vec![b'x'; LARGE_BYTES]).await.ok();
        sleep(WAIT_TIMEOUT).await;
    })
}

/// Writes `start` and then `piece` again and again until the connection is closed.
async fn write_without_end(
    mut stream: TcpStream,
    events: mpsc::UnboundedSender<Event>,
    start: &'static str,
    piece: Vec<u8>,
) {
    let mut is_open = stream.write_all(start.as_bytes()).await.is_ok();
    while is_open {
        is_open = stream.write_all(&piece).await.is_ok();
    }
    events.send(Event::Closed).ok();
}

fn endless_head(stream: TcpStream, events: mpsc::UnboundedSender<Event>) -> BoxFuture {
    let field = format!("X-Field: {}\r\n", "x".repeat(4000));
    Box::pin(write_without_end(stream, events, "HTTP/1.1 200 OK\r\n", field.into_bytes()))
}

fn endless_bytes_without_a_head(
    stream: TcpStream,
    events: mpsc::UnboundedSender<Event>,
) -> BoxFuture {
    Box::pin(write_without_end(stream, events, "", vec![b'x'; 4096]))
}

fn endless_interim_responses(stream: TcpStream, events: mpsc::UnboundedSender<Event>) -> BoxFuture {
    let interim = b"HTTP/1.1 102 Processing\r\n\r\n".to_vec();
    Box::pin(write_without_end(stream, events, "", interim))
}

fn endless_unframed_body(stream: TcpStream, events: mpsc::UnboundedSender<Event>) -> BoxFuture {
    Box::pin(write_without_end(stream, events, "HTTP/1.1 200 OK\r\n\r\n", vec![b'x'; 65536]))
}

fn endless_chunks(stream: TcpStream, events: mpsc::UnboundedSender<Event>) -> BoxFuture {
    let start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    Box::pin(write_without_end(stream, events, start, chunk.into_bytes()))
}

/// Callers that abandon their requests: the upstream has to stop working on them.
#[tokio::test(flavor = "multi_thread")]
async fn a_callers_departure_closes_the_connection_to_the_upstream() {
    let mut rig = Rig::start(1, silent).await;
    for connection in ["keep-alive", "close"] {
        let mut caller = rig.connect().await;
        caller.write_all(request("r1", connection).as_bytes()).await.unwrap();
        assert_eq!(rig.next_event().await, Event::Requested);
        let left_at = Instant::now();
        drop(caller);
        assert_eq!(rig.next_event().await, Event::Closed);
        let elapsed = left_at.elapsed();
        assert!(elapsed < Duration::from_secs(5), "{connection}: closed after {elapsed:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_departure_is_noticed_behind_as_many_requests_as_run_at_once() {
    let mut rig = Rig::start(2, silent).await;
    let mut caller = rig.connect().await;
    for number in 0..33 {
        let request = request(&format!("r{number}"), "keep-alive");
        caller.write_all(request.as_bytes()).await.unwrap();
    }
    for _ in 0..32 {
        assert_eq!(rig.next_event().await, Event::Requested);
    }
    drop(caller);
    for _ in 0..32 {
        assert_eq!(rig.next_event().await, Event::Closed);
    }
}

/// A planned stop while a response takes longer on a narrow link than an idle instance serves.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_waits_until_responses_are_written() {
    let mut rig = Rig::start_on_link(11, large_response, 1.0).await;
    let mut caller = rig.connect().await;
    caller.write_all(request("r1", "close").as_bytes()).await.unwrap();
    assert_eq!(rig.next_event().await, Event::Requested);
    rig.terminate();
    let mut response = Vec::new();
    timeout(WAIT_TIMEOUT, caller.read_to_end(&mut response)).await.unwrap().unwrap();
    assert!(response.len() > LARGE_BYTES, "cut after {} bytes", response.len());
}

/// Recovery of the whole system: replicas are behind until they have a leader, and some do not
/// reply.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_was_behind_is_probed_again_while_another_does_not_reply() {
    let (event_sender, events) = mpsc::unbounded_channel();
    let silent = TcpListener::bind(format!("{}:7660", silent_seed(10))).await.unwrap();
    tokio::spawn(serve_upstream(silent, self::silent, event_sender.clone()));
    let control: MeshHandler<NodeRequest, NodeReply> = Arc::new(move |_, _peer| {
        let events = event_sender.clone();
        Box::pin(async move {
            events.send(Event::Probed).ok();
            let request = FollowRequest {
                version: None,
                list: None,
                demand: Vec::new(),
                hold_ms: 0,
                peers_of: None,
                crashes: Vec::new(),
            };
            let listed = listed_upstream(([127, 0, 0, 1], 1).into());
            let mut reply = follow_reply(&request, &Policy::default(), listed);
            (reply.list, reply.list_age_ms, reply.behind_ms) = (None, None, None);
            Some(NodeReply::Follow(Box::new(reply)))
        })
    });
    let mut rig = Rig::launch(10, control, events, LINK_MBPS).await;
    let mut seen = BTreeMap::new();
    loop {
        match rig.next_event().await {
            Event::Closed => break,
            event => *seen.entry(format!("{event:?}")).or_insert(0) += 1,
        }
    }
    assert!(seen["Probed"] >= 2, "probed once until the silent replica was given up: {seen:?}");
}

/// Upstreams in trouble that send bytes without end, in a head or a body.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bytes_end_the_attempt_within_bounded_memory() {
    let behaviours: BTreeMap<&str, Behaviour> = BTreeMap::from([
        ("head", endless_head as Behaviour),
        ("no head", endless_bytes_without_a_head),
        ("interim responses", endless_interim_responses),
        ("unframed body", endless_unframed_body),
        ("chunks", endless_chunks),
    ]);
    for (number, (name, behaviour)) in (3..).zip(behaviours) {
        let mut rig = Rig::start(number, behaviour).await;
        let sent_at = Instant::now();
        assert_eq!(rig.get("r1").await, 502, "{name}");
        // The request's own deadline would end it after 20 s.
        assert!(sent_at.elapsed() < Duration::from_secs(15), "{name}: {:?}", sent_at.elapsed());
        assert_eq!(rig.next_event().await, Event::Requested);
        assert_eq!(rig.next_event().await, Event::Closed, "{name}");
        let memory_mib = rig.peak_memory_mib();
        assert!(memory_mib < MEMORY_MB, "{name}: {memory_mib} MiB used");
    }
}
