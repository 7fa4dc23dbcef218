//! Sends more requests than a cold upstream bears to all entry instances, and checks that the
//! instances together keep its limit.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::json;
use tokio::{task::JoinSet, time::sleep};
use warp::{Filter, http::Response};

use super::fleet::{Fleet, wait_ready};

const CONTROLS: [&str; 3] = ["c1", "c2", "c3"];
const ENTRIES: [&str; 9] = ["e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"];
/// The fleet's `cold_per_s` times the default of `cold_factor`, and the default of `cold_slack`.
const LIMIT_PER_S: f64 = 5.0 * 1.5 + 5.0;
const SECOND: Duration = Duration::from_secs(1);
/// The time between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// When callers sent requests, and when those that reached the upstream arrived.
#[derive(Default)]
struct Record {
    sent_at: BTreeMap<String, Instant>,
    arrivals: Vec<(Instant, Instant)>,
}

type Shared = Arc<Mutex<Record>>;

impl Record {
    fn record_arrival(&mut self, id: &str) {
        if let Some(sent_at) = self.sent_at.get(id) {
            self.arrivals.push((*sent_at, Instant::now()));
        }
    }

    /// Returns the greatest number of requests that were sent and arrived inside one second.
    fn most_in_a_second(&self) -> usize {
        let count_from = |start: &Instant| {
            let end = *start + SECOND;
            self.arrivals.iter().filter(|(sent, arrived)| sent >= start && *arrived < end).count()
        };
        self.arrivals.iter().map(|(sent_at, _)| count_from(sent_at)).max().unwrap_or_default()
    }
}

/// Returns an upstream that records the requests of callers.
fn upstream(
    record: Shared,
) -> impl Filter<Extract = (Response<String>,), Error = Infallible> + Clone {
    let request_id = warp::header::optional::<String>("bulrushspan-request-id");
    let respond = move |id: Option<String>| {
        let response = Response::builder().header("Bulrushspan-Server-Stamp", "stamp");
        let Some(id) = id else { return response.body(String::new()).unwrap() };
        record.lock().unwrap().record_arrival(&id);
        response.header("Bulrushspan-Request-Id", id).body(String::new()).unwrap()
    };
    request_id
        .map(respond)
        .recover(|_| async { Ok::<_, Infallible>(Response::new(String::new())) })
        .unify()
}

/// Starts a fleet whose only upstream stays cold, and waits until it is ready.
async fn start_fleet(number: u32, record: &Shared) -> Fleet {
    let mut fleet = Fleet::new(number);
    let address = fleet.upstream_address(0);
    tokio::spawn(warp::serve(upstream(record.clone())).run(address));
    let list = vec![json!({
        "id": "i-0", "service": "orders", "addr": address, "zone": "a",
        "version": "v1", "slots": 100, "state": "ready", "cold_left_s": 60,
    })];
    let processes: Vec<&str> = CONTROLS.into_iter().chain(ENTRIES).collect();
    fleet.launch(list, &processes);
    fleet.configure("r1", "/book/").await;
    for entry in ENTRIES {
        fleet.wait_ready(entry).await;
    }
    fleet
}

/// Sends requests to all entry instances at regular intervals for this long.
fn send_to_all(fleet: &Fleet, time: Duration, record: &Shared) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    let ends_at = Instant::now() + time;
    for entry in ENTRIES {
        let (ip, http, record) = (fleet.ip(entry), fleet.http.clone(), record.clone());
        callers.spawn(async move {
            for number in 0.. {
                if Instant::now() >= ends_at {
                    return;
                }
                let id = format!("{entry}-{number}");
                record.lock().unwrap().sent_at.insert(id.clone(), Instant::now());
                let request = http
                    .post(format!("http://{ip}:8144/book/{id}"))
                    .header("Host", "shop.example")
                    .header("Bulrushspan-Request-Id", id)
                    .timeout(SECOND);
                if request.send().await.is_err() {
                    wait_ready(&ip, &http).await;
                }
                sleep(REQUEST_INTERVAL).await;
            }
        });
    }
    callers
}

fn assert_within_limit(record: &Shared) {
    let record = record.lock().unwrap();
    let (sent, arrived) = (record.sent_at.len(), record.arrivals.len());
    let most = record.most_in_a_second();
    assert!(most as f64 <= LIMIT_PER_S, "{most} in one second; {arrived} of {sent} arrived");
    assert!(arrived as f64 > LIMIT_PER_S, "the cold upstream got only {arrived} of {sent}");
}

/// Guards against a cold upstream flooded by the first requests of all entry instances: each sent
/// one at once, and its next ones at the intervals of its share.
#[tokio::test(flavor = "multi_thread")]
async fn all_entry_instances_together_keep_the_limit_of_a_cold_upstream() {
    let record = Shared::default();
    let fleet = start_fleet(19, &record).await;
    send_to_all(&fleet, Duration::from_secs(4), &record).join_all().await;
    assert_within_limit(&record);
}

/// Guards against a cold upstream flooded through restarts: an entry instance doesn't know what it
/// sent before.
#[tokio::test(flavor = "multi_thread")]
async fn a_cold_upstream_keeps_its_limit_while_entry_instances_restart() {
    let record = Shared::default();
    let mut fleet = start_fleet(18, &record).await;
    let callers = send_to_all(&fleet, Duration::from_secs(12), &record);
    let mut rng = StdRng::seed_from_u64(52);
    for _ in 0..8 {
        for entry in ENTRIES {
            if rng.random_bool(0.6) {
                fleet.kill(entry);
                fleet.start_process(entry, false);
            }
        }
        sleep(Duration::from_millis(rng.random_range(700..1800))).await;
    }
    callers.join_all().await;
    assert_within_limit(&record);
}
