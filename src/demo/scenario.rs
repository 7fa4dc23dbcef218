//! What the demo does, in order.

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
    load::{Caller, Tally},
};
use crate::{
    core::control::UpstreamName,
    net::wire::{Presets, Status},
    runtime::ChangeAnswer,
    settings::Settings,
};

const CALLERS: u32 = 24;
const LOAD_TIME: Duration = Duration::from_secs(10);
const READY_WITHIN: Duration = Duration::from_secs(20);
/// Changes must be in force everywhere within this time.
const IN_FORCE_TARGET: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(20);

/// Runs the demo on a deployment.
///
/// # Errors
///
/// Returns an error when the deployment can't be started or does not answer.
pub async fn run(settings: Settings) -> eyre::Result<Report> {
    let begun = Instant::now();
    let mut deployment = Deployment::start(settings).await?;
    let http = reqwest::Client::builder().no_proxy().build()?;
    let demo =
        Scenario { http, token: deployment.token.clone(), settings: deployment.settings.clone() };
    demo.wait_ready().await?;
    let mut report = Report::default();
    report.seconds("from start to ready", begun.elapsed());
    let tally = Arc::new(Mutex::new(Tally::new()?));
    let callers = demo.start_callers(&tally);
    demo.change_preset(&mut report).await?;
    demo.drain(&deployment, &mut report).await?;
    demo.resend_booking(&deployment, &mut report).await?;
    for caller in callers {
        caller.await.wrap_err("a caller failed")?;
    }
    let begun = Instant::now();
    let planned = deployment.stop().await;
    report.seconds("planned stop of all instances", begun.elapsed());
    report.promise("every instance stopped as planned", planned);
    conclude(&deployment, &tally, &mut report);
    Ok(report)
}

struct Scenario {
    http: reqwest::Client,
    token: String,
    settings: Arc<Settings>,
}

impl Scenario {
    async fn wait_ready(&self) -> eyre::Result<()> {
        let until = Instant::now() + READY_WITHIN;
        let expected = self.settings.instances.len();
        while Instant::now() < until {
            if let Ok(status) = self.get::<Status>("/v1/status").await {
                let owned = status.owners.values().filter(|held| held.owner.is_some()).count();
                let live = status.instances.len();
                let all = self.settings.topology.upstreams().count();
                if status.in_force_everywhere
                    && live == expected
                    && owned == all
                    && status.key_epoch > 0
                {
                    return Ok(());
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        bail!("the deployment did not become ready within {READY_WITHIN:?}")
    }

    fn start_callers(&self, tally: &Arc<Mutex<Tally>>) -> Vec<tokio::task::JoinHandle<()>> {
        let until = Instant::now() + LOAD_TIME;
        (0..CALLERS)
            .map(|number| {
                let caller = Caller {
                    number,
                    settings: self.settings.clone(),
                    http: self.http.clone(),
                    tally: tally.clone(),
                };
                tokio::spawn(caller.run(until))
            })
            .collect()
    }

    async fn change_preset(&self, report: &mut Report) -> eyre::Result<()> {
        let presets: Presets = self.get("/v1/presets").await?;
        let other = presets.presets.keys().find(|name| **name != presets.in_force);
        let name = other.ok_or_else(|| eyre!("the settings have one preset only; add another"))?;
        let begun = Instant::now();
        let body = serde_json::json!({ "name": name });
        let path = "/v1/preset-in-force?wait_ms=10000";
        let answer = self.change(Method::PUT, path, Some(body)).await?;
        let took = begun.elapsed();
        report.seconds(&format!("preset `{name}` in force everywhere after"), took);
        let held = answer.in_force_everywhere == Some(true) && took <= IN_FORCE_TARGET;
        report.promise("the preset is in force everywhere within 5 s", held);
        Ok(())
    }

    async fn drain(&self, deployment: &Deployment, report: &mut Report) -> eyre::Result<()> {
        let first = deployment.stand_ins.iter().next();
        let (name, stand_in) = first.ok_or_else(|| eyre!("the settings have no upstream"))?;
        let begun = Instant::now();
        self.change(Method::POST, &format!("/v1/upstreams/{name}/drain?wait_ms=10000"), None)
            .await?;
        report.seconds("upstream drained, in force everywhere after", begun.elapsed());
        tokio::time::sleep(Duration::from_millis(500)).await;
        let before = stand_in.runs();
        tokio::time::sleep(Duration::from_secs(1)).await;
        report.promise("a drained upstream gets no new work", stand_in.runs() == before);
        self.change(Method::POST, &format!("/v1/upstreams/{name}/restore"), None).await?;
        Ok(())
    }

    /// Sends one booking through two instances at once and once more.
    async fn resend_booking(
        &self,
        deployment: &Deployment,
        report: &mut Report,
    ) -> eyre::Result<()> {
        let status: Status = self.get("/v1/status").await?;
        let key = format!("{}-demo-resent", status.key_epoch);
        let mut through = self.settings.instances.keys().cycle();
        let mut next = || through.next().cloned().unwrap_or_default();
        let (first, second, third) = (next(), next(), next());
        let (one, two) = tokio::join!(self.book(&first, &key), self.book(&second, &key));
        let again = self.book(&third, &key).await?;
        let answers: Vec<String> = [one?, two?, again]
            .into_iter()
            .filter(|(status, _)| *status == 200)
            .map(|(_, body)| body)
            .collect();
        let same = !answers.is_empty() && answers.iter().all(|body| *body == answers[0]);
        report.promise("a resent booking gets its first answer", same);
        let runs = runs_by_key(&deployment.stand_ins).get(&key).copied().unwrap_or(0);
        report.promise("a resent booking runs once", runs == 1);
        Ok(())
    }

    async fn book(&self, instance: &str, key: &str) -> eyre::Result<(u16, String)> {
        let service = self.settings.topology.services.keys().next();
        let service = service.ok_or_else(|| eyre!("the settings have no service"))?;
        let address = self.settings.instances[instance].caller_address;
        let answer = self
            .http
            .post(format!("http://{address}/services/{service}/bookings"))
            .header("idempotency-key", key)
            .body("two hundred plates")
            .send()
            .await?;
        Ok((answer.status().as_u16(), answer.text().await?))
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> eyre::Result<T> {
        let answer = self.call(Method::GET, path, None, &[]).await?;
        Ok(answer.error_for_status()?.json().await?)
    }

    async fn change(
        &self,
        method: Method,
        path: &str,
        body: Option<serde_json::Value>,
    ) -> eyre::Result<ChangeAnswer> {
        let presets: Presets = self.get("/v1/presets").await?;
        let headers = [
            ("x-change-id", format!("demo-{:016x}", rand::random::<u64>())),
            ("x-expected-revision", presets.revision.to_string()),
        ];
        let answer = self.call(method, path, body, &headers).await?;
        Ok(answer.error_for_status()?.json().await?)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<serde_json::Value>,
        headers: &[(&str, String)],
    ) -> eyre::Result<reqwest::Response> {
        let first = self.settings.instances.values().next();
        let first = first.ok_or_else(|| eyre!("the settings have no instance"))?;
        let url = format!("http://{}{path}", first.operator_address);
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

fn runs_by_key(stand_ins: &BTreeMap<UpstreamName, super::StandIn>) -> BTreeMap<String, u32> {
    let mut runs = BTreeMap::new();
    for (key, count) in stand_ins.values().flat_map(super::StandIn::runs_by_key) {
        *runs.entry(key).or_insert(0) += count;
    }
    runs
}

fn conclude(deployment: &Deployment, tally: &Mutex<Tally>, report: &mut Report) {
    let tally = tally.lock().unwrap_or_else(|error| error.into_inner());
    let millis = |us: u64| format!("{:.1} ms", us as f64 / 1000.0);
    report.figure("requests answered", tally.answered);
    report.figure("requests refused as not run", tally.not_run);
    report.figure("requests with an unknown outcome", tally.unknown);
    report.figure("request latency p50", millis(tally.latency_us.value_at_quantile(0.50)));
    report.figure("request latency p99", millis(tally.latency_us.value_at_quantile(0.99)));
    report.figure("look-up latency p50", millis(tally.look_up_us.value_at_quantile(0.50)));
    report.figure("look-up latency p99", millis(tally.look_up_us.value_at_quantile(0.99)));
    let runs = runs_by_key(&deployment.stand_ins);
    let twice = runs.values().filter(|count| **count > 1).count();
    report.figure("bookings run twice", twice);
    report.promise("no booking runs twice", twice == 0);
    let false_refusals = tally.not_run_keys.iter().filter(|key| runs.contains_key(*key)).count();
    report.promise("\"not run\" is true", false_refusals == 0);
    report.promise("each caller gets its own answer", tally.foreign_answers == 0);
    let within = deployment.stand_ins.values().all(|s| s.most_running() <= s.slots());
    report.promise("no upstream is sent more than its slots", within);
    report.promise("requests were answered", tally.answered > 0);
}
