//! Runs control replicas through kills and lost disks, and reads back what was acknowledged.

use std::{thread, time::Instant};

use serde_json::json;

use super::{
    evacuations::REPLICAS,
    fleet::{Fleet, WAIT_TIMEOUT},
    large_configurations::configuration_of,
};

/// Some 20 kB each, so that these versions are more than a log may take before a snapshot
/// replaces it.
const ROUTES: u32 = 100;
const VERSIONS: u32 = 240;
/// How often a replica is killed while it takes the snapshot over.
const KILLS: usize = 3;

/// Kills a replica as soon as its data folder holds a snapshot.
fn kill_at_snapshot(fleet: &mut Fleet, replica: &str) {
    let (snapshot, started_at) = (fleet.data_folder(replica).join("snapshot"), Instant::now());
    while !snapshot.exists() {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "{replica} took no snapshot over");
        thread::yield_now();
    }
    fleet.kill(replica);
}

/// A replica that was killed while it took a snapshot over dropped, at its next start, what it had
/// made durable since: acknowledged configurations and evacuations were lost (review/6).
#[tokio::test(flavor = "multi_thread")]
async fn orders_acknowledged_after_a_kill_during_a_snapshot_survive_a_kill_of_all_processes() {
    let mut fleet = Fleet::new(11);
    fleet.launch(vec![json!({"id": "i-damaged"})], &REPLICAS);
    for version in 1..=VERSIONS {
        let body = configuration_of(version, ROUTES);
        fleet.put_configuration(&format!("r{version}"), &body).await;
    }
    fleet.order(&REPLICAS, "POST").await;
    for _ in 0..KILLS {
        fleet.kill("c2");
        fleet.lose_disk("c2");
        fleet.start_process("c2", false);
        kill_at_snapshot(&mut fleet, "c2");
        fleet.start_process("c2", false);
    }
    // At its first start, and after the last kill.
    fleet.wait_for_log("c2", "replica is now a voter", 2).await;
    fleet.wait_evacuated(1).await;

    fleet.kill("c3");
    let last_version = format!("r{}", VERSIONS + 1);
    fleet.put_configuration(&last_version, &configuration_of(VERSIONS + 1, ROUTES)).await;
    // The end of an evacuation and one that follows it are orders of their own.
    for method in ["DELETE", "POST", "DELETE"] {
        fleet.order(&REPLICAS[..2], method).await;
    }
    ["c1", "c2"].iter().for_each(|replica| fleet.kill(replica));
    fleet.lose_disk("c1");
    REPLICAS.iter().for_each(|replica| fleet.start_process(replica, false));
    for replica in REPLICAS {
        let url = format!("http://{}:8146/api/config", fleet.ip(replica));
        fleet.wait_for(&url, 200, &format!("\"{last_version}\"")).await;
    }
    fleet.wait_evacuated(0).await;
}
