//! Runs the control and entry roles of the platform against stand-ins for its instance list and
//! its upstreams.

use std::{
    collections::{BTreeMap, BTreeSet},
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

use super::fleet::{Fleet, POLL_INTERVAL, WAIT_TIMEOUT, configuration};

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

/// A first configuration of version 0 was acknowledged, never in force and never read back.
#[tokio::test(flavor = "multi_thread")]
async fn a_first_configuration_of_version_0_is_served_and_read_back() {
    let mut fleet = Fleet::new(12);
    let entries = fleet.start_upstreams();
    fleet.launch(entries, &["c1", "c2", "c3", "e1"]);
    fleet.configure("r0", "/book/").await;
    fleet.configure("r0", "/order/").await;
    let read_urls = ["c1", "c2", "c3"].map(|name| {
        let ip = fleet.ip(name);
        format!("http://{ip}:8146/api/config")
    });
    for url in &read_urls {
        fleet.wait_for(url, 200, "\"r0\"").await;
        fleet.wait_for(url, 200, "/book/").await;
    }
    for name in ["c1", "e1"] {
        let metrics_url = format!("http://{}:9464/metrics", fleet.ip(name));
        fleet.wait_for(&metrics_url, 200, "bulrushspan_config_version 0\n").await;
    }
    fleet.wait_ready("e1").await;
    assert_eq!(fleet.post("e1", "first", "/book/1").await, Some(200));

    let processes = ["c1", "c2", "c3", "e1"];
    processes.iter().for_each(|name| fleet.kill(name));
    fleet.lose_disk("c1");
    processes.iter().for_each(|name| fleet.start_process(name, false));
    fleet.start_process("e2", false);
    for (number, entry) in ["e1", "e2"].into_iter().enumerate() {
        fleet.wait_ready(entry).await;
        assert_eq!(fleet.post(entry, &format!("again-{number}"), "/book/2").await, Some(200));
    }
    for url in &read_urls {
        fleet.wait_for(url, 200, "/book/").await;
    }

    fleet.configure("r18446744073709551615", "/order/").await;
    fleet.configure("r0", "/book/").await;
    for url in &read_urls {
        fleet.wait_for(url, 200, "\"r18446744073709551615\"").await;
        fleet.wait_for(url, 200, "/order/").await;
    }
    let beyond = configuration("r18446744073709551616", "/book/");
    let response = fleet.http.put(&read_urls[0]).body(beyond).send().await.unwrap();
    assert_eq!(response.status().as_u16(), 400);
}

/// Returns a configuration with this many routes.
fn large_configuration(version: &str, routes: usize) -> String {
    let mut table: Value = serde_json::from_str(&configuration(version, "/book/")).unwrap();
    let resources = table["resources"].as_array_mut().unwrap();
    let route = resources.pop().unwrap();
    resources.extend((0..routes).map(|number| {
        let mut route = route.clone();
        route["meta"]["name"] = json!(format!("r-{number}"));
        route["spec"]["path_prefix"] = json!(format!("/{number}/"));
        route
    }));
    table.to_string()
}

/// A configuration beyond the limit got 503 as if no quorum had answered, and one whose changes
/// were longer than a reply may be was lost to entry instances in a kill of all processes.
#[tokio::test(flavor = "multi_thread")]
async fn large_configurations_are_refused_or_in_force_after_a_kill_of_all_processes() {
    let mut fleet = Fleet::start(8).await;
    fleet.configure("r2", "/book/").await;
    let url = format!("http://{}:8146/api/config", fleet.ip("c1"));
    // 260 MiB / 32
    let max_bytes = 8_519_680;
    let body = large_configuration("r3", 60_000);
    let response = fleet.http.put(&url).body(body).timeout(WAIT_TIMEOUT).send().await.unwrap();
    assert_eq!(response.status().as_u16(), 413);
    let text = response.text().await.unwrap();
    assert!(text.contains(&format!("at most {max_bytes} are accepted")), "{text}");
    fleet.wait_for(&url, 200, "\"r2\"").await;

    for version in ["r4", "r5"] {
        let body = large_configuration(version, 20_000);
        let started_at = Instant::now();
        loop {
            let call = fleet.http.put(&url).body(body.clone()).timeout(Duration::from_secs(10));
            if call.send().await.is_ok_and(|response| response.status().is_success()) {
                break;
            }
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "{version} was not acknowledged");
        }
    }
    let processes = ["c1", "c2", "c3", "e1", "e2"];
    processes.iter().for_each(|name| fleet.kill(name));
    processes.iter().for_each(|name| fleet.start_process(name, false));
    for entry in ["e1", "e2"] {
        let metrics_url = format!("http://{}:9464/metrics", fleet.ip(entry));
        fleet.wait_for(&metrics_url, 200, "bulrushspan_config_version 5").await;
        fleet.wait_for(&format!("http://{}:8140/api/readyz", fleet.ip(entry)), 200, "").await;
    }
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

/// Entries of another writer with the ids of sound upstreams replaced these: one that drained got
/// requests until it ended (review/10), and one that was ready got none.
#[tokio::test(flavor = "multi_thread")]
async fn entries_of_another_writer_do_not_replace_those_of_sound_upstreams() {
    let mut fleet = Fleet::new(7);
    let mut entries = fleet.start_upstreams();
    let ready = entries[0].clone();
    entries[0]["state"] = json!("draining");
    let mut partial = ready.clone();
    partial
        .as_object_mut()
        .unwrap()
        .retain(|field, _| field != "version" && field != "cold_left_s");
    let mut unnamed = entries[1].clone();
    unnamed["service"] = json!("unnamed");
    entries.extend([partial, ready, unnamed]);
    fleet.launch(entries, &["c1", "c2", "c3", "e1", "e2"]);
    fleet.configure("r2", "/book/").await;
    fleet.wait_for(&format!("http://{}:8140/api/readyz", fleet.ip("e1")), 200, "").await;

    let (started_at, mut stamps) = (Instant::now(), BTreeSet::new());
    let url = format!("http://{}:8144/book/1", fleet.ip("e1"));
    for number in 0.. {
        let request = fleet.http.post(&url).header("Host", "shop.example").body("plates");
        let request = request
            .header("Bulrushspan-Request-Id", format!("booking-{number}"))
            .header("Cookie", format!("Bulrushspan-Affinity-Key={number}"));
        let response = request.timeout(Duration::from_secs(5)).send().await.unwrap();
        if let Some(stamp) = response.headers().get("Bulrushspan-Server-Stamp") {
            stamps.insert(stamp.to_str().unwrap().to_owned());
        }
        if number >= 40 && stamps.len() >= 2 {
            break;
        }
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "served by {stamps:?} only");
    }
    assert_eq!(stamps.iter().collect::<Vec<_>>(), ["stamp-1", "stamp-2"]);
    for control in ["c1", "c2", "c3"] {
        let url = format!("http://{}:9464/metrics", fleet.ip(control));
        fleet.wait_for(&url, 200, "bulrushspan_listed_upstreams 3").await;
    }
}
