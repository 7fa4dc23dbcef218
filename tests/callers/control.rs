//! Crowds at a control replica.

use serde_json::json;

use super::{
    crowd::{Script, send_crowd},
    rig::{Limits, Rig},
};

const OPERATORS: u16 = 8146;
const DIRECTORY: u16 = 8147;
const METRICS: u16 = 9464;
const INSTANCES: u16 = 7660;
const RESOLVE: &str = "/api/resolve?name=shop.example&region=north&zone=a";
/// The number of callers that send long requests.
const CROWD: usize = 20;
const MIB: usize = 1024 * 1024;

fn chunked(method: &str, path: &str) -> Script {
    let start =
        format!("{method} {path} HTTP/1.1\r\nHost: control\r\nTransfer-Encoding: chunked\r\n\r\n");
    Script::with_chunks(start, MIB / 2, 24)
}

/// Sends a crowd, and checks that every port is still served, and the replica's usage.
async fn play(number: u32, limits: Limits, port: u16, count: usize, script: Script) {
    let mut rig = Rig::start(number, limits).await;
    let crowd = send_crowd(rig.address("control", port), count, &script).await;
    check_served(&mut rig).await;
    drop(crowd);
}

async fn check_served(rig: &mut Rig) {
    rig.wait_success("control", OPERATORS, "/api/config").await;
    rig.wait_success("control", DIRECTORY, RESOLVE).await;
    rig.wait_success("control", METRICS, "/metrics").await;
    rig.configure("r2", &[]).await;
    rig.wait_answered().await;
    rig.check("control");
}

/// Configurations that stop short of their end.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_configurations_fit_into_memory() {
    play(20, Limits::default(), OPERATORS, CROWD, chunked("PUT", "/api/config")).await;
}

/// Bodies of calls that need none.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_at_the_directory_fit_into_memory() {
    play(21, Limits::default(), DIRECTORY, CROWD, chunked("GET", RESOLVE)).await;
}

/// The same at the port for metrics.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_at_the_port_for_metrics_fit_into_memory() {
    play(22, Limits::default(), METRICS, CROWD, chunked("GET", "/metrics")).await;
}

/// Heads of nearly 1 MB.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_heads_at_the_directory_fit_into_memory() {
    let start = format!("GET {RESOLVE} HTTP/1.1\r\nHost: control\r\nX-Field: ");
    play(23, Limits::default(), DIRECTORY, 150, Script::with_bytes(start, 1_000_000)).await;
}

/// The same at the port for operators.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_heads_at_the_port_for_operators_fit_into_memory() {
    let start = "GET /api/config HTTP/1.1\r\nHost: control\r\nX-Field: ".to_owned();
    play(24, Limits::default(), OPERATORS, 150, Script::with_bytes(start, 1_000_000)).await;
}

/// Calls of other instances that stop short of their end, each within the limit of one call.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_calls_of_instances_fit_into_memory() {
    // The length of a frame of 7 MiB.
    let script = Script::with_bytes("\u{0}\u{70}\u{0}\u{0}".to_owned(), 6 * MIB);
    play(25, Limits::default(), INSTANCES, CROWD, script).await;
}

/// Connections beyond the descriptors of the process.
#[tokio::test(flavor = "multi_thread")]
async fn connections_at_every_port_leave_descriptors_free() {
    let mut rig = Rig::start(26, Limits { descriptors: 400, ..Limits::default() }).await;
    let mut crowd = Vec::new();
    for port in [OPERATORS, DIRECTORY, METRICS, INSTANCES] {
        crowd.extend(send_crowd(rig.address("control", port), 300, &Script::new("G")).await);
    }
    check_served(&mut rig).await;
}

/// Readers that take nothing of a long configuration, each of another version.
#[tokio::test(flavor = "multi_thread")]
async fn configurations_that_are_not_read_fit_into_memory() {
    const ROUTES: u32 = 4000;
    const VERSIONS: u32 = 10;
    let mut rig = Rig::start(27, Limits::default()).await;
    let routes: Vec<_> = (0..ROUTES)
        .map(|route| {
            json!({"type": "routes", "meta": {"name": format!("r-{route}")}, "spec": {
                "host": "shop.example", "path_prefix": format!("/p{route}/"), "kind": "safe",
                "timeout_s": 3.0, "slo_s": 1.0, "priority": 1, "service": "orders",
                "max_attempts": 2}})
        })
        .collect();
    let script = Script::new("GET /api/config HTTP/1.1\r\nHost: control\r\n\r\n");
    let mut crowd = Vec::new();
    for version in 2..2 + VERSIONS {
        rig.configure(&format!("r{version}"), &routes).await;
        crowd.extend(send_crowd(rig.address("control", OPERATORS), 15, &script).await);
    }
    rig.wait_success("control", OPERATORS, "/api/config").await;
    rig.wait_success("control", DIRECTORY, RESOLVE).await;
    rig.check("control");
}
