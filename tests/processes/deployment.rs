//! Starts a deployment of real processes on loopback, and controls and queries it for the tests.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use serde_json::Value;

/// The processes of one deployment, which are killed on drop.
pub struct Deployment {
    folder: PathBuf,
    address: String,
    processes: BTreeMap<String, Child>,
    pub instances: Vec<String>,
    pub upstreams: Vec<String>,
    pub http: reqwest::Client,
}

const TOKEN: &str = "token-of-the-first-operator";
pub const OTHER_TOKEN: &str = "token-of-the-other-operator";
/// Limits every wait; long enough that no test depends on the speed of the machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Slots of each upstream.
const SLOTS: u32 = 4;

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(1);

impl Deployment {
    /// Starts five instances, three of them control replicas, and four upstreams in two regions.
    pub fn start() -> Self {
        Self::start_with("")
    }

    /// Starts the same deployment with additional keys of the `timing` settings, each with a
    /// leading comma.
    pub fn start_with(timing: &str) -> Self {
        Self::start_edited(timing, |settings| settings)
    }

    /// Starts the same deployment with settings that `edit` changes.
    pub fn start_edited(timing: &str, edit: fn(String) -> String) -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        // Each deployment has its own loopback address, so that ports don't collide.
        let address = format!("127.{}.{}.{}", 10 + number, pid / 200 % 200, 1 + pid % 200);
        let folder = std::env::temp_dir().join(format!("bulrushspan-test-{pid}-{number}"));
        fs::create_dir_all(&folder).unwrap();
        let mut deployment = Self {
            folder,
            address,
            processes: BTreeMap::new(),
            instances: ["n1", "n2", "n3", "s1", "s2"].map(str::to_owned).to_vec(),
            upstreams: ["u1", "u2", "u3", "u4"].map(str::to_owned).to_vec(),
            http: reqwest::Client::builder().no_proxy().build().unwrap(),
        };
        deployment.write_files(edit(deployment.settings(timing)));
        for name in deployment.upstreams.clone() {
            deployment.start_upstream(&name);
        }
        for name in deployment.instances.clone() {
            deployment.start_instance(&name);
        }
        deployment
    }

    fn write_files(&self, settings: String) {
        fs::write(self.folder.join("cluster.key"), "a-cluster-key-for-tests").unwrap();
        fs::write(self.folder.join("first.token"), TOKEN).unwrap();
        fs::write(self.folder.join("other.token"), OTHER_TOKEN).unwrap();
        fs::write(self.folder.join("platform.json"), r#"{"instances": []}"#).unwrap();
        fs::write(self.folder.join("settings.jsonc"), settings).unwrap();
    }

    fn settings(&self, timing: &str) -> String {
        let address = &self.address;
        let instances: Vec<String> = (0..self.instances.len())
            .map(|index| {
                let name = &self.instances[index];
                let zone = ["north-a", "north-b", "north-a", "south-a", "south-b"][index];
                let port = 7000 + 10 * index;
                let is_replica = ["n1", "n2", "s1"].contains(&name.as_str());
                let data_folder_key = if is_replica {
                    format!(r#", "data_folder": "{name}""#)
                } else {
                    String::new()
                };
                format!(
                    r#"{{"name": "{name}", "zone": "{zone}", "callers": "{address}:{}", "operators": "{address}:{}", "cluster": "{address}:{}", "forward": "{address}:{}"{data_folder_key}}}"#,
                    port, port + 1, port + 2, port + 3
                )
            })
            .collect();
        let upstreams: Vec<String> = (0..self.upstreams.len())
            .map(|index| {
                let zone = ["north-a", "north-b", "south-a", "south-b"][index];
                format!(
                    r#"{{"name": "{}", "address": "{address}:{}", "zone": "{zone}"}}"#,
                    self.upstreams[index],
                    8000 + index
                )
            })
            .collect();
        format!(
            r#"{{
                "cluster_key_file": "cluster.key",
                "operator_token_files": {{"first": "first.token", "other": "other.token"}},
                "platform": {{"file": "platform.json"}},
                "regions": [
                    {{"name": "north", "zones": ["north-a", "north-b"]}},
                    {{"name": "south", "zones": ["south-a", "south-b"]}}
                ],
                "links": [
                    {{"from": "north", "to": "south", "delay_ms": 1, "cap_mbit": 1000}},
                    {{"from": "south", "to": "north", "delay_ms": 1, "cap_mbit": 1000}}
                ],
                "instances": [{}],
                "services": [{{
                    "name": "orders", "slots": {SLOTS}, "connections": 100, "deadline_ms": 5000,
                    "upstreams": [{}]
                }}],
                "default_region": "north",
                "blocks": [
                    {{"block": "10.1.0.0/16", "region": "north"}},
                    {{"block": "10.2.0.0/16", "region": "south"}}
                ],
                "presets": {{
                    "ordinary": {{
                        "shares": {{"north": {{"north": 1000}}, "south": {{"south": 1000}}}},
                        "shift": {{"cap_permille": 100, "interval_ms": 1000}}
                    }},
                    "peak": {{
                        "shares": {{"north": {{"north": 700, "south": 300}}, "south": {{"south": 1000}}}},
                        "shift": {{"cap_permille": 100, "interval_ms": 1000}}
                    }}
                }},
                "first_preset": "ordinary",
                "timing": {{"look_up_ttl_ms": 1000{timing}}}
            }}"#,
            instances.join(", "),
            upstreams.join(", ")
        )
    }

    pub fn settings_file(&self) -> PathBuf {
        self.folder.join("settings.jsonc")
    }

    pub fn data_folder(&self, instance: &str) -> PathBuf {
        self.folder.join(instance)
    }

    pub fn record_file(&self, upstream: &str) -> PathBuf {
        self.folder.join(format!("{upstream}.record"))
    }

    pub fn write_platform_list(&self, text: &str) {
        fs::write(self.folder.join("platform.json"), text).unwrap();
    }

    pub fn start_instance(&mut self, name: &str) {
        let settings = self.settings_file();
        let args = ["serve", "--settings", path_str(&settings), "--instance", name];
        self.spawn(name, &args);
    }

    pub fn start_upstream(&mut self, name: &str) {
        let index = self.upstreams.iter().position(|upstream| upstream == name).unwrap();
        let listen = self.upstream_address(index);
        let record = self.record_file(name);
        let slots = SLOTS.to_string();
        let args = [
            "stand-in",
            "--name",
            name,
            "--listen",
            &listen,
            "--slots",
            &slots,
            "--record",
            path_str(&record),
        ];
        self.spawn(name, &args);
    }

    pub fn upstream_address(&self, index: usize) -> String {
        format!("{}:{}", self.address, 8000 + index)
    }

    fn spawn(&mut self, name: &str, args: &[&str]) {
        let log = self.folder.join(format!("{name}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_bulrushspan"))
            .args(args)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.processes.insert(name.to_owned(), child);
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, name: &str) {
        let mut child = self.processes.remove(name).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends a signal, such as `STOP`, to a process.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.processes[name].id().to_string();
        let status = Command::new("kill").args(["-s", signal, &pid]).status().unwrap();
        assert!(status.success());
    }

    /// Waits until a process has ended and returns its exit code.
    pub fn wait_exit(&mut self, name: &str) -> Option<i32> {
        let mut child = self.processes.remove(name).unwrap();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        child.kill().ok();
        child.wait().ok();
        panic!("{name} did not end within {WAIT_TIMEOUT:?}");
    }

    pub fn log_text(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Runs an operator command once.
    pub fn run_command(&self, args: &[&str]) -> Output {
        let settings = self.settings_file();
        Command::new(env!("CARGO_BIN_EXE_bulrushspan"))
            .args(args)
            .args(["--settings", path_str(&settings)])
            .output()
            .unwrap()
    }

    /// Runs an operator command with `--json`, retries it until it succeeds, and returns the JSON
    /// that it prints.
    pub fn run_json(&self, args: &[&str]) -> Value {
        let args: Vec<&str> = args.iter().copied().chain(["--json"]).collect();
        self.wait_for(&format!("{args:?}"), || {
            let output = self.run_command(&args);
            let value = serde_json::from_slice(&output.stdout).ok();
            value.filter(|_| output.status.success())
        })
    }

    /// Polls `check` until it returns a value.
    ///
    /// # Panics
    ///
    /// Panics after `WAIT_TIMEOUT`. The message contains `what`, which names the condition, and the
    /// instances' logs.
    pub fn wait_for<T>(&self, what: &str, mut check: impl FnMut() -> Option<T>) -> T {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(value) = check() {
                return value;
            }
            if Instant::now() > deadline {
                let logs: Vec<String> = self
                    .instances
                    .iter()
                    .map(|name| format!("--- {name}\n{}", self.log_text(name)))
                    .collect();
                panic!("timed out after {WAIT_TIMEOUT:?} waiting for: {what}\n{}", logs.join("\n"));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until the given instances are live, one of them owns each upstream, the policy is in
    /// force everywhere, and a key epoch has begun.
    pub fn wait_ready(&self, live: &[&str]) {
        self.wait_for(&format!("{live:?} ready"), || {
            let output = self.run_command(&["status", "--json"]);
            let status: Value = serde_json::from_slice(&output.stdout).ok()?;
            let is_live = |name: &&str| status["instances"][name]["state"]["state"] == "live";
            let has_live_owner = |name: &String| {
                let owner = status["owners"][name]["owner"]["instance"].as_str();
                owner.is_some_and(|owner| live.contains(&owner))
            };
            let is_ready = live.iter().all(is_live)
                && self.upstreams.iter().all(has_live_owner)
                && status["in_force_everywhere"] == true
                && status["key_epoch"].as_u64() > Some(0);
            is_ready.then_some(())
        });
    }

    pub fn wait_all_ready(&self) {
        let instances: Vec<&str> = self.instances.iter().map(String::as_str).collect();
        self.wait_ready(&instances);
    }

    /// Returns the instance whose replica is the leader.
    pub fn leader(&self) -> String {
        self.wait_for("a leader", || {
            let output = self.run_command(&["status", "--json"]);
            let status: Value = serde_json::from_slice(&output.stdout).ok()?;
            let replicas = status["replicas"].as_array()?;
            let leader = replicas.iter().find(|replica| replica["leads"] == true)?;
            Some(leader["instance"].as_str()?.to_owned())
        })
    }

    pub fn callers_url(&self, instance: &str) -> String {
        format!("http://{}:{}", self.address, self.port_of(instance))
    }

    pub fn operators_url(&self, instance: &str) -> String {
        format!("http://{}:{}", self.address, self.port_of(instance) + 1)
    }

    pub fn forward_url(&self, instance: &str) -> String {
        format!("http://{}:{}", self.address, self.port_of(instance) + 3)
    }

    fn port_of(&self, instance: &str) -> usize {
        7000 + 10 * self.instances.iter().position(|name| name == instance).unwrap()
    }

    /// Looks up a client's address at an instance.
    pub async fn look_up(&self, instance: &str, client: &str) -> Option<Value> {
        let url = format!("{}/lookup?client={client}", self.callers_url(instance));
        self.http.get(url).send().await.ok()?.error_for_status().ok()?.json().await.ok()
    }

    /// Waits until an instance's look-ups return at least this revision.
    pub async fn wait_revision(&self, instance: &str, revision: u64) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let response = self.look_up(instance, "10.2.0.1").await;
            let served_revision =
                response.as_ref().and_then(|response| response["revision"].as_u64());
            if served_revision >= Some(revision) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "{instance} answers look-ups with revision {served_revision:?}, not {revision}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends a booking and returns the status and body of the response.
    pub async fn book(&self, instance: &str, key: &str, query: &str) -> Option<(u16, Value)> {
        let url = format!("{}/services/orders/bookings{query}", self.callers_url(instance));
        let request = self.http.post(url).header("idempotency-key", key).body("a booking");
        let response = request.send().await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.json().await.ok()?))
    }

    /// Returns the current epoch of idempotency keys.
    pub fn key_epoch(&self) -> u64 {
        self.run_json(&["status"])["key_epoch"].as_u64().unwrap()
    }

    /// Counts the runs of each idempotency key in the upstreams' record files.
    pub fn runs_by_key(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for line in self.record_lines() {
            let fields: Vec<&str> = line.split('\t').collect();
            if fields.len() == 4 && fields[0] == "run" && !fields[2].is_empty() {
                *runs.entry(fields[2].to_owned()).or_insert(0) += 1;
            }
        }
        runs
    }

    /// Returns the lines of all upstreams' record files.
    pub fn record_lines(&self) -> Vec<String> {
        self.upstreams
            .iter()
            .flat_map(|name| {
                let text = fs::read_to_string(self.record_file(name)).unwrap_or_default();
                text.lines().map(str::to_owned).collect::<Vec<_>>()
            })
            .collect()
    }
}

/// Only the tests of crowds of callers use these.
#[allow(dead_code)]
impl Deployment {
    pub fn cluster_url(&self, instance: &str) -> String {
        format!("http://{}:{}", self.address, self.port_of(instance) + 2)
    }

    pub fn process_id(&self, name: &str) -> u32 {
        self.processes[name].id()
    }

    pub fn is_running(&mut self, name: &str) -> bool {
        self.processes.get_mut(name).unwrap().try_wait().unwrap().is_none()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            child.kill().ok();
            child.wait().ok();
        }
        if !std::thread::panicking() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

pub fn path_str(path: &Path) -> &str {
    path.to_str().unwrap()
}
