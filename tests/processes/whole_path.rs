//! Tests the path of a request from a caller through the instances to an upstream.

use super::deployment::Deployment;

#[tokio::test(flavor = "multi_thread")]
async fn a_changed_preset_is_served_everywhere_after_its_leader_was_killed() {
    let mut deployment = Deployment::start();
    deployment.wait_all_ready();
    for instance in deployment.instances.clone() {
        let url = format!("{}/services/orders/menus/7?a=b", deployment.callers_url(&instance));
        let response = deployment.http.get(url).send().await.unwrap();
        assert_eq!(response.status(), 200, "{instance}");
        let echo: serde_json::Value = response.json().await.unwrap();
        assert_eq!(echo["path"], "/menus/7");
    }
    let change = deployment.run_json(&["preset", "use", "peak", "--wait"]);
    let revision = change["revision"].as_u64().unwrap();
    let leader = deployment.leader();
    deployment.kill(&leader);
    let remaining_instances: Vec<String> =
        deployment.instances.iter().filter(|name| **name != leader).cloned().collect();
    for instance in &remaining_instances {
        deployment.wait_revision(instance, revision).await;
    }
    let remaining_instances: Vec<&str> = remaining_instances.iter().map(String::as_str).collect();
    deployment.wait_ready(&remaining_instances);
    assert_eq!(deployment.run_json(&["preset", "list"])["in_force"], "peak");
    deployment.start_instance(&leader);
    deployment.wait_revision(&leader, revision).await;
}
