//! Restarts processes while upstreams refuse every request, and checks that the retries of all
//! entry instances together stay within what their settings allow.

use std::{
    collections::BTreeSet,
    convert::Infallible,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};
use serde_json::{Value, json};
use tokio::{task::JoinSet, time::sleep};
use warp::{Filter, http::Response};

use super::fleet::{Fleet, wait_ready};

const CONTROLS: [&str; 3] = ["c1", "c2", "c3"];
const ENTRIES: [&str; 9] = ["e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"];
const UPSTREAMS: usize = 5;
/// The defaults of `retry_ratio`, `retry_slack` and `retry_window_s`.
const RATIO: f64 = 0.2;
const SLACK: f64 = 60.0;
const WINDOW: Duration = Duration::from_secs(10);

/// When callers sent requests, and when retries of them arrived at upstreams.
#[derive(Default)]
struct Record {
    sent_at: Vec<Instant>,
    retried_at: Vec<Instant>,
    arrived: BTreeSet<String>,
}

type Shared = Arc<Mutex<Record>>;

impl Record {
    fn record_arrival(&mut self, id: String) {
        if !self.arrived.insert(id) {
            self.retried_at.push(Instant::now());
        }
    }

    /// Returns the greatest number of retries in a window beyond those that are allowed. The
    /// requests that count are those of the window, of the one before it, or of the one half a
    /// window before it, whichever has most.
    fn excess(&self) -> f64 {
        let count = |times: &[Instant], from: Instant, to: Instant| {
            times.iter().filter(|at| (from..=to).contains(*at)).count()
        };
        let excess_until = |end: &Instant| {
            let start = *end - WINDOW;
            let shifts = [Duration::ZERO, WINDOW / 2, WINDOW];
            let requests =
                shifts.map(|shift| count(&self.sent_at, start - shift, *end - shift)).into_iter();
            let allowed = RATIO * requests.max().unwrap_or(0) as f64 + SLACK;
            count(&self.retried_at, start, *end) as f64 - allowed
        };
        self.retried_at.iter().map(excess_until).fold(f64::MIN, f64::max)
    }
}

/// Returns an upstream that refuses every request, and says that it has not run it.
fn refusing_upstream(
    record: Shared,
) -> impl Filter<Extract = (Response<String>,), Error = Infallible> + Clone {
    let request_id = warp::header::optional::<String>("bulrushspan-request-id");
    let respond = move |id: Option<String>| {
        let response = Response::builder().header("Bulrushspan-Server-Stamp", "stamp");
        let Some(id) = id else { return response.body(String::new()).unwrap() };
        record.lock().unwrap().record_arrival(id.clone());
        let response = response.status(503).header("Bulrushspan-Request-Id", id);
        response.header("Bulrushspan-Not-Run", "1").body(String::new()).unwrap()
    };
    request_id
        .map(respond)
        .recover(|_| async { Ok::<_, Infallible>(Response::new(String::new())) })
        .unify()
}

/// Starts a fleet whose upstreams refuse every request, and waits until it is ready.
async fn start_fleet(number: u32, record: &Shared) -> Fleet {
    let mut fleet = Fleet::new(number);
    let mut list: Vec<Value> = Vec::new();
    for upstream in 0..UPSTREAMS {
        let address = fleet.upstream_address(upstream);
        tokio::spawn(warp::serve(refusing_upstream(record.clone())).run(address));
        list.push(json!({
            "id": format!("i-{upstream}"), "service": "orders", "addr": address, "zone": "a",
            "version": "v1", "slots": 4, "state": "ready", "cold_left_s": 0,
        }));
    }
    let processes: Vec<&str> = CONTROLS.into_iter().chain(ENTRIES).collect();
    fleet.launch(list, &processes);
    fleet.configure("r1", "/book/").await;
    for entry in ENTRIES {
        fleet.wait_ready(entry).await;
    }
    fleet
}

/// Sends one request. Returns whether it was answered.
async fn send(ip: &str, http: &reqwest::Client, id: String, record: &Shared) -> bool {
    record.lock().unwrap().sent_at.push(Instant::now());
    let request = http
        .post(format!("http://{ip}:8144/book/{id}"))
        .header("Host", "shop.example")
        .header("Bulrushspan-Request-Id", id)
        .timeout(Duration::from_secs(3));
    request.send().await.is_ok()
}

/// Sends this many requests to each entry instance as soon as it is ready.
async fn send_to_all(fleet: &Fleet, round: usize, requests: usize, record: &Shared) {
    let mut callers = JoinSet::new();
    for entry in ENTRIES {
        let (ip, http, record) = (fleet.ip(entry), fleet.http.clone(), record.clone());
        callers.spawn(async move {
            wait_ready(&ip, &http).await;
            for number in 0..requests {
                assert!(send(&ip, &http, format!("{round}-{entry}-{number}"), &record).await);
            }
        });
    }
    while let Some(result) = callers.join_next().await {
        result.unwrap();
    }
}

fn assert_within_budget(record: &Shared) {
    let record = record.lock().unwrap();
    let (requests, retries) = (record.sent_at.len(), record.retried_at.len());
    let excess = record.excess();
    assert!(excess <= 0.0, "{excess} too many in a window; {retries} retries of {requests}");
    assert!(retries > 0, "the upstreams' refusals were not retried");
}

/// Guards against each entry instance retrying as if it were the only one: control replicas that
/// have just started know of few instances.
#[tokio::test(flavor = "multi_thread")]
async fn retries_stay_within_the_budget_when_control_starts_after_the_entry_instances() {
    let record = Shared::default();
    let mut fleet = start_fleet(12, &record).await;
    for (round, delay_ms) in [500, 700, 900].into_iter().enumerate() {
        ENTRIES.iter().chain(&CONTROLS).for_each(|name| fleet.kill(name));
        ENTRIES.iter().for_each(|name| fleet.start_process(name, false));
        sleep(Duration::from_millis(delay_ms)).await;
        CONTROLS.iter().for_each(|name| fleet.start_process(name, false));
        send_to_all(&fleet, round, 40, &record).await;
    }
    assert_within_budget(&record);
}

/// Guards against restarts that give entry instances retries again that they have used: processes
/// are killed and started in random order while callers send requests.
#[tokio::test(flavor = "multi_thread")]
async fn retries_stay_within_the_budget_through_restarts_in_random_order() {
    let record = Shared::default();
    let mut fleet = start_fleet(13, &record).await;
    let mut rng = StdRng::seed_from_u64(50);
    for round in 0..8 {
        let mut starts: Vec<(u64, &str)> =
            ENTRIES.iter().map(|entry| (rng.random_range(0..900), *entry)).collect();
        let mut controls = CONTROLS;
        controls.shuffle(&mut rng);
        let killed = &controls[..rng.random_range(0..=CONTROLS.len())];
        starts.extend(killed.iter().map(|control| (rng.random_range(0..900), *control)));
        starts.sort_unstable();
        starts.iter().for_each(|(_, name)| fleet.kill(name));
        let started_at = Instant::now();
        for (start_ms, name) in starts {
            sleep(Duration::from_millis(start_ms).saturating_sub(started_at.elapsed())).await;
            fleet.start_process(name, false);
        }
        send_to_all(&fleet, round, 20, &record).await;
    }
    assert_within_budget(&record);
}
