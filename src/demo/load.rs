//! Sends requests as callers do: they look up the instances to use, cache the
//! response until it expires, and try the next instance when one does not run the
//! request.

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
    runtime::{InstanceAddress, LookUpResponse},
    settings::Settings,
};

/// Counts the results of all callers.
#[derive(Debug)]
pub(super) struct LoadStats {
    pub(super) latency_us: Histogram<u64>,
    pub(super) look_up_us: Histogram<u64>,
    pub(super) answered: u64,
    /// Requests that no instance ran.
    pub(super) not_run: u64,
    /// Requests that may have run, but got no response with status 200.
    pub(super) unknown: u64,
    /// Responses whose path or key is not the one that was sent.
    pub(super) mismatched_responses: u64,
    /// The idempotency keys of bookings that were refused as not run and not sent
    /// again.
    pub(super) not_run_keys: Vec<String>,
}

/// Represents one caller of the demo.
#[derive(Clone)]
pub(super) struct Caller {
    pub(super) number: u32,
    pub(super) settings: Arc<Settings>,
    pub(super) http: reqwest::Client,
    pub(super) stats: Arc<Mutex<LoadStats>>,
}

/// Represents the part of a stub upstream's response that is compared with the request.
#[derive(Deserialize)]
struct Echo {
    path: String,
    key: String,
}

/// Represents the body of an error response.
#[derive(Deserialize)]
struct ProblemBody {
    outcome: String,
}

const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a caller waits between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(5);
/// The largest latency that is recorded. Longer latencies are recorded as this one.
const MAX_LATENCY_US: u64 = 60_000_000;
/// The number of significant digits of a recorded latency.
const LATENCY_DIGITS: u8 = 3;
/// A caller sends one booking per this many requests.
const BOOKING_EVERY: u64 = 10;

impl LoadStats {
    pub(super) fn new() -> eyre::Result<Self> {
        let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
        Ok(Self {
            latency_us: histogram()?,
            look_up_us: histogram()?,
            answered: 0,
            not_run: 0,
            unknown: 0,
            mismatched_responses: 0,
            not_run_keys: Vec::new(),
        })
    }
}

impl Caller {
    /// Sends requests one after the other until `deadline`, to each service in turn.
    pub(super) async fn run(self, deadline: Instant) {
        let services: Vec<ServiceName> = self.settings.topology.services.keys().cloned().collect();
        let mut cached_look_up: Option<(LookUpResponse, Instant)> = None;
        let mut request_number = 0;
        while Instant::now() < deadline {
            request_number += 1;
            if cached_look_up.as_ref().is_none_or(|(_, expires_at)| Instant::now() >= *expires_at) {
                cached_look_up = self.look_up().await;
            }
            if let Some((look_up, _)) = &cached_look_up {
                let service = &services[request_number as usize % services.len()];
                self.send_request(look_up, service, request_number).await;
            }
            tokio::time::sleep(REQUEST_PAUSE).await;
        }
    }

    /// Looks up the instances to use. Returns the response and when it expires, or
    /// `None` if no instance responded with success.
    async fn look_up(&self) -> Option<(LookUpResponse, Instant)> {
        let client = self.address();
        for instance in self.settings.instances.values() {
            let started_at = Instant::now();
            let url = format!("http://{}/lookup?client={client}", instance.caller_address);
            let response = self.http.get(url).timeout(REQUEST_TIMEOUT).send().await;
            let Ok(response) = response.and_then(reqwest::Response::error_for_status) else {
                continue;
            };
            let Ok(look_up) = response.json::<LookUpResponse>().await else { continue };
            self.update_stats(|stats| {
                stats.look_up_us.record(elapsed_us(started_at)).unwrap_or_default()
            });
            let expires_at = Instant::now() + Duration::from_millis(look_up.ttl_ms);
            return Some((look_up, expires_at));
        }
        None
    }

    /// Returns an address of this caller in one of the settings' client blocks.
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

    /// Sends one request, and tries the next instance as long as it is certain that the
    /// request has not run.
    async fn send_request(&self, look_up: &LookUpResponse, service: &str, request_number: u64) {
        let token = format!("caller-{}-{request_number}", self.number);
        let is_booking = request_number.is_multiple_of(BOOKING_EVERY);
        let key = format!("{}-{token}", look_up.key_epoch);
        let started_at = Instant::now();
        for instance in &look_up.instances {
            match self.send_attempt(instance, service, &token, is_booking.then_some(&key)).await {
                SendResult::Answered(echo) => {
                    let is_matching =
                        echo.path == format!("/{token}") && (!is_booking || echo.key == key);
                    self.update_stats(|stats| {
                        stats.latency_us.record(elapsed_us(started_at)).unwrap_or_default();
                        stats.answered += 1;
                        stats.mismatched_responses += u64::from(!is_matching);
                    });
                    return;
                }
                SendResult::NotRun => {}
                SendResult::Unknown => return self.update_stats(|stats| stats.unknown += 1),
                SendResult::Unreachable => {}
            }
        }
        self.update_stats(|stats| {
            stats.not_run += 1;
            stats.not_run_keys.extend(is_booking.then_some(key));
        });
    }

    async fn send_attempt(
        &self,
        instance: &InstanceAddress,
        service: &str,
        token: &str,
        key: Option<&String>,
    ) -> SendResult {
        let url = format!("http://{}/services/{service}/{token}", instance.address);
        let request = match key {
            Some(key) => self.http.post(url).header("idempotency-key", key).body("a booking"),
            None => self.http.get(url),
        };
        let response = match request.timeout(REQUEST_TIMEOUT).send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return SendResult::Unreachable,
            Err(_) => return SendResult::Unknown,
        };
        if response.status() == StatusCode::OK {
            return response.json().await.map_or(SendResult::Unknown, SendResult::Answered);
        }
        match response.json::<ProblemBody>().await {
            Ok(problem) if problem.outcome == "not_run" => SendResult::NotRun,
            _ => SendResult::Unknown,
        }
    }

    fn update_stats<T>(&self, update: impl FnOnce(&mut LoadStats) -> T) -> T {
        update(&mut self.stats.lock().unwrap_or_else(|error| error.into_inner()))
    }
}

/// Represents the result of sending a request to one instance, as the caller knows it.
enum SendResult {
    Answered(Echo),
    NotRun,
    /// The request may have run.
    Unknown,
    /// The connection failed, so the request did not run.
    Unreachable,
}

fn elapsed_us(started_at: Instant) -> u64 {
    (started_at.elapsed().as_micros() as u64).clamp(1, MAX_LATENCY_US)
}
