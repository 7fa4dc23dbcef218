//! Measures the control state on loopback: the demo deployment with its three control replicas,
//! which sync their logs to disk, in one process.
//!
//!     cargo run --release --example control
//!
//! Prints the rates and latencies of changes, look-ups and claims, and the traffic and
//! processor time that followers cause.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bulrushspan::{
    core::{
        claims::{ClaimCommand, ClaimKey},
        control::{Command, Holder, LoadReport},
    },
    demo::Deployment,
    net::{
        ClusterClient,
        wire::{PolicyUpdate, Presets, WatchReply, WatchRequest, encode},
    },
    runtime::ControlClient,
    settings,
};
use hdrhistogram::Histogram;

const CHANGES: u32 = 200;
const CLAIMS: usize = 4_000;
const CLAIM_CALLERS: usize = 32;
const LOOK_UP_CALLERS: usize = 48;
const FOLLOWER_COUNTS: [usize; 3] = [10, 50, 100];
/// How long each number of followers is measured.
const MEASURE_TIME: Duration = Duration::from_secs(8);
/// Clock ticks per second in `/proc/self/stat`, `USER_HZ` of Linux.
const TICKS_PER_S: f64 = 100.0;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/settings/demo.jsonc");
    let settings = settings::load(Path::new(path))?;
    let deployment = Deployment::start(settings).await?;
    let key = std::fs::read_to_string(&deployment.settings.cluster_key_file)?;
    let replicas: BTreeMap<_, _> = deployment
        .settings
        .control_instances()
        .into_iter()
        .map(|(name, instance)| {
            (name.clone(), ClusterClient::new(instance.cluster_address, key.clone()))
        })
        .collect();
    let control = ControlClient::new(replicas);
    tokio::time::sleep(Duration::from_secs(5)).await;
    measure_changes(&deployment, None).await?;
    measure_changes(&deployment, Some(10_000)).await?;
    measure_look_ups(&deployment, 1).await?;
    measure_look_ups(&deployment, 3).await?;
    measure_claims(&control).await;
    measure_followers(&control).await;
    Ok(())
}

/// Measures consecutive changes of the preset in force. With `wait_ms`, each waits until it is in
/// force on all instances.
async fn measure_changes(deployment: &Deployment, wait_ms: Option<u64>) -> eyre::Result<()> {
    let http = reqwest::Client::builder().no_proxy().build()?;
    let operator_address = deployment.settings.instances.values().next().unwrap().operator_address;
    let presets: Presets = http
        .get(format!("http://{operator_address}/v1/presets"))
        .bearer_auth(&deployment.token)
        .send()
        .await?
        .json()
        .await?;
    let mut latencies_us = Histogram::<u64>::new(3)?;
    let started_at = Instant::now();
    for (revision, number) in (presets.revision..).zip(0..CHANGES) {
        let query = wait_ms.map(|ms| format!("?wait_ms={ms}")).unwrap_or_default();
        let name = ["peak", "ordinary"][number as usize % 2];
        let sent_at = Instant::now();
        let response = http
            .put(format!("http://{operator_address}/v1/preset-in-force{query}"))
            .bearer_auth(&deployment.token)
            .header("x-change-id", format!("{revision}-{number}"))
            .header("x-expected-revision", revision)
            .json(&serde_json::json!({ "name": name }))
            .send()
            .await?;
        assert!(response.status().is_success(), "{}", response.text().await?);
        latencies_us.record(sent_at.elapsed().as_micros() as u64)?;
    }
    let rate = f64::from(CHANGES) / started_at.elapsed().as_secs_f64();
    let condition = if wait_ms.is_some() { "in force everywhere" } else { "accepted" };
    println!(
        "{CHANGES} changes one after the other until {condition}: {rate:.0}/s, p50 {:.1} ms, \
         p99 {:.1} ms",
        latencies_us.value_at_quantile(0.5) as f64 / 1e3,
        latencies_us.value_at_quantile(0.99) as f64 / 1e3
    );
    Ok(())
}

async fn measure_look_ups(deployment: &Deployment, instances: usize) -> eyre::Result<()> {
    let http = reqwest::Client::builder().no_proxy().build()?;
    let addresses: Vec<_> = deployment
        .settings
        .instances
        .values()
        .take(instances)
        .map(|instance| instance.caller_address)
        .collect();
    let deadline = Instant::now() + Duration::from_secs(4);
    let cpu_start_s = cpu_seconds();
    let callers: Vec<_> = (0..LOOK_UP_CALLERS)
        .map(|number| {
            let url = format!(
                "http://{}/lookup?client=10.1.0.{number}",
                addresses[number % addresses.len()]
            );
            let http = http.clone();
            tokio::spawn(async move {
                let mut latencies_us = Histogram::<u64>::new(3).unwrap();
                while Instant::now() < deadline {
                    let started_at = Instant::now();
                    let response = http.get(&url).send().await.unwrap();
                    response.bytes().await.unwrap();
                    latencies_us.record(started_at.elapsed().as_micros() as u64).unwrap();
                }
                latencies_us
            })
        })
        .collect();
    let mut latencies_us = Histogram::<u64>::new(3)?;
    for caller in callers {
        latencies_us.add(caller.await?)?;
    }
    println!(
        "look-ups over HTTP, {instances} instance(s), callers in the same process: {:.0}/s, \
         p99 {:.1} ms, {:.0} us of processor time each, callers included",
        latencies_us.len() as f64 / 4.0,
        latencies_us.value_at_quantile(0.99) as f64 / 1e3,
        (cpu_seconds() - cpu_start_s) * 1e6 / latencies_us.len() as f64,
    );
    Ok(())
}

async fn measure_claims(control: &ControlClient) {
    let started_at = Instant::now();
    let next_number = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CLAIM_CALLERS)
        .map(|_| {
            let (control, next_number) = (control.clone(), next_number.clone());
            tokio::spawn(async move {
                loop {
                    let number = next_number.fetch_add(1, Ordering::Relaxed);
                    if number >= CLAIMS as u64 {
                        return;
                    }
                    let command = begin_claim(number);
                    control.submit(command, Duration::from_secs(10)).await.unwrap();
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await.unwrap();
    }
    let rate = CLAIMS as f64 / started_at.elapsed().as_secs_f64();
    let bytes = encode(&begin_claim(1)).unwrap().len();
    println!("{CLAIMS} claims by {CLAIM_CALLERS} callers: {rate:.0}/s; a claim has {bytes} bytes");
}

fn begin_claim(number: u64) -> Command {
    Command::Claim(ClaimCommand::Begin {
        key: ClaimKey { epoch: 1, token: format!("caller-booking-{number}") },
        fingerprint: "0123456789abcdef0123456789abcdef".to_owned(),
        attempt: format!("port-of-spain-1/0123456789abcdef/{number}"),
    })
}

async fn measure_followers(control: &ControlClient) {
    for count in FOLLOWER_COUNTS {
        let bytes = Arc::new(AtomicU64::new(0));
        let watches = Arc::new(AtomicU64::new(0));
        let followers: Vec<_> = (0..count)
            .map(|number| {
                let (control, bytes, watches) = (control.clone(), bytes.clone(), watches.clone());
                tokio::spawn(run_follower(control, format!("f{number:03}"), bytes, watches))
            })
            .collect();
        tokio::time::sleep(Duration::from_secs(3)).await;
        bytes.store(0, Ordering::Relaxed);
        watches.store(0, Ordering::Relaxed);
        let cpu_start_s = cpu_seconds();
        tokio::time::sleep(MEASURE_TIME).await;
        let cpu_share = (cpu_seconds() - cpu_start_s) / MEASURE_TIME.as_secs_f64();
        let rate_per_follower =
            |total: u64| total as f64 / count as f64 / MEASURE_TIME.as_secs_f64();
        println!(
            "{count} followers: {:.0} bytes/s and {:.2} watches/s each, {:.2} % of a core for the \
             whole process",
            rate_per_follower(bytes.load(Ordering::Relaxed)),
            rate_per_follower(watches.load(Ordering::Relaxed)),
            cpu_share * 100.0
        );
        followers.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

/// Watches the control state as an instance does to keep its lease, and counts the watches and
/// their bytes.
async fn run_follower(
    control: ControlClient,
    name: String,
    bytes: Arc<AtomicU64>,
    watches: Arc<AtomicU64>,
) {
    let mut version = 0;
    loop {
        let request = WatchRequest {
            holder: Holder::new(name.clone(), 1),
            version,
            stopping: false,
            gone: false,
            at_once: false,
            load: LoadReport::default(),
        };
        let Ok(reply) = control.watch(&request, Duration::from_secs(2)).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let size = encode(&request).unwrap().len() + encode(&reply).unwrap().len();
        bytes.fetch_add(size as u64, Ordering::Relaxed);
        watches.fetch_add(1, Ordering::Relaxed);
        if let WatchReply::Granted { update, .. } = reply {
            version = match update {
                PolicyUpdate::Deltas(deltas) => {
                    deltas.last().map_or(version, |delta| delta.version)
                }
                PolicyUpdate::Whole(policy) => policy.version,
            };
        }
    }
}

/// Returns the processor time that this process has used, in seconds.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let ticks =
        |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_S
}
