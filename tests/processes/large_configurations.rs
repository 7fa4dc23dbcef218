//! Tests of control replicas whose configuration is large and changes often.

use serde_json::json;

use super::fleet::Fleet;

const ROUTES: u32 = 2000;
const VERSIONS: u32 = 60;
/// The maximum length of the log file, in bytes: 4 MiB, and the entry that exceeds them.
const LOG_MAX_BYTES: u64 = 5 * 1024 * 1024;
const CONTROLS: [&str; 3] = ["c1", "c2", "c3"];

/// Returns a configuration with many routes, one of which differs in each version.
fn large_configuration(version: u32) -> String {
    let mut resources = vec![json!({"type": "services", "meta": {"name": "orders"}, "spec": {
        "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false,
        "cold_start_s": 0.0, "cold_per_s": 5.0}})];
    for route in 0..ROUTES {
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
        fleet.put_configuration(&name, &large_configuration(version)).await;
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
        serde_json::from_str(&large_configuration(VERSIONS + 1)).unwrap();
    table["resources"][1]["spec"]["path_prefix"] = json!(format!("/{}", "p".repeat(9_000_000)));
    let response = fleet.http.put(&url).body(table.to_string()).send().await.unwrap();
    let (status, text) = (response.status().as_u16(), response.text().await.unwrap());
    assert_eq!(status, 413, "{text}");
    let max_bytes = 260 * 1024 * 1024 / 32;
    assert!(text.contains(&format!("at most {max_bytes} are accepted")), "{text}");
    fleet.wait_for(&url, 200, &format!("\"r{VERSIONS}\"")).await;
}
