//! Starts control replicas and entry instances as processes, with stand-ins for the platform's
//! instance list and for upstreams.

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

use serde_json::{Value, json};
use tokio::task::JoinHandle;
use warp::{Filter, http::Response};

use super::entry::peak_memory_mib;

pub(super) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(50);
const UPSTREAMS: usize = 3;
/// The memory of each process, in MiB.
pub(super) const MEMORY_MIB: u64 = 260;

/// Three control replicas and two entry instances, which are killed on drop.
pub(super) struct Fleet {
    folder: PathBuf,
    /// The first three octets of every address.
    ip_prefix: String,
    processes: BTreeMap<String, Child>,
    /// The control replicas that settings name as seeds.
    pub(super) seeds: [&'static str; 3],
    pub(super) http: reqwest::Client,
    /// How often the upstreams ran each request, by request id.
    pub(super) runs: Runs,
    /// The queries of the calls for the list of upstreams.
    pub(super) list_queries: ListQueries,
    list_server: Option<JoinHandle<()>>,
    /// The program that is run.
    pub(super) program: PathBuf,
    /// Whether the folder with the logs stays.
    pub(super) keeps_logs: bool,
}

pub(super) type ListQueries = Arc<Mutex<Vec<BTreeMap<String, String>>>>;
pub(super) type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

impl Fleet {
    /// Starts the fleet of the test with this number, below 20, which no other test may have.
    pub(super) async fn start(number: u32) -> Self {
        let mut fleet = Self::new(number);
        let entries = fleet.start_upstreams();
        fleet.launch(entries, &["c1", "c2", "c3", "e1", "e2"]);
        fleet
    }

    /// Creates the fleet of the test with this number, of which nothing runs yet.
    pub(super) fn new(number: u32) -> Self {
        let pid = std::process::id();
        let second = 100 + pid % 75 + 75 * (number / 10);
        let ip_prefix = format!("127.{second}.{}", pid / 75 % 25 + 25 * (number % 10));
        let folder = std::env::temp_dir().join(format!("bulrushspan-fleet-{pid}-{number}"));
        fs::create_dir_all(&folder).unwrap();
        Self {
            folder,
            ip_prefix,
            processes: BTreeMap::new(),
            seeds: ["c1", "c2", "c3"],
            http: reqwest::Client::builder().no_proxy().build().unwrap(),
            runs: Runs::default(),
            list_queries: ListQueries::default(),
            program: PathBuf::from(env!("CARGO_BIN_EXE_bulrushspan")),
            list_server: None,
            keeps_logs: false,
        }
    }

    /// Serves the list of upstreams, and starts processes.
    pub(super) fn launch(&mut self, entries: Vec<Value>, processes: &[&str]) {
        self.serve_list(entries);
        processes.iter().for_each(|name| self.start_process(name, true));
    }

    /// Returns the address of the upstream with this number, below 10.
    pub(super) fn upstream_address(&self, number: usize) -> SocketAddr {
        format!("{}.{}:8080", self.ip_prefix, 30 + number).parse().unwrap()
    }

    pub(super) fn ip(&self, name: &str) -> String {
        let number: u32 = name[1..].parse().unwrap();
        let offset = if name.starts_with('c') { 10 } else { 20 };
        format!("{}.{}", self.ip_prefix, offset + number)
    }

    /// Starts upstreams, and returns their entries in the list.
    pub(super) fn start_upstreams(&self) -> Vec<Value> {
        let mut entries = Vec::new();
        for number in 0..UPSTREAMS {
            let address = self.upstream_address(number);
            entries.push(json!({
                "id": format!("i-{number}"), "service": "orders", "addr": address, "zone": "a",
                "version": "v1", "slots": 4, "state": "ready", "cold_left_s": 0,
            }));
            let runs = self.runs.clone();
            tokio::spawn(warp::serve(upstream(number, runs)).run(address));
        }
        // A malformed entry is skipped; the other entries still apply.
        entries.push(json!({"id": "i-damaged", "slots": []}));
        entries
    }

    fn serve_list(&mut self, entries: Vec<Value>) {
        let address: SocketAddr = format!("{}.40:8142", self.ip_prefix).parse().unwrap();
        let queries = self.list_queries.clone();
        let list_route = warp::path("instances").and(warp::query()).map(
            move |query: BTreeMap<String, String>| {
                let page = list_page(&entries, &query);
                queries.lock().unwrap().push(query);
                page
            },
        );
        self.list_server = Some(tokio::spawn(warp::serve(list_route).run(address)));
    }

    pub(super) fn start_process(&mut self, name: &str, bootstrap: bool) {
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
            "limits": {"cpu_share": 1.0, "memory_mb": MEMORY_MIB, "max_fds": 4000, "link_mbps": 1000},
            "bounds": {"grace_s": 6, "config_s": 2.5},
            "cloud": {
                "addr": format!("{}.40:8142", self.ip_prefix), "rate_per_s": 50, "max_lag_s": 0.8,
            },
        });
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, settings.to_string()).unwrap();
        fs::create_dir_all(self.folder.join(name)).unwrap();
        let log_file = self.folder.join(format!("{name}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(log_file).unwrap();
        let process = Command::new(&self.program)
            .args([role, "--metrics-port", "9464", "--settings"])
            .arg(file)
            .stdout(Stdio::from(log))
            .spawn()
            .unwrap();
        self.processes.insert(name.to_owned(), process);
    }

    pub(super) async fn get(&self, url: &str) -> Option<(u16, String)> {
        let response = self.http.get(url).timeout(Duration::from_secs(3)).send().await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.text().await.ok()?))
    }

    /// Sends a configuration to the replicas in turn until one acknowledges it.
    pub(super) async fn configure(&self, version: &str, prefix: &str) {
        self.put_configuration(version, &configuration(version, prefix)).await;
    }

    /// Sends this configuration to the replicas in turn until one acknowledges it.
    pub(super) async fn put_configuration(&self, version: &str, body: &str) {
        let started_at = Instant::now();
        for attempt in 0.. {
            let url = format!("http://{}:8146/api/config", self.ip(self.seeds[attempt % 3]));
            let result = self
                .http
                .put(url)
                .body(body.to_owned())
                .timeout(Duration::from_secs(3))
                .send()
                .await;
            if result.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "no replica acknowledged {version}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the response from `url` has this status and a body that contains `text`.
    pub(super) async fn wait_for(&self, url: &str, status: u16, text: &str) {
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

    /// Waits until an entry instance accepts requests.
    pub(super) async fn wait_ready(&self, entry: &str) {
        wait_ready(&self.ip(entry), &self.http).await;
    }

    /// Sends one request to an entry instance and returns the status, or `None` if no complete
    /// response came.
    pub(super) async fn post(&self, entry: &str, id: &str, path: &str) -> Option<u16> {
        let url = format!("http://{}:8144{path}", self.ip(entry));
        let request = self.http.post(url).header("Host", "shop.example").body("plates");
        let request = request.header("Bulrushspan-Request-Id", id);
        let response = request.timeout(Duration::from_secs(5)).send().await.ok()?;
        let status = response.status().as_u16();
        response.bytes().await.ok()?;
        Some(status)
    }

    pub(super) fn kill(&mut self, name: &str) {
        let mut process = self.processes.remove(name).unwrap();
        process.kill().unwrap();
        process.wait().unwrap();
    }

    /// Waits until leaders have proposed this many times to remove a member.
    pub(super) async fn wait_for_removals(&self, count: usize) {
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

    /// Waits until a process has logged this many lines that contain `text`.
    pub(super) async fn wait_for_log(&self, name: &str, text: &str, count: usize) {
        let file = self.folder.join(format!("{name}.log"));
        let started_at = Instant::now();
        while fs::read_to_string(&file).unwrap().matches(text).count() < count {
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "{name} did not log `{text}` {count} times"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the data folder of a control replica.
    pub(super) fn data_folder(&self, control: &str) -> PathBuf {
        self.folder.join(control)
    }

    /// Empties the data folder of a control replica that doesn't run.
    pub(super) fn lose_disk(&self, control: &str) {
        fs::remove_dir_all(self.data_folder(control)).unwrap();
    }

    /// Returns the length of a control replica's log file, in bytes.
    pub(super) fn log_file_bytes(&self, control: &str) -> u64 {
        fs::metadata(self.data_folder(control).join("log")).unwrap().len()
    }

    /// Returns the greatest amount of memory that a process has used, in MiB.
    pub(super) fn peak_memory_mib(&self, name: &str) -> u64 {
        peak_memory_mib(self.processes[name].id())
    }

    /// Waits until a control replica counts this many voters.
    pub(super) async fn wait_for_voters(&self, control: &str, count: usize) {
        let url = format!("http://{}:9464/metrics", self.ip(control));
        self.wait_for(&url, 200, &format!("\nbulrushspan_voters {count}\n")).await;
    }

    pub(super) fn signal(&self, name: &str, signal: &str) {
        let pid = self.processes[name].id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.list_server.take().inspect(JoinHandle::abort);
        for process in self.processes.values_mut() {
            process.kill().ok();
            process.wait().ok();
        }
        if !std::thread::panicking() && !self.keeps_logs {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

/// Waits until the entry instance at `ip` accepts requests.
pub(super) async fn wait_ready(ip: &str, http: &reqwest::Client) {
    let started_at = Instant::now();
    let url = format!("http://{ip}:8140/api/readyz");
    while !http.get(&url).send().await.is_ok_and(|response| response.status().is_success()) {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "{ip} is not ready");
        tokio::time::sleep(POLL_INTERVAL).await;
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

pub(super) fn configuration(version: &str, prefix: &str) -> String {
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
