//! Tests of lost regions, planned stops and draining upstreams.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde_json::Value;

use super::deployment::Deployment;

/// The `cap_permille` of the test deployment's presets: the most points that a step moves.
const SHIFT_CAP_PERMILLE: u64 = 100;

/// Returns the number of shift steps so far, and how many of the home region's points are
/// assigned to `region`.
fn shift_progress(status: &Value, home: &str, region: &str) -> (u64, u64) {
    let runs = status["layouts"][home]["runs"].as_array().cloned().unwrap_or_default();
    let region_runs = runs.iter().filter(|run| run["region"] == region);
    let points = region_runs.map(|run| run["points"].as_u64().unwrap()).sum();
    (status["shift_step"].as_u64().unwrap(), points)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_regions_callers_are_shifted_away_and_back_under_the_cap() {
    let mut deployment = Deployment::start();
    deployment.wait_all_ready();
    deployment.kill("s1");
    deployment.kill("s2");
    let initial_progress = shift_progress(&deployment.run_json(&["status"]), "south", "north");
    let progress_after_loss = wait_for_shift(&deployment, initial_progress, 1000);
    let mut response = Value::Null;
    while response["region"] != "north" {
        response = deployment.look_up("n1", "10.2.0.1").await.unwrap_or_default();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    deployment.start_instance("s1");
    deployment.start_instance("s2");
    wait_for_shift(&deployment, progress_after_loss, 0);
}

/// Waits until `goal` points of `south` are assigned to `north`, and checks that no step moved more
/// than the cap. Returns the progress at that time.
fn wait_for_shift(deployment: &Deployment, mut previous: (u64, u64), goal: u64) -> (u64, u64) {
    deployment.wait_for(&format!("{goal} points of south to be assigned to north"), || {
        let current = shift_progress(&deployment.run_json(&["status"]), "south", "north");
        assert!(
            current.1.abs_diff(previous.1) <= SHIFT_CAP_PERMILLE * (current.0 - previous.0),
            "moved more than the cap: {previous:?} to {current:?}"
        );
        previous = current;
        (current.1 == goal).then_some(current)
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_completes_the_requests_in_flight() {
    let mut deployment = Deployment::start();
    deployment.wait_all_ready();
    for instance in ["s2", "n3"] {
        let base = deployment.callers_url(instance);
        let slow_requests: Vec<_> = (0..4)
            .map(|number| {
                let url = format!("{base}/services/orders/slow-{number}?ms=3000");
                tokio::spawn(deployment.http.get(url).send())
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(700)).await;
        deployment.signal(instance, "TERM");
        deployment.signal(instance, "TERM");
        // Callers that still use an earlier look-up are served while the instance stops.
        let response =
            deployment.http.get(format!("{base}/services/orders/kept?ms=1")).send().await;
        assert_eq!(response.unwrap().status(), 200);
        for request in slow_requests {
            assert_eq!(request.await.unwrap().unwrap().status(), 200);
        }
        assert_eq!(deployment.wait_exit(instance), Some(0));
    }
    deployment.wait_ready(&["n1", "n2", "s1"]);
    let response = deployment.look_up("n1", "10.2.0.1").await.unwrap();
    assert_eq!(response["instances"].as_array().unwrap().len(), 1);
}

/// Planned stops that cut requests just accepted: what an upstream ran has to be answered, also on
/// connections that were opened during the stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_answers_every_request_that_an_upstream_ran() {
    let mut deployment = Deployment::start();
    deployment.wait_all_ready();
    for instance in ["s2", "n3"] {
        let callers: Vec<_> = (0..8)
            .map(|caller| {
                let base = deployment.callers_url(instance);
                let keeps_connections = caller % 2 == 0;
                tokio::spawn(send_until_gone(
                    base,
                    format!("{instance}-{caller}"),
                    keeps_connections,
                ))
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(700)).await;
        deployment.signal(instance, "TERM");
        let mut answers = BTreeMap::new();
        for caller in callers {
            answers.extend(caller.await.unwrap());
        }
        assert_eq!(deployment.wait_exit(instance), Some(0));
        let lines = deployment.record_lines();
        let run_paths: BTreeSet<&str> = lines
            .iter()
            .filter_map(|line| line.strip_prefix("run\t")?.rsplit(['\t', '/']).next())
            .collect();
        let has_run = |path: &String| run_paths.contains(path.as_str());
        assert!(answers.iter().any(|(path, is_answered)| *is_answered && has_run(path)));
        let is_cut = |(path, is_answered): &(&String, &bool)| !**is_answered && has_run(path);
        let cut: Vec<&String> = answers.iter().filter(is_cut).map(|(path, _)| path).collect();
        assert_eq!(cut, Vec::<&String>::new(), "{instance}");
    }
}

/// Sends requests one after another until the instance takes no more connections. Returns whether
/// each path got an answer.
async fn send_until_gone(
    base: String,
    caller: String,
    keeps_connections: bool,
) -> BTreeMap<String, bool> {
    let idle_max = if keeps_connections { 1 } else { 0 };
    let http =
        reqwest::Client::builder().no_proxy().pool_max_idle_per_host(idle_max).build().unwrap();
    let mut answers = BTreeMap::new();
    for number in 0.. {
        let path = format!("late-{caller}-{number}");
        let result = http.get(format!("{base}/services/orders/{path}?ms=30")).send().await;
        if result.as_ref().is_err_and(reqwest::Error::is_connect) {
            break;
        }
        answers.insert(path, result.is_ok());
    }
    answers
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_finishes_its_requests_and_gets_no_new_ones() {
    let deployment = Deployment::start();
    deployment.wait_all_ready();
    let base = deployment.callers_url("n1");
    // Every upstream is busy when it is drained or listed as leaving.
    let slow_requests: Vec<_> = (0..12)
        .map(|number| {
            let index = number % deployment.instances.len();
            let base = deployment.callers_url(&deployment.instances[index]);
            let url = format!("{base}/services/orders/slow-{number}?ms=3000");
            tokio::spawn(deployment.http.get(url).send())
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    deployment.run_json(&["upstream", "drain", "u1", "--wait", "--change-id", "drain-u1"]);
    deployment.write_platform_list(r#"{"instances": [{"name": "u2", "state": "leaving"}]}"#);
    for request in slow_requests {
        assert_eq!(request.await.unwrap().unwrap().status(), 200);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let runs_of = |upstream: &str| {
        let lines = deployment.record_lines();
        lines.iter().filter(|line| line.starts_with(&format!("run\t{upstream}\t"))).count()
    };
    let runs_before = (runs_of("u1"), runs_of("u2"));
    for number in 0..40 {
        let url = format!("{base}/services/orders/after-{number}?ms=5");
        assert_eq!(deployment.http.get(url).send().await.unwrap().status(), 200);
    }
    assert_eq!((runs_of("u1"), runs_of("u2")), runs_before);
    deployment.run_json(&["upstream", "restore", "u1", "--wait", "--change-id", "restore-u1"]);
    deployment.wait_for("the restored upstream to run a request", || {
        let url = format!("{base}/services/orders/again?ms=5");
        let http = deployment.http.clone();
        tokio::spawn(async move { http.get(url).send().await });
        (runs_of("u1") > runs_before.0).then_some(())
    });
}
