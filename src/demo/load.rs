//! Sends requests as callers do: they look up, keep the answer, and ask the
//! next instance when one does not answer.

use std::{
    net::{IpAddr, Ipv4Addr},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use reqwest::StatusCode;
use serde::Deserialize;

use crate::{
    core::control::ServiceName,
    runtime::{LookUpAnswer, OfferedInstance},
    settings::Settings,
};

/// Counts what callers saw.
#[derive(Debug)]
pub(super) struct Tally {
    pub(super) latency_us: Histogram<u64>,
    pub(super) look_up_us: Histogram<u64>,
    pub(super) answered: u64,
    pub(super) not_run: u64,
    pub(super) unknown: u64,
    pub(super) foreign_answers: u64,
    /// The keys of bookings that were refused as not run and not sent again.
    pub(super) not_run_keys: Vec<String>,
}

/// Sends requests until it is told to stop.
#[derive(Clone)]
pub(super) struct Caller {
    pub(super) number: u32,
    pub(super) settings: Arc<Settings>,
    pub(super) http: reqwest::Client,
    pub(super) tally: Arc<Mutex<Tally>>,
}

#[derive(Deserialize)]
struct Echo {
    path: String,
    key: String,
}

#[derive(Deserialize)]
struct ProblemBody {
    outcome: String,
}

const TIMEOUT: Duration = Duration::from_secs(15);
const PAUSE: Duration = Duration::from_millis(5);
/// The largest latency that is told apart.
const LATENCY_MAX_US: u64 = 60_000_000;
const LATENCY_DIGITS: u8 = 3;
/// Every so many requests one is a booking.
const BOOKING_EVERY: u64 = 10;

impl Tally {
    pub(super) fn new() -> eyre::Result<Self> {
        let histogram = || Histogram::new_with_bounds(1, LATENCY_MAX_US, LATENCY_DIGITS);
        Ok(Self {
            latency_us: histogram()?,
            look_up_us: histogram()?,
            answered: 0,
            not_run: 0,
            unknown: 0,
            foreign_answers: 0,
            not_run_keys: Vec::new(),
        })
    }
}

impl Caller {
    pub(super) async fn run(self, until: Instant) {
        let services: Vec<ServiceName> = self.settings.topology.services.keys().cloned().collect();
        let mut kept: Option<(LookUpAnswer, Instant)> = None;
        let mut count = 0;
        while Instant::now() < until {
            count += 1;
            if kept.as_ref().is_none_or(|(_, expires)| Instant::now() >= *expires) {
                kept = self.look_up().await;
            }
            if let Some((answer, _)) = &kept {
                let service = &services[count as usize % services.len()];
                self.ask(answer, service, count).await;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn look_up(&self) -> Option<(LookUpAnswer, Instant)> {
        let client = self.address();
        for instance in self.settings.instances.values() {
            let begun = Instant::now();
            let url = format!("http://{}/lookup?client={client}", instance.caller_address);
            let answer = self.http.get(url).timeout(TIMEOUT).send().await;
            let Ok(answer) = answer.and_then(reqwest::Response::error_for_status) else { continue };
            let Ok(answer) = answer.json::<LookUpAnswer>().await else { continue };
            self.with(|tally| tally.look_up_us.record(micros(begun)).unwrap_or_default());
            let expires = Instant::now() + Duration::from_millis(answer.ttl_ms);
            return Some((answer, expires));
        }
        None
    }

    /// Returns an address in one of the settings' blocks.
    fn address(&self) -> IpAddr {
        let blocks: Vec<_> = self.settings.blocks.keys().collect();
        let block = blocks.get(self.number as usize % blocks.len().max(1));
        match block.map(|block| block.network()) {
            Some(IpAddr::V4(network)) => {
                IpAddr::V4(Ipv4Addr::from(u32::from(network) + self.number + 1))
            }
            Some(network) => network,
            None => IpAddr::V4(Ipv4Addr::LOCALHOST),
        }
    }

    async fn ask(&self, look_up: &LookUpAnswer, service: &str, count: u64) {
        let token = format!("caller-{}-{count}", self.number);
        let booking = count.is_multiple_of(BOOKING_EVERY);
        let key = format!("{}-{token}", look_up.key_epoch);
        let begun = Instant::now();
        for instance in &look_up.instances {
            match self.send(instance, service, &token, booking.then_some(&key)).await {
                Seen::Answered(echo) => {
                    let own = echo.path == format!("/{token}") && (!booking || echo.key == key);
                    self.with(|tally| {
                        tally.latency_us.record(micros(begun)).unwrap_or_default();
                        tally.answered += 1;
                        tally.foreign_answers += u64::from(!own);
                    });
                    return;
                }
                Seen::NotRun => {}
                Seen::Unknown => return self.with(|tally| tally.unknown += 1),
                Seen::Unreachable => {}
            }
        }
        self.with(|tally| {
            tally.not_run += 1;
            tally.not_run_keys.extend(booking.then_some(key));
        });
    }

    async fn send(
        &self,
        instance: &OfferedInstance,
        service: &str,
        token: &str,
        key: Option<&String>,
    ) -> Seen {
        let url = format!("http://{}/services/{service}/{token}", instance.address);
        let request = match key {
            Some(key) => self.http.post(url).header("idempotency-key", key).body("a booking"),
            None => self.http.get(url),
        };
        let answer = match request.timeout(TIMEOUT).send().await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return Seen::Unreachable,
            Err(_) => return Seen::Unknown,
        };
        if answer.status() == StatusCode::OK {
            return answer.json().await.map_or(Seen::Unknown, Seen::Answered);
        }
        match answer.json::<ProblemBody>().await {
            Ok(problem) if problem.outcome == "not_run" => Seen::NotRun,
            _ => Seen::Unknown,
        }
    }

    fn with<T>(&self, change: impl FnOnce(&mut Tally) -> T) -> T {
        change(&mut self.tally.lock().unwrap_or_else(|error| error.into_inner()))
    }
}

/// Says what a caller saw of one attempt.
enum Seen {
    Answered(Echo),
    NotRun,
    Unknown,
    Unreachable,
}

fn micros(since: Instant) -> u64 {
    (since.elapsed().as_micros() as u64).clamp(1, LATENCY_MAX_US)
}
