//! Tests of the control state under kills, freezes, lost disks and concurrent changes.

use std::{collections::BTreeSet, fs, io::Write};

use serde_json::{Value, json};

use super::deployment::{Deployment, OTHER_TOKEN};

/// An instance's response to a change.
struct ChangeResponse {
    status: u16,
    body: Value,
}

impl Deployment {
    /// Sends a change to one instance, once. Returns `None` if no complete response came.
    async fn change(
        &self,
        instance: &str,
        change_id: &str,
        expected_revision: u64,
        preset: &str,
    ) -> Option<ChangeResponse> {
        self.change_as(
            "token-of-the-first-operator",
            instance,
            change_id,
            expected_revision,
            preset,
        )
        .await
    }

    async fn change_as(
        &self,
        token: &str,
        instance: &str,
        change_id: &str,
        expected_revision: u64,
        preset: &str,
    ) -> Option<ChangeResponse> {
        let url = format!("{}/v1/preset-in-force", self.operators_url(instance));
        let response = self
            .http
            .put(url)
            .bearer_auth(token)
            .header("x-change-id", change_id)
            .header("x-expected-revision", expected_revision)
            .json(&json!({ "name": preset }))
            .send()
            .await
            .ok()?;
        let status = response.status().as_u16();
        Some(ChangeResponse { status, body: response.json().await.ok()? })
    }

    /// Sends a change to the instances in turn, always with the same id, until one knows its
    /// result.
    async fn change_until_known(
        &self,
        change_id: &str,
        expected_revision: u64,
        preset: &str,
    ) -> ChangeResponse {
        for round in 0..400 {
            let instance = &self.instances[round % self.instances.len()];
            match self.change(instance, change_id, expected_revision, preset).await {
                Some(response) if response.status != 503 => return response,
                // Tries the next instance at once when the first does not respond.
                None if round == 0 => {}
                _ => tokio::time::sleep(std::time::Duration::from_millis(100)).await,
            }
        }
        panic!("no instance knew the result of change {change_id}");
    }

    fn replicas(&self) -> Vec<Value> {
        self.run_json(&["status"])["replicas"].as_array().unwrap().clone()
    }

    fn revision(&self) -> u64 {
        self.run_json(&["preset", "list"])["revision"].as_u64().unwrap()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_survive_a_killed_leader_a_lost_disk_and_a_second_loss() {
    let mut deployment = Deployment::start();
    deployment.wait_all_ready();
    let mut revision = deployment.revision();
    let mut accepted_ids = Vec::new();
    let leader = deployment.leader();
    for number in 0..20 {
        if number == 10 {
            deployment.kill(&leader);
        }
        let preset = if number % 2 == 0 { "peak" } else { "ordinary" };
        let response = deployment.change_until_known(&format!("c{number}"), revision, preset).await;
        assert_eq!(response.body["result"], "accepted", "{}", response.body);
        revision += 1;
        assert_eq!(response.body["revision"], revision);
        accepted_ids.push(format!("c{number}"));
    }
    let replicas = deployment.replicas();
    let former_replica =
        replicas.iter().find(|replica| replica["instance"] == *leader).unwrap().clone();
    // The killed replica comes back with an empty disk and becomes a voter under a new id.
    fs::remove_dir_all(deployment.data_folder(&leader)).unwrap();
    deployment.start_instance(&leader);
    deployment.wait_for("three replicas, one of them a new voter", || {
        let replicas = deployment.replicas();
        let replica = replicas.iter().find(|replica| replica["instance"] == *leader)?.clone();
        let is_new_voter = replica["id"] != former_replica["id"] && replica["voter"] == true;
        (replicas.len() == 3 && is_new_voter).then_some(())
    });
    // A second replica is lost with its disk right after the first was replaced.
    let second_replica = ["n1", "n2", "s1"].into_iter().find(|name| *name != leader).unwrap();
    deployment.kill(second_replica);
    fs::remove_dir_all(deployment.data_folder(second_replica)).unwrap();
    let response = deployment.change_until_known("last", revision, "peak").await;
    assert_eq!(response.body["result"], "accepted", "{}", response.body);
    accepted_ids.push("last".to_owned());
    let audit = deployment.run_json(&["audit"]);
    let recorded_ids: Vec<String> = audit
        .as_array()
        .unwrap()
        .iter()
        .map(|record| record["change_id"].as_str().unwrap().to_owned())
        .collect();
    assert_eq!(recorded_ids, accepted_ids);
    // A repeated change gets its original response, also from another leader.
    let repeated_response = deployment.change_until_known("c3", 4, "ordinary").await;
    assert_eq!(repeated_response.body["revision"], 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_frozen_beyond_its_lease_accepts_no_change_and_serves_no_old_revision() {
    let deployment = Deployment::start();
    deployment.wait_all_ready();
    let leader = deployment.leader();
    let revision = deployment.revision();
    deployment.signal(&leader, "STOP");
    let other = deployment.instances.iter().find(|name| **name != leader).unwrap().clone();
    let response = deployment.retry_change(&other, "during", revision).await;
    assert_eq!(response.body["result"], "accepted");
    // Until its lease expires, the frozen instance counts as live and may serve the old revision.
    // `in_force_everywhere` shows that the lease has expired.
    deployment.wait_in_force_everywhere(&other).await;
    deployment.signal(&leader, "CONT");
    // After it resumes, it must not serve the old revision.
    for number in 0..40 {
        if let Some(response) = deployment.look_up(&leader, "10.1.0.1").await {
            assert_eq!(response["revision"], revision + 1, "look-up {number}");
        }
        if let Some(response) = deployment.change(&leader, "stale", revision, "ordinary").await {
            assert_ne!(response.body["result"], "accepted");
        }
    }
    deployment.wait_revision(&leader, revision + 1).await;
}

impl Deployment {
    /// Waits until `instance` reports the policy in force everywhere. Polls only this instance,
    /// since another one is frozen.
    async fn wait_in_force_everywhere(&self, instance: &str) {
        for _ in 0..600 {
            let url = format!("{}/v1/status", self.operators_url(instance));
            let request = self.http.get(url).bearer_auth("token-of-the-first-operator");
            let status: Option<Value> = match request.send().await {
                Ok(response) => response.json().await.ok(),
                Err(_) => None,
            };
            if status.is_some_and(|status| status["in_force_everywhere"] == true) {
                return;
            }
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        }
        panic!("{instance} did not report the change in force everywhere");
    }

    /// Sends a change to one instance until it knows the result.
    async fn retry_change(&self, instance: &str, id: &str, revision: u64) -> ChangeResponse {
        for _ in 0..200 {
            match self.change(instance, id, revision, "peak").await {
                Some(response) if response.status != 503 => return response,
                _ => tokio::time::sleep(std::time::Duration::from_millis(100)).await,
            }
        }
        panic!("{instance} did not answer change {id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_concurrent_changes_is_accepted_and_the_others_name_it() {
    let deployment = Deployment::start();
    deployment.wait_all_ready();
    for round in 0..5 {
        let revision = deployment.revision();
        let (first_id, second_id) = (format!("one-{round}"), format!("two-{round}"));
        let (first, second) = tokio::join!(
            deployment.change("n1", &first_id, revision, "peak"),
            deployment.change_as(OTHER_TOKEN, "s2", &second_id, revision, "ordinary"),
        );
        let (first, second) = (first.unwrap().body, second.unwrap().body);
        let (winner, loser) =
            if first["result"] == "accepted" { (first, second) } else { (second, first) };
        assert_eq!(winner["result"], "accepted");
        assert_eq!(loser["result"], "conflict");
        assert_eq!(loser["winner"], winner["change_id"]);
    }
    let actors: BTreeSet<String> = deployment
        .run_json(&["audit"])
        .as_array()
        .unwrap()
        .iter()
        .map(|record| record["actor"].as_str().unwrap().to_owned())
        .collect();
    assert!(actors.is_subset(&["first", "other"].map(str::to_owned).into()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_500_changes_behind_recovers_from_a_torn_tail_and_refuses_a_damaged_log() {
    let mut deployment = Deployment::start();
    deployment.wait_all_ready();
    let leader = deployment.leader();
    let lagging_instance = ["n1", "n2", "s1"].into_iter().find(|name| *name != leader).unwrap();
    deployment.kill(lagging_instance);
    let log = deployment.data_folder(lagging_instance).join("log");
    let intact_log = fs::read(&log).unwrap();
    let mut file = fs::OpenOptions::new().append(true).open(&log).unwrap();
    // A torn record: its length and one byte of its checksum.
    file.write_all(&[9, 0, 0, 0, 1]).unwrap();
    let mut revision = deployment.revision();
    for number in 0..500 {
        let preset = if number % 2 == 0 { "peak" } else { "ordinary" };
        let response = deployment.change_until_known(&format!("c{number}"), revision, preset).await;
        assert_eq!(response.body["result"], "accepted");
        revision += 1;
    }
    deployment.start_instance(lagging_instance);
    deployment.wait_revision(lagging_instance, revision).await;
    deployment.wait_for("the lagging replica to catch up", || {
        let status = deployment.run_json(&["status"]);
        let commit = status["commit"].as_u64()?;
        let replicas = status["replicas"].as_array()?.clone();
        let replica = replicas.iter().find(|replica| replica["instance"] == lagging_instance)?;
        (replica["matched"].as_u64()? + 5 >= commit).then_some(())
    });
    // Damage in the middle of the log must not be taken for a torn tail.
    deployment.kill(lagging_instance);
    let mut damaged_log = intact_log.clone();
    let middle = damaged_log.len() / 2;
    damaged_log[middle] ^= 0x40;
    fs::write(&log, damaged_log).unwrap();
    deployment.start_instance(lagging_instance);
    assert_eq!(deployment.wait_exit(lagging_instance), Some(2));
    let log_text = deployment.log_text(lagging_instance);
    assert!(log_text.contains("log: damaged at byte"), "{log_text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn unauthorized_and_invalid_requests_are_refused() {
    let deployment = Deployment::start();
    deployment.wait_all_ready();
    let response =
        deployment.change_as("no-such-token-at-all", "n1", "x", 1, "peak").await.unwrap();
    assert_eq!(response.status, 401);
    let response = deployment.change("n1", "y", 1, "no-such-preset").await.unwrap();
    assert_eq!((response.status, response.body["result"].as_str()), (422, Some("rejected")));
    let forward = deployment.forward_url("n1");
    let response = deployment.http.get(format!("{forward}/forward/orders/menus")).send().await;
    assert_eq!(response.unwrap().status(), 401);
    let output = deployment.run_command(&["preset", "use", "peak", "--expected-revision", "99"]);
    assert_eq!(output.status.code(), Some(1));
    let output = deployment.run_command(&["preset", "use", "--no-such-flag"]);
    assert_eq!(output.status.code(), Some(2));
}
