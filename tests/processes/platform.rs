//! Runs the control and entry roles of the platform against stand-ins for its instance list and
//! its upstreams.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bulrushspan::{
    core::{control::Policy, suspects::CrashReport},
    net::{
        mesh::MeshClient,
        wire::{FollowRequest, NodeReply, NodeRequest, PolicyUpdate},
    },
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use warp::{Filter, http::Response};

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const UPSTREAMS: usize = 3;

/// Three control replicas and two entry instances, which are killed on drop.
struct Fleet {
    folder: PathBuf,
    /// The first three octets of every address.
    ip_prefix: String,
    processes: BTreeMap<String, Child>,
    /// The control replicas that settings name as seeds.
    seeds: [&'static str; 3],
    http: reqwest::Client,
    /// How often the upstreams ran each request, by request id.
    runs: Runs,
    /// The queries of the calls for the list of upstreams.
    list_queries: ListQueries,
}

type ListQueries = Arc<Mutex<Vec<BTreeMap<String, String>>>>;
type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

impl Fleet {
    /// Starts the fleet of the test with this number, below 4, which no other test may have.
    async fn start(number: u32) -> Self {
        let pid = std::process::id();
        let ip_prefix = format!("127.{}.{}", 100 + pid % 100, pid / 100 % 62 + 62 * number);
        let folder = std::env::temp_dir().join(format!("bulrushspan-fleet-{pid}-{number}"));
        fs::create_dir_all(&folder).unwrap();
        let mut fleet = Self {
            folder,
            ip_prefix,
            processes: BTreeMap::new(),
            seeds: ["c1", "c2", "c3"],
            http: reqwest::Client::builder().no_proxy().build().unwrap(),
            runs: Runs::default(),
            list_queries: ListQueries::default(),
        };
        fleet.start_stand_ins();
        for name in ["c1", "c2", "c3", "e1", "e2"] {
            fleet.start_process(name, true);
        }
        fleet
    }

    fn ip(&self, name: &str) -> String {
        let number: u32 = name[1..].parse().unwrap();
        let offset = if name.starts_with('c') { 10 } else { 20 };
        format!("{}.{}", self.ip_prefix, offset + number)
    }

    fn start_stand_ins(&self) {
        let mut entries = Vec::new();
        for number in 0..UPSTREAMS {
            let address: SocketAddr =
                format!("{}.{}:8080", self.ip_prefix, 30 + number).parse().unwrap();
            entries.push(json!({
                "id": format!("i-{number}"), "service": "orders", "addr": address, "zone": "a",
                "version": "v1", "slots": 4, "state": "ready", "cold_left_s": 0,
            }));
            let runs = self.runs.clone();
            tokio::spawn(warp::serve(upstream(number, runs)).run(address));
        }
        // A malformed entry is skipped; the other entries still apply.
        entries.push(json!({"id": "i-damaged", "slots": []}));
        let address: SocketAddr = format!("{}.40:8142", self.ip_prefix).parse().unwrap();
        let queries = self.list_queries.clone();
        let list_route = warp::path("instances").and(warp::query()).map(
            move |query: BTreeMap<String, String>| {
                let page = list_page(&entries, &query);
                queries.lock().unwrap().push(query);
                page
            },
        );
        tokio::spawn(warp::serve(list_route).run(address));
    }

    fn start_process(&mut self, name: &str, bootstrap: bool) {
        let ip = self.ip(name);
        let role = if name.starts_with('c') { "control" } else { "entry" };
        let seeds: Vec<String> =
            self.seeds.iter().map(|seed| format!("{}:8146", self.ip(seed))).collect();
        let listen = match role {
            "control" => {
                json!({"control": format!("{ip}:8146"), "directory": format!("{ip}:8147")})
            }
            _ => json!({"front": format!("{ip}:8144"), "ready": format!("{ip}:8140")}),
        };
        let settings = json!({
            "node": name, "ip": ip, "zone": "a", "region": "north", "zones": {"a": "north"},
            "listen": listen, "cluster_ports": [7660, 7675], "seeds": seeds, "bootstrap": bootstrap,
            "data_dir": self.folder.join(name),
            "limits": {"cpu_share": 1.0, "memory_mb": 260, "max_fds": 4000, "link_mbps": 1000},
            "bounds": {"grace_s": 6, "config_s": 2.5},
            "cloud": {
                "addr": format!("{}.40:8142", self.ip_prefix), "rate_per_s": 50, "max_lag_s": 0.8,
            },
        });
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, settings.to_string()).unwrap();
        fs::create_dir_all(self.folder.join(name)).unwrap();
        let log = fs::File::create(self.folder.join(format!("{name}.log"))).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_bulrushspan"))
            .args([role, "--metrics-port", "9464", "--settings"])
            .arg(file)
            .stdout(Stdio::from(log))
            .spawn()
            .unwrap();
        self.processes.insert(name.to_owned(), process);
    }

    async fn get(&self, url: &str) -> Option<(u16, String)> {
        let response = self.http.get(url).timeout(Duration::from_secs(3)).send().await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.text().await.ok()?))
    }

    /// Sends a configuration to the replicas in turn until one acknowledges it.
    async fn configure(&self, version: &str, prefix: &str) {
        let started_at = Instant::now();
        for attempt in 0.. {
            let url = format!("http://{}:8146/api/config", self.ip(self.seeds[attempt % 3]));
            let body = configuration(version, prefix);
            let result = self.http.put(url).body(body).timeout(Duration::from_secs(3)).send().await;
            if result.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "no replica acknowledged {version}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the response from `url` has this status and a body that contains `text`.
    async fn wait_for(&self, url: &str, status: u16, text: &str) {
        let started_at = Instant::now();
        loop {
            if self
                .get(url)
                .await
                .is_some_and(|(actual_status, body)| actual_status == status && body.contains(text))
            {
                return;
            }
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "{url} did not answer {status} with {text}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends one request to an entry instance and returns the status, or `None` if no complete
    /// response came.
    async fn post(&self, entry: &str, id: &str, path: &str) -> Option<u16> {
        let url = format!("http://{}:8144{path}", self.ip(entry));
        let request = self.http.post(url).header("Host", "shop.example").body("plates");
        let request = request.header("Bulrushspan-Request-Id", id);
        let response = request.timeout(Duration::from_secs(5)).send().await.ok()?;
        let status = response.status().as_u16();
        response.bytes().await.ok()?;
        Some(status)
    }

    fn kill(&mut self, name: &str) {
        let mut process = self.processes.remove(name).unwrap();
        process.kill().unwrap();
        process.wait().unwrap();
    }

    /// Waits until leaders have proposed this many times to remove a member.
    async fn wait_for_removals(&self, count: usize) {
        let started_at = Instant::now();
        loop {
            let logs = (1..=9).filter_map(|number| {
                fs::read_to_string(self.folder.join(format!("c{number}.log"))).ok()
            });
            let removals: usize =
                logs.map(|log| log.matches("remove a member that does not reply").count()).sum();
            if removals >= count {
                return;
            }
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "{removals} of {count} removals");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a control replica counts this many voters.
    async fn wait_for_voters(&self, control: &str, count: usize) {
        let url = format!("http://{}:9464/metrics", self.ip(control));
        self.wait_for(&url, 200, &format!("\nbulrushspan_voters {count}\n")).await;
    }

    fn signal(&self, name: &str, signal: &str) {
        let pid = self.processes[name].id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            process.kill().ok();
            process.wait().ok();
        }
        if !std::thread::panicking() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

/// Returns a page of the list: all of a zone, or else one entry of all zones.
fn list_page(entries: &[Value], query: &BTreeMap<String, String>) -> String {
    if query.contains_key("zone") {
        return json!({"instances": entries, "next_token": null}).to_string();
    }
    let index: usize = query.get("page_token").map_or(0, |token| token.parse().unwrap());
    let next = (index + 1 < entries.len()).then(|| (index + 1).to_string());
    json!({"instances": [entries[index]], "next_token": next}).to_string()
}

/// Returns an upstream that counts each request and responds after 60 ms.
fn upstream(
    number: usize,
    runs: Runs,
) -> impl Filter<Extract = (Response<String>,), Error = Infallible> + Clone {
    let request_id = warp::header::optional::<String>("bulrushspan-request-id");
    request_id
        .and(warp::body::bytes())
        .then(move |id: Option<String>, _| {
            let runs = runs.clone();
            async move {
                let id = id.unwrap_or_default();
                *runs.lock().unwrap().entry(id.clone()).or_default() += 1;
                tokio::time::sleep(Duration::from_millis(60)).await;
                Response::builder()
                    .header("Bulrushspan-Server-Stamp", format!("stamp-{number}"))
                    .header("Bulrushspan-Instance-Id", format!("i-{number}"))
                    .header("Bulrushspan-Request-Id", id)
                    .body("done".to_owned())
                    .unwrap()
            }
        })
        .recover(|_| async { Ok::<_, Infallible>(Response::new(String::new())) })
        .unify()
}

fn configuration(version: &str, prefix: &str) -> String {
    json!({"version": version, "resources": [
        {"type": "services", "meta": {"name": "orders"}, "spec": {
            "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false,
            "cold_start_s": 0.0, "cold_per_s": 5.0}},
        {"type": "routes", "meta": {"name": "book"}, "spec": {
            "host": "shop.example", "path_prefix": prefix, "kind": "unsafe", "timeout_s": 3.0,
            "slo_s": 1.0, "priority": 1, "service": "orders", "max_attempts": 2}},
    ]})
    .to_string()
}

/// Planned stops of control replicas: operators' calls that were being read got no answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_replica_answers_the_call_that_it_is_reading() {
    let fleet = Fleet::start(2).await;
    fleet.configure("r2", "/book/").await;
    let body = configuration("r3", "/order/");
    let (first, rest) = body.split_at(body.len() / 2);
    let mut call = TcpStream::connect(format!("{}:8146", fleet.ip("c2"))).await.unwrap();
    let head = format!(
        "PUT /api/config HTTP/1.1\r\nHost: control\r\nContent-Length: {}\r\n\r\n{first}",
        body.len()
    );
    call.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.signal("c2", "-TERM");
    tokio::time::sleep(Duration::from_millis(300)).await;
    call.write_all(rest.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    tokio::time::timeout(WAIT_TIMEOUT, call.read_to_end(&mut response)).await.unwrap().unwrap();
    let text = String::from_utf8_lossy(&response);
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings_run_once_while_instances_stop_and_replicas_are_killed() {
    let mut fleet = Fleet::start(0).await;
    fleet.configure("r2", "/book/").await;
    for entry in ["e1", "e2"] {
        fleet.wait_for(&format!("http://{}:8140/api/readyz", fleet.ip(entry)), 200, "").await;
    }
    let directory_url =
        format!("http://{}:8147/api/resolve?host=shop.example&zone=a", fleet.ip("c2"));
    fleet.wait_for(&directory_url, 200, &fleet.ip("e2")).await;
    assert_eq!(fleet.post("e1", "first", "/book/1").await, Some(200));
    assert_eq!(fleet.post("e1", "elsewhere", "/nowhere").await, Some(404));

    // Requests in flight when an instance stops are answered or refused.
    let in_flight_ids: Vec<String> = (0..20).map(|number| format!("stop-{number}")).collect();
    let posts = in_flight_ids.iter().map(|id| fleet.post("e1", id, "/book/2"));
    let (statuses, ()) = tokio::join!(futures_util::future::join_all(posts), async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        fleet.signal("e1", "-TERM");
    });
    assert!(statuses.iter().all(|status| matches!(status, Some(200 | 503))), "{statuses:?}");
    fleet.wait_for(&directory_url, 200, &fleet.ip("e2")).await;

    // While a replica is down, a new configuration is accepted and reaches the instances; the
    // restarted replica catches up.
    fleet.kill("c1");
    fleet.configure("r3", "/order/").await;
    let started_at = Instant::now();
    for number in 0.. {
        if fleet.post("e2", &format!("new-{number}"), "/order/3").await == Some(200) {
            break;
        }
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "version 3 did not reach e2");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    fleet.start_process("c1", false);
    let config_url = format!("http://{}:8146/api/config", fleet.ip("c1"));
    fleet.wait_for(&config_url, 200, "\"r3\"").await;

    let metrics_url = format!("http://{}:9464/metrics", fleet.ip("e2"));
    fleet.wait_for(&metrics_url, 200, "bulrushspan_config_version 3").await;
    // From the first reading on, a list of several pages is read by zone: its pages would
    // take a round trip each, which may cross regions.
    let queries = fleet.list_queries.lock().unwrap();
    assert!(queries.iter().any(|query| query.contains_key("zone")));
    let third_page = |query: &&BTreeMap<String, String>| {
        query.get("page_token").is_some_and(|token| token == "2")
    };
    assert_eq!(queries.iter().find(third_page), None);
    let runs = fleet.runs.lock().unwrap();
    let ids_run_twice: Vec<(&String, &u32)> =
        runs.iter().filter(|(id, count)| !id.is_empty() && **count > 1).collect();
    assert!(ids_run_twice.is_empty(), "run twice: {ids_run_twice:?}");
    for (id, status) in in_flight_ids.iter().zip(&statuses) {
        assert!(*status != Some(503) || !runs.contains_key(id), "{id} was refused, but ran");
    }
}

/// Replicas that were replaced at other addresses kept their votes, so after two replacements
/// of three no quorum was left, and configurations were never acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn configurations_are_acknowledged_after_all_replicas_were_replaced_at_other_addresses() {
    let mut fleet = Fleet::start(1).await;
    fleet.configure("r2", "/book/").await;
    let replacements = [("c1", "c4"), ("c2", "c5"), ("c3", "c6")];
    for (index, (replaced, replacement)) in replacements.into_iter().enumerate() {
        fleet.kill(replaced);
        fleet.seeds[index] = replacement;
        fleet.start_process(replacement, false);
        fleet.configure(&format!("r{}", index + 3), "/book/").await;
        // The replacement has its vote before the one of the replaced replica is removed.
        fleet.wait_for_removals(index + 1).await;
        fleet.wait_for_voters(replacement, 3).await;
    }

    // A replica that lost its vote while it was suspended gets it back.
    fleet.start_process("c7", false);
    fleet.wait_for_voters("c4", 4).await;
    fleet.signal("c7", "-STOP");
    fleet.wait_for_voters("c4", 3).await;
    fleet.signal("c7", "-CONT");
    fleet.wait_for_voters("c4", 4).await;
    fleet.configure("r6", "/book/").await;
}

/// Crashes under a request were known only to the instance that saw them.
#[tokio::test(flavor = "multi_thread")]
async fn control_tells_all_instances_of_crashes_that_one_reports() {
    let fleet = Fleet::start(3).await;
    fleet.configure("r2", "/book/").await;
    let report = CrashReport { fingerprint: "f".to_owned(), upstream: "i-1@5".to_owned() };
    let client = |name: &str| MeshClient::new(format!("{}:7660", fleet.ip(name)).parse().unwrap());
    let (first, second): (MeshClient<_, NodeReply>, MeshClient<_, NodeReply>) =
        (client("c1"), client("c3"));
    let follow = |crashes: Vec<CrashReport>| {
        NodeRequest::Follow(FollowRequest {
            version: Some(0),
            list: None,
            demand: Vec::new(),
            hold_ms: 0,
            peers_of: None,
            crashes,
        })
    };
    let (started_at, mut known_since) = (Instant::now(), None);
    loop {
        if known_since.is_none() {
            first.call(follow(vec![report.clone()]), Duration::from_secs(1)).await.ok();
        }
        let reply = second.call(follow(Vec::new()), Duration::from_secs(1)).await;
        let mut policy = Policy::default();
        if let Ok(NodeReply::Follow(reply)) = reply {
            match reply.update {
                PolicyUpdate::Whole(whole) => policy = *whole,
                PolicyUpdate::Deltas(deltas) => {
                    assert!(deltas.iter().all(|delta| policy.apply_delta(delta)))
                }
            }
        }
        if let Some(suspect) = policy.suspects.get(&report.fingerprint) {
            assert!(suspect.crashed.contains(&report.upstream));
            let known_since: Instant = *known_since.get_or_insert_with(Instant::now);
            if known_since.elapsed() > Duration::from_secs(2) {
                break;
            }
        } else {
            assert_eq!(known_since, None, "the crash is forgotten at once");
        }
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "the crash is not known");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
