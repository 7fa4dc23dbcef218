//! Entry processes that have started anew are sent every change of the day instead of the
//! configuration. Once these are together larger than the reply that an entry process accepts, it
//! never gets a configuration again.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Client, End},
    fleet::{Fleet, Record},
    http::call,
    servers::{Runs, Server},
};

const CONTROLS: [&str; 3] = ["core-1", "core-2", "core-3"];
const FRONTS: [&str; 2] = ["front-1", "front-2"];
/// The routes at first, the routes of one `big_config`, and how often one comes.
const FIRST_ROUTES: u32 = 12;
const MORE_ROUTES: u32 = 380;
const GROWTHS: u32 = 4;
/// The changes after that, each of the timeouts of all routes.
const CHANGES: u32 = 139;
/// `contact_window_s` and `recovery_s` of the settings.
const CONTACT: Duration = Duration::from_secs(4);
const RECOVERY: Duration = Duration::from_secs(15);
/// The requests that are sent before and after the final fault.
const REQUESTS: u32 = 60;

fn configuration(version: u32, routes: u32) -> String {
    let mut resources = Vec::new();
    for route in 0..routes {
        let timeout = 2.0 + f64::from(version % 10) / 10_f64;
        resources.push(format!(
            r#"{{"type":"routes","meta":{{"name":"r-{route}"}},"spec":{{"host":"desk.example","path_prefix":"/p{route}/","kind":"safe","timeout_s":{timeout},"slo_s":0.6,"priority":2,"service":"desk","max_attempts":2,"sticky":true,"home_regions":[]}}}}"#
        ));
    }
    resources.push(r#"{"type":"services","meta":{"name":"desk"},"spec":{"health_path":"/healthz","max_conns":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":3.7}}"#.to_owned());
    resources.push(r#"{"type":"limits","meta":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#.to_owned());
    format!(r#"{{"version":"r{version}","resources":[{}]}}"#, resources.join(","))
}

fn is_ready(fleet: &Fleet, front: &str) -> bool {
    let response = call(fleet.ready(front), "GET", "/api/readyz", b"", Duration::from_secs(1));
    response.is_ok_and(|response| response.status() == 200)
}

/// Sends requests to the fronts in turn and returns how many were served.
fn send_requests(fleet: &Fleet, phase: &str) -> u32 {
    let mut served = 0;
    let mut other = std::collections::BTreeMap::<String, u32>::new();
    for number in 0..REQUESTS {
        let front = FRONTS[number as usize % FRONTS.len()];
        let id = format!("{phase}-{number}");
        let end = Client::connect(fleet.front(front))
            .map_or(End::Closed, |mut client| client.send(&id, "/p3/item", &[b'x'; 100]));
        match end {
            End::Answered(200) => served += 1,
            end => *other.entry(format!("{end:?}")).or_default() += 1,
        }
        thread::sleep(Duration::from_millis(50));
    }
    fleet.record.line(format!("{phase}: {served} of {REQUESTS} requests served; others {other:?}"));
    served
}

/// Returns 1 if less than a quarter of the requests is served after the recovery.
pub fn run(record: Record, trouble: bool) -> i32 {
    let mut fleet = Fleet::new(record.clone(), CONTROLS.len());
    let runs = Runs::default();
    let zones = ["pos-a", "sfo-a", "ari-a"];
    let mut entries = Vec::new();
    for number in 1..=6u8 {
        let zone = zones[usize::from(number) % 3];
        let address = fleet.server(number);
        let mut server = Server::new(&format!("i-{number}"), "desk", address, zone, &runs);
        server.work = Duration::from_millis(100);
        server.start();
        entries.push(server.entry("ready").into_bytes());
    }
    fleet.set_list(&entries);
    for name in CONTROLS.iter().chain(&FRONTS) {
        fleet.start(name, true);
    }
    let mut routes = FIRST_ROUTES;
    for version in 1..=1 + GROWTHS + CHANGES {
        if (2..=1 + GROWTHS).contains(&version) {
            routes += MORE_ROUTES;
        }
        let body = configuration(version, routes);
        let patience = Duration::from_secs(20);
        if fleet.order(&CONTROLS, "PUT", "/api/config", body.as_bytes(), patience).is_none() {
            record.line(format!("r{version} is not acknowledged; the case can't run"));
            return 2;
        }
        if version % 40 == 0 {
            record.line(format!("r{version} of {routes} routes acknowledged"));
        }
    }
    thread::sleep(CONTACT);
    let before = send_requests(&fleet, "before");
    if before * 4 < REQUESTS {
        record.line("less than a quarter is served before the final fault; the case can't run");
        return 2;
    }
    // The final fault comes right after one more change is acknowledged.
    let last = 2 + GROWTHS + CHANGES;
    let body = configuration(last, routes);
    let patience = Duration::from_secs(20);
    if fleet.order(&CONTROLS, "PUT", "/api/config", body.as_bytes(), patience).is_none() {
        record.line(format!("r{last} is not acknowledged; the case can't run"));
        return 2;
    }
    record.line(format!("r{last} acknowledged"));
    if trouble {
        record.line("the final fault: all processes are killed, and are back within a second");
        for name in CONTROLS.iter().chain(&FRONTS) {
            fleet.kill(name);
        }
        thread::sleep(Duration::from_millis(500));
        for name in CONTROLS.iter().chain(&FRONTS) {
            fleet.start(name, false);
        }
    }
    let until = Instant::now() + RECOVERY + CONTACT;
    while Instant::now() < until {
        thread::sleep(Duration::from_secs(4));
        let ready = FRONTS.map(|front| is_ready(&fleet, front));
        let (status, read) = fleet.read_version("core-1");
        record.line(format!("{FRONTS:?} ready: {ready:?}; core-1 reads {status} {read:?}"));
    }
    let after = send_requests(&fleet, "after");
    i32::from(after * 4 < REQUESTS)
}
