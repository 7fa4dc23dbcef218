//! Defines the steps of the demo and the checks of their results.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use eyre::{WrapErr, bail, eyre};
use reqwest::Method;
use serde::de::DeserializeOwned;

use super::{
    Report,
    deployment::Deployment,
    load::{Caller, LoadStats},
};
use crate::{
    core::control::UpstreamName,
    net::wire::{ControlStatus, Presets},
    runtime::ChangeResponse,
    settings::Settings,
};

const CALLERS: u32 = 24;
const LOAD_DURATION: Duration = Duration::from_secs(10);
/// How long the deployment may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// The maximum time until a change of the preset is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts a deployment with the given settings, runs the demo on it and stops it.
///
/// # Errors
///
/// Returns an error when the deployment can't be started, is not ready in time or
/// does not respond, or when the settings have only one preset, no upstream, no
/// service or no instance.
pub async fn run(settings: Settings) -> eyre::Result<Report> {
    let started_at = Instant::now();
    let mut deployment = Deployment::start(settings).await?;
    let http = reqwest::Client::builder().no_proxy().build()?;
    let scenario =
        Scenario { http, token: deployment.token.clone(), settings: deployment.settings.clone() };
    scenario.wait_ready().await?;
    let mut report = Report::default();
    report.record_duration("from start to ready", started_at.elapsed());
    let stats = Arc::new(Mutex::new(LoadStats::new()?));
    let callers = scenario.start_callers(&stats);
    scenario.change_preset(&mut report).await?;
    scenario.check_drain(&deployment, &mut report).await?;
    scenario.resend_booking(&deployment, &mut report).await?;
    for caller in callers {
        caller.await.wrap_err("a caller task of the demo failed")?;
    }
    let started_at = Instant::now();
    let all_planned = deployment.stop().await;
    report.record_duration("planned stop of all instances", started_at.elapsed());
    report.record_check("every instance stopped as planned", all_planned);
    record_results(&deployment, &stats, &mut report);
    Ok(report)
}

/// Represents the operator and the clients that run the demo's steps.
struct Scenario {
    http: reqwest::Client,
    token: String,
    settings: Arc<Settings>,
}

impl Scenario {
    /// Waits until all instances are known and use the current version of the policy,
    /// every upstream has an owner, and keys are issued.
    async fn wait_ready(&self) -> eyre::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let expected_count = self.settings.instances.len();
        while Instant::now() < deadline {
            if let Ok(status) = self.get::<ControlStatus>("/v1/status").await {
                let owned_count =
                    status.owners.values().filter(|ownership| ownership.owner.is_some()).count();
                let live_count = status.instances.len();
                let upstream_count = self.settings.topology.upstreams().count();
                if status.in_force_everywhere
                    && live_count == expected_count
                    && owned_count == upstream_count
                    && status.key_epoch > 0
                {
                    return Ok(());
                }
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        bail!("the deployment did not become ready within {READY_TIMEOUT:?}")
    }

    fn start_callers(&self, stats: &Arc<Mutex<LoadStats>>) -> Vec<tokio::task::JoinHandle<()>> {
        let deadline = Instant::now() + LOAD_DURATION;
        (0..CALLERS)
            .map(|number| {
                let caller = Caller {
                    number,
                    settings: self.settings.clone(),
                    http: self.http.clone(),
                    stats: stats.clone(),
                };
                tokio::spawn(caller.run(deadline))
            })
            .collect()
    }

    /// Puts another preset in force and waits until it is in force everywhere.
    async fn change_preset(&self, report: &mut Report) -> eyre::Result<()> {
        let presets: Presets = self.get("/v1/presets").await?;
        let other_preset = presets.presets.keys().find(|name| **name != presets.in_force);
        let name =
            other_preset.ok_or_else(|| eyre!("the settings have one preset only; add another"))?;
        let started_at = Instant::now();
        let body = serde_json::json!({ "name": name });
        let path = "/v1/preset-in-force?wait_ms=10000";
        let response = self.change(Method::PUT, path, Some(body)).await?;
        let elapsed = started_at.elapsed();
        report.record_duration(&format!("preset `{name}` in force everywhere after"), elapsed);
        let is_in_time = response.in_force_everywhere == Some(true) && elapsed <= IN_FORCE_LIMIT;
        report.record_check("the preset is in force everywhere within 5 s", is_in_time);
        Ok(())
    }

    /// Drains an upstream, checks that it gets no new requests, and restores it.
    async fn check_drain(&self, deployment: &Deployment, report: &mut Report) -> eyre::Result<()> {
        let first_upstream = deployment.upstreams.iter().next();
        let (name, upstream) =
            first_upstream.ok_or_else(|| eyre!("the settings have no upstream"))?;
        let started_at = Instant::now();
        self.change(Method::POST, &format!("/v1/upstreams/{name}/drain?wait_ms=10000"), None)
            .await?;
        report.record_duration("upstream drained, in force everywhere after", started_at.elapsed());
        tokio::time::sleep(Duration::from_millis(500)).await;
        let runs_before = upstream.runs();
        tokio::time::sleep(Duration::from_secs(1)).await;
        report.record_check("a drained upstream gets no new work", upstream.runs() == runs_before);
        self.change(Method::POST, &format!("/v1/upstreams/{name}/restore"), None).await?;
        Ok(())
    }

    /// Sends the same booking through two instances at the same time, and then once
    /// more through a third one.
    async fn resend_booking(
        &self,
        deployment: &Deployment,
        report: &mut Report,
    ) -> eyre::Result<()> {
        let status: ControlStatus = self.get("/v1/status").await?;
        let key = format!("{}-demo-resent", status.key_epoch);
        let mut instances = self.settings.instances.keys().cycle();
        let mut next_instance = || instances.next().cloned().unwrap_or_default();
        let (first_instance, second_instance, third_instance) =
            (next_instance(), next_instance(), next_instance());
        let (first_result, second_result) = tokio::join!(
            self.send_booking(&first_instance, &key),
            self.send_booking(&second_instance, &key)
        );
        let third_response = self.send_booking(&third_instance, &key).await?;
        let bodies: Vec<String> = [first_result?, second_result?, third_response]
            .into_iter()
            .filter(|(status, _)| *status == 200)
            .map(|(_, body)| body)
            .collect();
        let all_equal = !bodies.is_empty() && bodies.iter().all(|body| *body == bodies[0]);
        report.record_check("a resent booking gets its first answer", all_equal);
        let runs = runs_by_key(&deployment.upstreams).get(&key).copied().unwrap_or(0);
        report.record_check("a resent booking runs once", runs == 1);
        Ok(())
    }

    async fn send_booking(&self, instance: &str, key: &str) -> eyre::Result<(u16, String)> {
        let service = self.settings.topology.services.keys().next();
        let service = service.ok_or_else(|| eyre!("the settings have no service"))?;
        let address = self.settings.instances[instance].caller_address;
        let response = self
            .http
            .post(format!("http://{address}/services/{service}/bookings"))
            .header("idempotency-key", key)
            .body("two hundred plates")
            .send()
            .await?;
        Ok((response.status().as_u16(), response.text().await?))
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> eyre::Result<T> {
        let response = self.send(Method::GET, path, None, &[]).await?;
        Ok(response.error_for_status()?.json().await?)
    }

    /// Makes a change on the current revision, as an operator.
    async fn change(
        &self,
        method: Method,
        path: &str,
        body: Option<serde_json::Value>,
    ) -> eyre::Result<ChangeResponse> {
        let presets: Presets = self.get("/v1/presets").await?;
        let headers = [
            ("x-change-id", format!("demo-{:016x}", rand::random::<u64>())),
            ("x-expected-revision", presets.revision.to_string()),
        ];
        let response = self.send(method, path, body, &headers).await?;
        Ok(response.error_for_status()?.json().await?)
    }

    /// Sends a request to the administration API of the first instance.
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<serde_json::Value>,
        headers: &[(&str, String)],
    ) -> eyre::Result<reqwest::Response> {
        let first_instance = self.settings.instances.values().next();
        let first_instance =
            first_instance.ok_or_else(|| eyre!("the settings have no instance"))?;
        let url = format!("http://{}{path}", first_instance.operator_address);
        let mut request = self.http.request(method, url).bearer_auth(&self.token);
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        if let Some(body) = body {
            request = request.json(&body);
        }
        Ok(request.send().await?)
    }
}

/// Returns how often each idempotency key ran, summed over all upstreams.
fn runs_by_key(upstreams: &BTreeMap<UpstreamName, super::StubUpstream>) -> BTreeMap<String, u32> {
    let mut runs = BTreeMap::new();
    for (key, count) in upstreams.values().flat_map(super::StubUpstream::runs_by_key) {
        *runs.entry(key).or_insert(0) += count;
    }
    runs
}

/// Records the results of the callers and the upstreams after the load has ended.
fn record_results(deployment: &Deployment, stats: &Mutex<LoadStats>, report: &mut Report) {
    let stats = stats.lock().unwrap_or_else(|error| error.into_inner());
    let millis = |us: u64| format!("{:.1} ms", us as f64 / 1000.0);
    report.record_measurement("requests answered", stats.answered);
    report.record_measurement("requests refused as not run", stats.not_run);
    report.record_measurement("requests with an unknown outcome", stats.unknown);
    report.record_measurement(
        "request latency p50",
        millis(stats.latency_us.value_at_quantile(0.50)),
    );
    report.record_measurement(
        "request latency p99",
        millis(stats.latency_us.value_at_quantile(0.99)),
    );
    report.record_measurement(
        "look-up latency p50",
        millis(stats.look_up_us.value_at_quantile(0.50)),
    );
    report.record_measurement(
        "look-up latency p99",
        millis(stats.look_up_us.value_at_quantile(0.99)),
    );
    let runs = runs_by_key(&deployment.upstreams);
    let repeated_count = runs.values().filter(|count| **count > 1).count();
    report.record_measurement("bookings run twice", repeated_count);
    report.record_check("no booking runs twice", repeated_count == 0);
    let false_refusals = stats.not_run_keys.iter().filter(|key| runs.contains_key(*key)).count();
    report.record_check("\"not run\" is true", false_refusals == 0);
    report.record_check("each caller gets its own answer", stats.mismatched_responses == 0);
    let within_slots = deployment.upstreams.values().all(|stub| stub.max_running() <= stub.slots());
    report.record_check("no upstream is sent more than its slots", within_slots);
    report.record_check("requests were answered", stats.answered > 0);
}
