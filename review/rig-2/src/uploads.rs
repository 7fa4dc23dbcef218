//! Uploads within the limits of the configuration that arrive together take more memory than the
//! machine has; the requests that it has passed on are then lost with it.

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
    fleet::{ENTRY_MEMORY_MB, Fleet, Record},
    http::call,
    memory::resident_mb,
    servers::{Runs, Server},
};

/// The size of a large upload; `max_body_bytes` is 64 MiB.
const UPLOAD_BYTES: usize = 18_000_000;
/// The uploads that are sent at once: as usual, and 1.7 times as many.
const UPLOADS: (usize, usize) = (10, 17);
const BOOKING_CLIENTS: usize = 8;
const CONTROLS: [&str; 3] = ["core-1", "core-2", "core-3"];
const ENTRY: &str = "front-1";

fn configuration() -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        format!(
            r#"{{"type":"routes","meta":{{"name":"{name}"}},"spec":{{"host":"desk.example","path_prefix":"{prefix}","kind":"{kind}","timeout_s":4,"slo_s":0.6,"priority":1,"service":"{service}","max_attempts":2,"sticky":false,"home_regions":[]}}}}"#
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"type":"services","meta":{{"name":"{name}"}},"spec":{{"health_path":"/healthz","max_conns":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":3.7}}}}"#
        )
    };
    let resources = [
        route("booking", "/booking/", "unsafe", "desk"),
        route("upload", "/upload/", "upload", "files"),
        service("desk"),
        service("files"),
        r#"{"type":"limits","meta":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#.to_owned(),
    ];
    format!(r#"{{"version":"r1","resources":[{}]}}"#, resources.join(","))
}

/// Ends a process that uses more memory than the machine has, as the platform does. Returns the
/// greatest use in MB.
fn watch_memory(record: Record, pid: u32, stop: Arc<AtomicBool>, killed: Arc<AtomicBool>) -> u64 {
    let mut peak_mb = 0;
    while !stop.load(Ordering::SeqCst) {
        let used_mb = resident_mb(pid);
        peak_mb = peak_mb.max(used_mb);
        if used_mb > ENTRY_MEMORY_MB && !killed.swap(true, Ordering::SeqCst) {
            record.line(format!(
                "{ENTRY} uses {used_mb} MB, more than its {ENTRY_MEMORY_MB} MB; the platform kills it"
            ));
            // SAFETY: the call only sends a signal to a child that has not been waited for.
            unsafe { kill(pid as i32, 9) };
        }
        thread::sleep(Duration::from_millis(2));
    }
    peak_mb
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Returns 1 if more than three requests that were passed on are closed without an answer.
pub fn run(record: Record, trouble: bool) -> i32 {
    let mut fleet = Fleet::new(record.clone(), CONTROLS.len());
    let runs = Runs::default();
    let zones = ["pos-a", "sfo-a", "ari-a"];
    let mut entries = Vec::new();
    for number in 1..=8u8 {
        let service = if number <= 4 { "desk" } else { "files" };
        let zone = zones[usize::from(number) % 3];
        let address = fleet.server(number);
        let mut server = Server::new(&format!("i-{number}"), service, address, zone, &runs);
        server.slots = 10;
        server.start();
        entries.push(server.entry("ready").into_bytes());
    }
    fleet.set_list(&entries);
    for name in CONTROLS {
        fleet.start(name, true);
    }
    fleet.start(ENTRY, true);
    let body = configuration();
    if fleet
        .order(&CONTROLS, "PUT", "/api/config", body.as_bytes(), Duration::from_secs(20))
        .is_none()
    {
        record.line("the configuration is not acknowledged; the case can't run");
        return 2;
    }
    let ready = fleet.ready(ENTRY);
    let deadline = Instant::now() + Duration::from_secs(20);
    while call(ready, "GET", "/api/readyz", b"", Duration::from_secs(1)).map_or(0, |r| r.status())
        != 200
    {
        if Instant::now() > deadline {
            record.line("the entry is not ready; the case can't run");
            return 2;
        }
        thread::sleep(Duration::from_millis(100));
    }
    // `contact_window_s`.
    thread::sleep(Duration::from_secs(4));
    let (stop, killed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let watcher = {
        let (record, pid, stop, killed) =
            (record.clone(), fleet.pid(ENTRY), stop.clone(), killed.clone());
        thread::spawn(move || watch_memory(record, pid, stop, killed))
    };
    let ends: Arc<Mutex<Vec<(String, End)>>> = Arc::default();
    let front = fleet.front(ENTRY);
    let stop_clients = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..BOOKING_CLIENTS {
        let (ends, stop) = (ends.clone(), stop_clients.clone());
        clients.push(thread::spawn(move || {
            let Some(mut connection) = Client::connect(front) else { return };
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("booking-{client}-{number}");
                let end = connection.send(&id, "/booking/1", &[b'b'; 300]);
                let is_closed = end == End::Closed;
                ends.lock().unwrap().push((id, end));
                if is_closed {
                    return;
                }
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    let count = if trouble { UPLOADS.1 } else { UPLOADS.0 };
    record.line(format!("{count} uploads of {UPLOAD_BYTES} bytes are sent at once"));
    let mut uploads = Vec::new();
    for client in 0..count {
        let ends = ends.clone();
        uploads.push(thread::spawn(move || {
            let Some(mut connection) = Client::connect(front) else { return };
            for (number, length) in [1000, UPLOAD_BYTES].into_iter().enumerate() {
                let id = format!("upload-{client}-{number}");
                let end = connection.send(&id, "/upload/1", &vec![b'u'; length]);
                let is_closed = end == End::Closed;
                ends.lock().unwrap().push((id, end));
                if is_closed {
                    return;
                }
            }
        }));
    }
    uploads.into_iter().for_each(|upload| upload.join().unwrap());
    thread::sleep(Duration::from_secs(2));
    stop_clients.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    stop.store(true, Ordering::SeqCst);
    let peak_mb = watcher.join().unwrap();
    record.line(format!("{ENTRY} used {peak_mb} MB at most"));
    let ends = ends.lock().unwrap().clone();
    let runs = runs.lock().unwrap().clone();
    let mut lost = 0;
    for (id, end) in &ends {
        let ran = runs.get(id).copied().unwrap_or(0);
        record.line(format!("{id}: run {ran} times, {end:?}"));
        if *end == End::Closed && ran > 0 {
            lost += 1;
        }
    }
    record.line(format!(
        "{lost} requests were passed on to a server and their connection was closed without an answer"
    ));
    if !fleet.is_running(ENTRY) && !killed.load(Ordering::SeqCst) {
        record.line("the entry ended by itself");
    }
    i32::from(lost > 3)
}
