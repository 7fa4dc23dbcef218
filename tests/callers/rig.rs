//! Starts one control replica and one entry instance as processes, with an upstream and the
//! platform's list of it.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tokio::sync::Mutex as AsyncMutex;
use warp::{Filter, http::Response};

use super::usage::{PeakUsage, UsageSampler};

pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The descriptors that are kept for files.
pub const FILE_DESCRIPTORS: usize = 200;
/// The lengths of the answers below `/long/` and `/medium/`.
pub const LONG_ANSWER_BYTES: usize = 1536 * 1024;
const MEDIUM_ANSWER_BYTES: usize = 256 * 1024;

/// Held by the test that runs.
static TURN: AsyncMutex<()> = AsyncMutex::const_new(());

/// Waits until no other test runs.
pub async fn take_turn() -> tokio::sync::MutexGuard<'static, ()> {
    TURN.lock().await
}

/// The limits of the processes and of callers.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mib: u64,
    pub descriptors: usize,
    pub header_max_bytes: u64,
    pub body_max_bytes: u64,
    pub link_mbps: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mib: 64,
            descriptors: 4000,
            header_max_bytes: 16 * 1024,
            body_max_bytes: 8 * 1024 * 1024,
            link_mbps: 1000,
        }
    }
}

/// The processes of one test, which are killed on drop.
pub struct Rig {
    _turn: tokio::sync::MutexGuard<'static, ()>,
    folder: PathBuf,
    limits: Limits,
    number: u32,
    processes: BTreeMap<&'static str, Child>,
    samplers: BTreeMap<&'static str, UsageSampler>,
    ran: Arc<Mutex<BTreeSet<String>>>,
    http: reqwest::Client,
}

impl Rig {
    /// Starts the processes of the test with this number, below 50, which no other test may have.
    pub async fn start(number: u32, limits: Limits) -> Self {
        let turn = take_turn().await;
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("bulrushspan-callers-{pid}-{number}"));
        let mut rig = Self {
            _turn: turn,
            folder,
            limits,
            number,
            processes: BTreeMap::new(),
            samplers: BTreeMap::new(),
            ran: Arc::default(),
            http: reqwest::Client::builder().no_proxy().pool_max_idle_per_host(0).build().unwrap(),
        };
        rig.serve_upstream();
        rig.serve_list();
        rig.start_process("control");
        rig.start_process("entry");
        rig.configure("r1", &[]).await;
        rig.wait_answered().await;
        rig
    }

    /// Returns the IP address of a process or a stand-in.
    pub fn ip(&self, name: &str) -> String {
        let pid = std::process::id();
        let names = ["control", "entry", "upstream", "list"];
        let index = names.iter().position(|known| *known == name).unwrap() as u32;
        format!("127.{}.{}.{}", 250 + pid % 5, pid / 5 % 250, 1 + 4 * self.number + index)
    }

    pub fn address(&self, name: &str, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip(name)).parse().unwrap()
    }

    fn serve_upstream(&self) {
        let health = warp::path!("health")
            .map(|| Response::builder().header("Bulrushspan-Instance-Id", "u1").body(Vec::new()));
        let ran = self.ran.clone();
        let request = warp::path::full()
            .and(warp::header::optional::<String>("bulrushspan-request-id"))
            .and(warp::body::bytes())
            .map(move |path: warp::path::FullPath, id: Option<String>, _| {
                let id = id.unwrap_or_default();
                lock(&ran).insert(id.clone());
                let length = match path.as_str().split('/').nth(1) {
                    Some("long") => LONG_ANSWER_BYTES,
                    Some("medium") => MEDIUM_ANSWER_BYTES,
                    _ => 2,
                };
                Response::builder()
                    .header("Bulrushspan-Server-Stamp", "stamp")
                    .header("Bulrushspan-Request-Id", id)
                    .body(vec![b'x'; length])
            });
        let address = self.address("upstream", 8080);
        tokio::spawn(warp::serve(health.or(request)).run(address));
    }

    fn serve_list(&self) {
        let page = json!({"instances": [{
            "id": "u1", "service": "orders", "addr": self.address("upstream", 8080), "zone": "a",
            "version": "v1", "slots": 500, "state": "ready", "cold_left_s": 0,
        }], "next_token": null});
        let list = warp::path!("instances").map(move || warp::reply::json(&page));
        tokio::spawn(warp::serve(list).run(self.address("list", 8142)));
    }

    fn start_process(&mut self, name: &'static str) {
        let ip = self.ip(name);
        let listen = match name {
            "control" => {
                json!({"control": format!("{ip}:8146"), "directory": format!("{ip}:8147")})
            }
            _ => json!({"front": format!("{ip}:8144"), "ready": format!("{ip}:8140")}),
        };
        let data_folder = self.folder.join(name);
        fs::create_dir_all(&data_folder).unwrap();
        let settings = json!({
            "node": name, "ip": ip, "zone": "a", "region": "north", "zones": {"a": "north"},
            "listen": listen, "cluster_ports": [7660, 7675],
            "seeds": [self.address("control", 8146)], "bootstrap": true, "data_dir": data_folder,
            "limits": {
                "cpu_share": 1.0, "memory_mb": self.limits.memory_mib,
                "max_fds": self.limits.descriptors, "link_mbps": self.limits.link_mbps,
            },
            "bounds": {"grace_s": 6, "config_s": 2.5},
            "cloud": {"addr": self.address("list", 8142), "rate_per_s": 50, "max_lag_s": 0.8},
        });
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, settings.to_string()).unwrap();
        let log = fs::File::create(self.folder.join(format!("{name}.log"))).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_bulrushspan"))
            .args([name, "--metrics-port", "9464", "--settings"])
            .arg(file)
            .stdout(Stdio::from(log))
            .spawn()
            .unwrap();
        self.samplers.insert(name, UsageSampler::new(process.id(), &ip));
        self.processes.insert(name, process);
    }

    /// Puts a configuration in force, with further routes.
    pub async fn configure(&self, version: &str, more_routes: &[Value]) {
        let route = |name: &str, kind: &str| {
            json!({"type": "routes", "meta": {"name": name}, "spec": {
                "host": "shop.example", "path_prefix": format!("/{name}/"), "kind": kind,
                "timeout_s": 20.0, "slo_s": 5.0, "priority": 1, "service": "orders",
                "max_attempts": 1}})
        };
        let mut resources = vec![
            json!({"type": "services", "meta": {"name": "orders"}, "spec": {
                "health_path": "/health", "max_conns": 500, "protocol": "h1", "tls": false,
                "cold_start_s": 0.0, "cold_per_s": 5.0}}),
            json!({"type": "limits", "meta": {}, "spec": {
                "max_header_bytes": self.limits.header_max_bytes,
                "max_body_bytes": self.limits.body_max_bytes,
                "header_timeout_s": 3, "idle_timeout_s": 15}}),
            route("menu", "safe"),
            route("long", "safe"),
            route("medium", "safe"),
            route("files", "upload"),
        ];
        resources.extend_from_slice(more_routes);
        let body = json!({"version": version, "resources": resources}).to_string();
        let url = format!("http://{}/api/config", self.address("control", 8146));
        self.wait_for("a configuration to be acknowledged", async || {
            let response = self.http.put(&url).body(body.clone()).send().await.ok()?;
            response.status().is_success().then_some(())
        })
        .await;
    }

    /// Polls `check` until it returns a value.
    pub async fn wait_for<T>(&self, what: &str, check: impl AsyncFn() -> Option<T>) -> T {
        let started_at = Instant::now();
        loop {
            let result = tokio::time::timeout(Duration::from_secs(5), check()).await;
            if let Ok(Some(value)) = result {
                return value;
            }
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "waited for {what}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends an ordinary request, each time over a new connection, until it is answered.
    pub async fn wait_answered(&self) {
        let url = format!("http://{}/menu/1", self.address("entry", 8144));
        self.wait_for("an ordinary request to be answered", async || {
            let request = self.http.get(&url).header("Host", "shop.example");
            let request = request.header("Bulrushspan-Request-Id", "ordinary");
            let response = request.send().await.ok()?;
            let is_success = response.status().is_success();
            let body = response.bytes().await.ok()?;
            (is_success && &body[..] == b"xx").then_some(())
        })
        .await;
    }

    /// Waits until a URL of a process answers with success.
    pub async fn wait_success(&self, name: &str, port: u16, path: &str) {
        let url = format!("http://{}{path}", self.address(name, port));
        self.wait_for(&url, async || {
            let response = self.http.get(&url).send().await.ok()?;
            let is_success = response.status().is_success();
            response.bytes().await.ok().filter(|_| is_success)
        })
        .await;
    }

    /// Sends an upload in one request, and returns the status and the `Retry-After` field.
    pub async fn upload(&self, id: &str, body: reqwest::Body) -> Option<(u16, Option<String>)> {
        let url = format!("http://{}/files/1", self.address("entry", 8144));
        let request = self.http.post(&url).header("Host", "shop.example").body(body);
        let response = request.header("Bulrushspan-Request-Id", id).send().await.ok()?;
        let retry_after = response.headers().get("retry-after");
        let retry_after = retry_after.map(|value| value.to_str().unwrap().to_owned());
        let status = response.status().as_u16();
        response.bytes().await.ok()?;
        Some((status, retry_after))
    }

    /// Returns whether the upstream got a request with this id.
    pub fn has_run(&self, id: &str) -> bool {
        lock(&self.ran).contains(id)
    }

    /// Checks that a process lives and has stayed within its memory and its descriptors.
    pub fn check(&mut self, name: &'static str) {
        let usage = self.samplers[name].peak();
        let PeakUsage { memory_mib, sockets, .. } = usage;
        println!("{name}: {usage:?}");
        let exit = self.processes.get_mut(name).unwrap().try_wait().unwrap();
        assert!(exit.is_none(), "{name} ended: {exit:?}");
        let memory_max_mib = self.limits.memory_mib;
        assert!(memory_mib <= memory_max_mib, "{name} used {memory_mib} MiB of {memory_max_mib}");
        let sockets_max = self.limits.descriptors - FILE_DESCRIPTORS;
        assert!(sockets <= sockets_max, "{name} opened {sockets} sockets of {sockets_max}");
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.samplers.clear();
        for process in self.processes.values_mut() {
            process.kill().ok();
            process.wait().ok();
        }
        if !std::thread::panicking() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
