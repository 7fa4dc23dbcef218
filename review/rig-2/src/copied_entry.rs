//! Another writer's entry of the platform's list, without two of the fields, has the id of a sound
//! server and stands behind that one's own entry. It replaces it: a server that drains gets requests
//! until it ends.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
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
const ENTRY: &str = "front-1";
/// `drain_s` and `contact_window_s` of the settings.
const DRAIN: Duration = Duration::from_secs(3);
const CONTACT: Duration = Duration::from_secs(4);
/// How long a server that drains serves on after `drain_s`.
const LONGER: Duration = Duration::from_secs(3);
/// The pause between the replacements of two servers.
const RELEASE_GAP: Duration = Duration::from_secs(1);
const CLIENTS: usize = 12;
fn configuration() -> String {
    let resources = [
        r#"{"type":"routes","meta":{"name":"booking"},"spec":{"host":"desk.example","path_prefix":"/booking/","kind":"unsafe","timeout_s":4,"slo_s":0.6,"priority":1,"service":"desk","max_attempts":2,"sticky":false,"home_regions":[]}}"#,
        r#"{"type":"services","meta":{"name":"desk"},"spec":{"health_path":"/healthz","max_conns":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":3.7}}"#,
        r#"{"type":"limits","meta":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#,
    ];
    format!(r#"{{"version":"r1","resources":[{}]}}"#, resources.join(","))
}

/// Returns 1 if servers get requests later than `drain_s` after the list shows that they drain.
pub fn run(record: Record, trouble: bool) -> i32 {
    let mut fleet = Fleet::new(record.clone(), CONTROLS.len());
    let runs = Runs::default();
    let zones = ["pos-a", "sfo-a", "ari-a"];
    let servers: Vec<Server> = (1..=8u8)
        .map(|number| {
            let zone = zones[usize::from(number) % 3];
            let address = fleet.server(number);
            let server = Server::new(&format!("i-{number}"), "desk", address, zone, &runs);
            server.start();
            server
        })
        .collect();
    // The states in which servers are on the list; those without one are not.
    let mut states = [Some("ready"); 8];
    (states[6], states[7]) = (None, None);
    let entries = |states: &[Option<&str>; 8]| -> Vec<Vec<u8>> {
        let listed = servers.iter().zip(states);
        listed.filter_map(|(server, state)| Some(server.entry((*state)?).into_bytes())).collect()
    };
    fleet.set_list(&entries(&states));
    for name in CONTROLS {
        fleet.start(name, true);
    }
    fleet.start(ENTRY, true);
    let body = configuration();
    let patience = Duration::from_secs(20);
    if fleet.order(&CONTROLS, "PUT", "/api/config", body.as_bytes(), patience).is_none() {
        record.line("the configuration is not acknowledged; the case can't run");
        return 2;
    }
    let ready = fleet.ready(ENTRY);
    let is_ready = || {
        call(ready, "GET", "/api/readyz", b"", Duration::from_secs(1)).map_or(0, |r| r.status())
            == 200
    };
    let deadline = Instant::now() + patience;
    while !is_ready() {
        if Instant::now() > deadline {
            record.line("the entry is not ready; the case can't run");
            return 2;
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(CONTACT);
    let ends: Arc<Mutex<Vec<(Instant, String, End)>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let front = fleet.front(ENTRY);
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (ends, stop) = (ends.clone(), stop.clone());
        clients.push(thread::spawn(move || {
            let mut connection = None;
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                if connection.is_none() {
                    connection = Client::connect(front);
                }
                let Some(kept) = &mut connection else { continue };
                let id = format!("booking-{client}-{number}");
                let end = kept.send(&id, &format!("/booking/{client}"), &[b'b'; 300]);
                if end == End::Closed {
                    connection = None;
                }
                if end == End::Answered(503) {
                    thread::sleep(Duration::from_millis(300));
                }
                ends.lock().unwrap().push((Instant::now(), id, end));
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    // Copies of the first two entries by another writer, without `version` and `cold_left_s`.
    let copies: Vec<Vec<u8>> =
        servers[..2].iter().map(|server| server.partial_entry().into_bytes()).collect();
    let with_other = |mut entries: Vec<Vec<u8>>| {
        if trouble {
            entries.extend(copies.clone());
        }
        entries
    };
    if trouble {
        record.line("two entries of another writer, without two fields, are on the list");
    }
    fleet.set_list(&with_other(entries(&states)));
    thread::sleep(Duration::from_secs(3));
    let mut shown_at = Vec::new();
    for old in 0..2 {
        let (from, to) = (&servers[old].id, &servers[old + 6].id);
        record.line(format!("the list shows {to} as ready and {from} as draining"));
        (states[old + 6], states[old]) = (Some("ready"), Some("draining"));
        fleet.set_list(&with_other(entries(&states)));
        shown_at.push(Instant::now());
        thread::sleep(RELEASE_GAP);
    }
    let mut ended_at = Vec::new();
    for old in 0..2 {
        thread::sleep((shown_at[old] + DRAIN + LONGER).saturating_duration_since(Instant::now()));
        record.line(format!("{} ends, and is not on the list any more", servers[old].id));
        ended_at.push(Instant::now());
        servers[old].end();
        states[old] = None;
        fleet.set_list(&with_other(entries(&states)));
    }
    thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());

    let mut late = 0;
    for (server, shown_at) in servers.iter().zip(&shown_at) {
        for (at, id) in server.arrivals.lock().unwrap().iter() {
            let after = at.saturating_duration_since(*shown_at);
            if after > DRAIN {
                late += 1;
                record.line(format!(
                    "{id} reached {} {:.2} s after the list showed that it drains",
                    server.id,
                    after.as_secs_f64()
                ));
            }
        }
    }
    let new: usize = servers[6..].iter().map(|server| server.arrivals.lock().unwrap().len()).sum();
    let runs = runs.lock().unwrap();
    let (mut broken_off, mut refused, mut answered) = (0, 0, 0);
    for (at, id, end) in ends.lock().unwrap().iter() {
        let has_run = runs.contains_key(id);
        match end {
            End::Answered(200) => answered += 1,
            End::Answered(503) => refused += 1,
            end if has_run => {
                broken_off += 1;
                let after = at.saturating_duration_since(ended_at[0]).as_secs_f64();
                record.line(format!("{id} had begun to run; {end:?} {after:.2} s after i-1 ended"));
            }
            _ => {}
        }
    }
    record.line(format!(
        "{answered} bookings answered, {refused} refused, {broken_off} begun and not answered by their \
         server; i-7 and i-8 got {new}"
    ));
    record.line(format!("{late} requests reached i-1 and i-2 later than drain_s"));
    i32::from(late > 3)
}
