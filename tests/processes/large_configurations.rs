//! Tests of control replicas whose configuration is large and changes often.

use std::time::{Duration, Instant};

use serde_json::json;

use super::fleet::{Fleet, MEMORY_MIB, WAIT_TIMEOUT};

const ROUTES: u32 = 2000;
const VERSIONS: u32 = 60;
/// The maximum length of the log file, in bytes: 4 MiB, and the entry that exceeds them.
const LOG_MAX_BYTES: u64 = 5 * 1024 * 1024;
const CONTROLS: [&str; 3] = ["c1", "c2", "c3"];

/// Returns a configuration with this many routes, one of which differs in each version.
pub(super) fn configuration_of(version: u32, routes: u32) -> String {
    let mut resources = vec![json!({"type": "services", "meta": {"name": "orders"}, "spec": {
        "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false,
        "cold_start_s": 0.0, "cold_per_s": 5.0}})];
    for route in 0..routes {
        let timeout_s = if route == version { 2.5 } else { 3.0 };
        let prefix = format!("/p{route}/");
        resources.push(json!({"type": "routes", "meta": {"name": format!("r-{route}")}, "spec": {
            "host": "shop.example", "path_prefix": prefix, "kind": "safe", "timeout_s": timeout_s,
            "slo_s": 1.0, "priority": 1, "service": "orders", "max_attempts": 2}}));
    }
    json!({"version": format!("r{version}"), "resources": resources}).to_string()
}

/// The log kept up to 200 entries, each a whole configuration, so the replicas exceeded their
/// memory, and exceeded it again at each start.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_of_many_large_configurations_is_bounded_in_bytes() {
    let mut fleet = Fleet::new(9);
    fleet.launch(vec![json!({"id": "i-damaged"})], &CONTROLS);
    for version in 1..=VERSIONS {
        let name = format!("r{version}");
        fleet.put_configuration(&name, &configuration_of(version, ROUTES)).await;
    }
    let metrics_url = format!("http://{}:9464/metrics", fleet.ip("c1"));
    fleet.wait_for(&metrics_url, 200, "bulrushspan_state_bytes{kind=\"log\"}").await;
    let log_bytes = CONTROLS.map(|control| fleet.log_file_bytes(control));
    assert!(log_bytes.iter().all(|bytes| *bytes <= LOG_MAX_BYTES), "{log_bytes:?}");

    CONTROLS.iter().for_each(|control| fleet.kill(control));
    CONTROLS.iter().for_each(|control| fleet.start_process(control, true));
    let url = format!("http://{}:8146/api/config", fleet.ip("c1"));
    fleet.wait_for(&url, 200, &format!("\"r{VERSIONS}\"")).await;

    refuses_a_configuration_that_is_too_large(&fleet).await;
}

/// Checks that a configuration above 1/32 of the memory is refused, and that the one before it
/// stays in force.
async fn refuses_a_configuration_that_is_too_large(fleet: &Fleet) {
    let url = format!("http://{}:8146/api/config", fleet.ip("c1"));
    let mut table: serde_json::Value =
        serde_json::from_str(&configuration_of(VERSIONS + 1, ROUTES)).unwrap();
    table["resources"][1]["spec"]["path_prefix"] = json!(format!("/{}", "p".repeat(9_000_000)));
    let response = fleet.http.put(&url).body(table.to_string()).send().await.unwrap();
    let (status, text) = (response.status().as_u16(), response.text().await.unwrap());
    assert_eq!(status, 413, "{text}");
    let max_bytes = 260 * 1024 * 1024 / 32;
    assert!(text.contains(&format!("at most {max_bytes} are accepted")), "{text}");
    fleet.wait_for(&url, 200, &format!("\"r{VERSIONS}\"")).await;
}

/// The number of routes of a configuration that is just within the limit of 1/32 of the memory.
const ROUTES_MAX: u32 = 42_000;
const LARGEST_VERSIONS: u32 = 6;
/// The number of reads at the same time.
const READS: usize = 3;

/// Configurations were held several times over while they were read from or written to JSON, so
/// that replicas came close to their memory limit, and passed it with a few reads at once.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_stay_below_seven_tenths_of_their_memory_with_the_largest_configuration() {
    let mut fleet = Fleet::new(10);
    fleet.launch(vec![json!({"id": "i-damaged"})], &CONTROLS);
    let url = format!("http://{}:8146/api/config", fleet.ip("c1"));
    for version in 1..=LARGEST_VERSIONS {
        let body = configuration_of(version, ROUTES_MAX);
        let started_at = Instant::now();
        loop {
            let call = fleet.http.put(&url).body(body.clone()).timeout(Duration::from_secs(10));
            if call.send().await.is_ok_and(|response| response.status().is_success()) {
                break;
            }
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "r{version} was not acknowledged");
        }
    }
    let newest = format!("\"r{LARGEST_VERSIONS}\"");
    let reads = (0..READS).map(|_| fleet.wait_for(&url, 200, &newest));
    futures_util::future::join_all(reads).await;
    let peaks_mib = CONTROLS.map(|control| fleet.peak_memory_mib(control));
    CONTROLS.iter().for_each(|control| fleet.kill(control));
    CONTROLS.iter().for_each(|control| fleet.start_process(control, false));
    fleet.wait_for(&url, 200, &newest).await;
    let start_peaks_mib = CONTROLS.map(|control| fleet.peak_memory_mib(control));

    let max_mib = MEMORY_MIB * 7 / 10;
    let is_within = |peak_mib: &u64| *peak_mib <= max_mib;
    assert!(
        peaks_mib.iter().chain(&start_peaks_mib).all(is_within),
        "{peaks_mib:?} MiB, after a restart {start_peaks_mib:?} MiB; {max_mib} MiB allowed"
    );
}
