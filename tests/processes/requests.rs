//! Tests of requests while instances and upstreams are killed, and of requests that fail.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use serde_json::Value;

use super::deployment::Deployment;

/// The responses that a caller got for one booking.
#[derive(Clone, Default)]
struct BookingResult {
    responses: BTreeSet<String>,
    /// Whether every attempt got a response with the outcome `not_run`.
    always_not_run: bool,
}

#[tokio::test(flavor = "multi_thread")]
async fn no_booking_runs_twice_while_instances_and_upstreams_are_killed() {
    let mut deployment = Deployment::start();
    deployment.wait_all_ready();
    let epoch = deployment.key_epoch();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..8)
        .map(|caller| {
            let urls: Vec<String> =
                deployment.instances.iter().map(|name| deployment.callers_url(name)).collect();
            let (stop, http) = (stop.clone(), deployment.http.clone());
            tokio::spawn(send_bookings(stop, http, urls, epoch, caller))
        })
        .collect();
    for name in ["u1", "n3", "u3", "s2", "n1"] {
        tokio::time::sleep(Duration::from_millis(1500)).await;
        deployment.kill(name);
        tokio::time::sleep(Duration::from_millis(500)).await;
        match name.strip_prefix('u') {
            Some(_) => deployment.start_upstream(name),
            None => deployment.start_instance(name),
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    stop.store(true, Ordering::Relaxed);
    let mut bookings: BTreeMap<String, BookingResult> = BTreeMap::new();
    for caller in callers {
        bookings.extend(caller.await.unwrap());
    }
    let runs = deployment.runs_by_key();
    let keys_run_twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(keys_run_twice.is_empty(), "run twice: {keys_run_twice:?}");
    let mut answered_count = 0;
    for (key, result) in &bookings {
        assert!(
            result.responses.len() <= 1,
            "{key} got different responses: {:?}",
            result.responses
        );
        assert!(
            !(result.always_not_run && runs.contains_key(key)),
            "{key} was answered not_run, but ran"
        );
        answered_count += result.responses.len();
    }
    assert!(
        answered_count > 50,
        "only {answered_count} of {} bookings were answered",
        bookings.len()
    );
    assert_no_slot_exceeded(&deployment);
}

/// Sends bookings until `stop` is set, each three times through different instances, even after
/// it was answered.
async fn send_bookings(
    stop: Arc<AtomicBool>,
    http: reqwest::Client,
    urls: Vec<String>,
    epoch: u64,
    caller: usize,
) -> BTreeMap<String, BookingResult> {
    let mut bookings = BTreeMap::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let key = format!("{epoch}-caller{caller}-{number}");
        let mut result = BookingResult { always_not_run: true, ..BookingResult::default() };
        for attempt in 0..3 {
            let url = &urls[(caller + number + attempt) % urls.len()];
            let url = format!("{url}/services/orders/bookings?ms=40");
            let request = http.post(url).header("idempotency-key", &key).body("plates");
            let response = request.timeout(Duration::from_secs(8)).send().await;
            let Ok(response) = response else {
                result.always_not_run = false;
                continue;
            };
            let status = response.status();
            let Ok(text) = response.text().await else {
                result.always_not_run = false;
                continue;
            };
            if status.is_success() {
                result.always_not_run = false;
                result.responses.insert(text);
                continue;
            }
            let body: Value = serde_json::from_str(&text).unwrap_or_default();
            result.always_not_run &= body["outcome"] == "not_run";
        }
        bookings.insert(key, result);
    }
    bookings
}

fn assert_no_slot_exceeded(deployment: &Deployment) {
    let excess_lines: Vec<String> =
        deployment.record_lines().into_iter().filter(|line| line.starts_with("over")).collect();
    assert!(excess_lines.is_empty(), "requests exceeded the slots: {excess_lines:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_are_not_exceeded_while_an_owner_is_frozen_and_resumed() {
    let deployment = Deployment::start();
    deployment.wait_all_ready();
    let stop = Arc::new(AtomicBool::new(false));
    let readers: Vec<_> = (0..40)
        .map(|reader| {
            let index = reader % deployment.instances.len();
            let url = deployment.callers_url(&deployment.instances[index]);
            let (stop, http) = (stop.clone(), deployment.http.clone());
            tokio::spawn(async move {
                let mut answered_count = 0;
                while !stop.load(Ordering::Relaxed) {
                    let request = http.get(format!("{url}/services/orders/items?ms=30"));
                    let response = request.timeout(Duration::from_secs(6)).send().await;
                    answered_count +=
                        usize::from(response.is_ok_and(|response| response.status().is_success()));
                }
                answered_count
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    deployment.signal("n3", "STOP");
    tokio::time::sleep(Duration::from_secs(10)).await;
    deployment.signal("n3", "CONT");
    tokio::time::sleep(Duration::from_secs(3)).await;
    stop.store(true, Ordering::Relaxed);
    let mut answered_count = 0;
    for reader in readers {
        answered_count += reader.await.unwrap();
    }
    assert!(answered_count > 100, "only {answered_count} requests succeeded");
    assert_no_slot_exceeded(&deployment);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_upstreams_reaches_at_most_two_of_them() {
    let deployment = Deployment::start();
    deployment.wait_all_ready();
    for round in 0..3 {
        for instance in &deployment.instances {
            let url =
                format!("{}/services/orders/poison?crash=1", deployment.callers_url(instance));
            let response = deployment.http.get(url).send().await;
            assert!(
                !response.is_ok_and(|response| response.status().is_success()),
                "{instance} answered with success in round {round}"
            );
        }
    }
    let reached_upstreams: BTreeSet<String> = deployment
        .record_lines()
        .iter()
        .filter(|line| line.ends_with("/poison"))
        .map(|line| line.split('\t').nth(1).unwrap().to_owned())
        .collect();
    assert!(reached_upstreams.len() <= 2, "the request reached {reached_upstreams:?}");
    for instance in &deployment.instances {
        let url = format!("{}/services/orders/poison?crash=1", deployment.callers_url(instance));
        let response = deployment.http.get(url).send().await.unwrap();
        assert_eq!(response.status(), 422, "{instance}");
        let body: Value = response.json().await.unwrap();
        assert_eq!(body["error"], "crashes_upstreams");
    }
    // Other requests still run on the remaining upstreams.
    let url = format!("{}/services/orders/menus", deployment.callers_url("n1"));
    let mut last_status = 0;
    for _ in 0..100 {
        last_status = deployment.http.get(&url).send().await.unwrap().status().as_u16();
        if last_status == 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(last_status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_requests_get_their_error_and_outcome() {
    let deployment = Deployment::start();
    deployment.wait_all_ready();
    let base = deployment.callers_url("n1");
    let epoch = deployment.key_epoch();
    let post = |key: Option<String>, path: &str| {
        let request = deployment.http.post(format!("{base}{path}")).body("x");
        match key {
            Some(key) => request.header("idempotency-key", key),
            None => request,
        }
    };
    let mut responses = Vec::new();
    let cases = [
        ("unknown service", post(Some(format!("{epoch}-a")), "/services/nothing/x")),
        ("no key", post(None, "/services/orders/bookings")),
        ("bad key", post(Some("booking".to_owned()), "/services/orders/bookings")),
        ("key of the future", post(Some(format!("{}-a", epoch + 9)), "/services/orders/bookings")),
        (
            "upgrade",
            deployment.http.get(format!("{base}/services/orders/x")).header("upgrade", "h2c"),
        ),
        (
            "oversized headers",
            deployment
                .http
                .get(format!("{base}/services/orders/x"))
                .header("x-big", "b".repeat(40_000)),
        ),
        (
            "too many headers",
            (0..150).fold(
                deployment.http.get(format!("{base}/services/orders/x")),
                |request, number| request.header(format!("x-{number}"), "1"),
            ),
        ),
        ("no such path", deployment.http.get(format!("{base}/elsewhere"))),
        ("bad client", deployment.http.get(format!("{base}/lookup?client=me"))),
    ];
    for (name, request) in cases {
        let response = request.send().await.unwrap();
        let status = response.status().as_u16();
        let body: Value = response.json().await.unwrap();
        responses.push(format!("{name}: {status} {} {}", body["error"], body["outcome"]));
    }
    insta::assert_snapshot!("told", responses.join("\n"));
    // A response that the upstream truncates must not look complete to the caller.
    for instance in &deployment.instances {
        let url =
            format!("{}/services/orders/x?cut=1&bytes=5000", deployment.callers_url(instance));
        let is_complete = match deployment.http.get(url).send().await {
            Ok(response) if response.status().is_success() => response.bytes().await.is_ok(),
            _ => false,
        };
        assert!(!is_complete, "{instance} relayed a truncated response as complete");
    }
    assert_large_bodies_are_forwarded(&deployment).await;
    assert_key_is_bound_to_its_request(&deployment, epoch).await;
}

async fn assert_large_bodies_are_forwarded(deployment: &Deployment) {
    let body: Vec<u8> = (0..3_000_000u32).map(|byte| byte as u8).collect();
    let url = format!("{}/services/orders/photos?bytes=2000000", deployment.callers_url("s1"));
    let response = deployment.http.put(url).body(body).send().await.unwrap();
    assert_eq!(response.status(), 200);
    let response_body = response.bytes().await.unwrap();
    assert_eq!(response_body.len(), 2_000_000);
    let echo: Value = serde_json::from_slice(&response_body).unwrap();
    assert_eq!(echo["body_bytes"], 3_000_000);
}

async fn assert_key_is_bound_to_its_request(deployment: &Deployment, epoch: u64) {
    let key = format!("{epoch}-bound");
    let (status, first_body) = deployment.book("n1", &key, "?a=1").await.unwrap();
    assert_eq!(status, 200);
    let (status, repeated_body) = deployment.book("s2", &key, "?a=1").await.unwrap();
    assert_eq!((status, &repeated_body), (200, &first_body));
    let (status, other_body) = deployment.book("n2", &key, "?a=2").await.unwrap();
    assert_eq!((status, other_body["error"].as_str()), (422, Some("key_reused")));
}

/// A booking sent again right after its 200 got 409 `in_progress`, because the caller had the whole
/// response before it was recorded.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_is_recorded_before_its_caller_has_the_whole_response() {
    let deployment = Deployment::start();
    deployment.wait_all_ready();
    let epoch = deployment.key_epoch();
    let replicas_stopped = ["n1", "n2"];
    for round in 0.. {
        let key = format!("{epoch}-recorded-{round}");
        let has_line = |kind: &str| {
            let lines = deployment.record_lines();
            lines.iter().any(|line| line.starts_with(kind) && line.contains(&key))
        };
        let url = format!("{}/services/orders/bookings?ms=500", deployment.callers_url("s2"));
        let request = deployment.http.post(url).header("idempotency-key", &key).body("a booking");
        let booking = tokio::spawn(async move {
            let response = request.send().await.unwrap();
            (response.status().as_u16(), response.json::<Value>().await.unwrap())
        });
        deployment.wait_for("the booking to run", || has_line("run").then_some(()));
        // Without a quorum nothing is recorded.
        replicas_stopped.iter().for_each(|name| deployment.signal(name, "STOP"));
        deployment.wait_for("the booking to end", || has_line("done").then_some(()));
        let ended_at = Instant::now();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let has_response = booking.is_finished();
        let waited = ended_at.elapsed();
        replicas_stopped.iter().for_each(|name| deployment.signal(name, "CONT"));
        let response = booking.await.unwrap();
        assert_eq!(response.0, 200, "{}", response.1);
        // An instance delivers a response that can't be recorded, after a while.
        if waited > Duration::from_secs(1) {
            continue;
        }
        assert!(!has_response, "the caller has the response, which is not recorded");
        assert_eq!(deployment.book("s1", &key, "?ms=500").await, Some(response));
        return;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_and_a_passed_deadline_cancel_the_request() {
    let deployment = Deployment::start();
    deployment.wait_all_ready();
    let has_started = |path: &str| {
        let lines = deployment.record_lines();
        lines.iter().any(|line| line.starts_with("run") && line.ends_with(path))
    };
    for instance in &deployment.instances {
        let base = deployment.callers_url(instance);
        let url = format!("{base}/services/orders/gone-{instance}?ms=3000");
        let request = tokio::spawn(deployment.http.get(url).send());
        let path = format!("/gone-{instance}");
        deployment.wait_for("the request to run", || has_started(&path).then_some(()));
        request.abort();
        let url = format!("{base}/services/orders/late-{instance}?ms=3000");
        let response = deployment.http.get(url).header("x-deadline-ms", 300).send().await.unwrap();
        assert_eq!(response.status(), 504, "{instance}");
        let body: Value = response.json().await.unwrap();
        assert_eq!(body["outcome"], "unknown", "{instance}");
    }
    // Waits longer than any of the requests would have run.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let completed_lines: Vec<String> =
        deployment.record_lines().into_iter().filter(|line| line.starts_with("done")).collect();
    assert!(
        completed_lines.is_empty(),
        "cancelled requests ran to completion: {completed_lines:?}"
    );
}
