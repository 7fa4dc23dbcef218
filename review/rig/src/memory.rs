//! Plays bookings beside large messages, and ends an entry that takes more memory than it has, as
//! the platform does.

use std::{
    io,
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, HOST},
    http::Connection,
    record::Record,
};

/// `memory_mb` of a front machine of shalom-orders.
pub const MEMORY_MB: u64 = 260;
/// How often a closed connection without an answer is allowed.
pub const LOST_ALLOWED: usize = 3;
const BOOKINGS: usize = 12;

/// Sends bookings to `e0` while `others` run. Returns how many bookings were passed on to a server
/// and ended with a closed connection and no answer.
pub fn play(fleet: &mut Fleet, others: Vec<JoinHandle<()>>) -> io::Result<usize> {
    let record = fleet.record.clone();
    let front = fleet.front("e0");
    record.say(&format!("e0 takes {:.0} MB before", memory_mb(fleet, "e0")));
    let bookings: Vec<_> = (0..BOOKINGS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || book(front, number, &record))
        })
        .collect();
    let deadline = Instant::now() + Duration::from_secs(60);
    let (mut peak_mb, mut was_killed) = (0.0_f64, false);
    while Instant::now() < deadline {
        let used_mb = memory_mb(fleet, "e0");
        peak_mb = peak_mb.max(used_mb);
        if used_mb > MEMORY_MB as f64 {
            // "A process that uses more than `memory_mb` is killed", and is restarted.
            record.say(&format!("e0 takes {used_mb:.0} MB, more than its {MEMORY_MB} MB"));
            fleet.kill("e0");
            was_killed = true;
            thread::sleep(Duration::from_secs(1));
            fleet.start_process("e0", false)?;
        }
        if others.iter().all(|other| other.is_finished())
            && bookings.iter().all(|booking| booking.is_finished())
        {
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    record.say(&format!("e0 took {peak_mb:.0} MB at most; killed: {was_killed}"));
    let lost: Vec<String> =
        bookings.into_iter().filter_map(|booking| booking.join().ok().flatten()).collect();
    let runs = crate::upstreams::runs(&fleet.arrivals);
    let lost_run = lost.iter().filter(|id| runs.contains_key(*id)).count();
    record.say(&format!(
        "{lost_run} of {BOOKINGS} bookings were passed on to a sound server and their connection closed without an answer"
    ));
    Ok(lost_run)
}

/// Returns the resident memory of a process in MB.
fn memory_mb(fleet: &Fleet, name: &str) -> f64 {
    let Some(process) = fleet.processes.get(name) else { return 0.0 };
    let text =
        std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib: f64 = line.and_then(|line| line.trim().split(' ').next()?.parse().ok()).unwrap_or(0.0);
    kib / 1024.0
}

/// Sends two bookings on one connection. Returns the id of the second one if the connection ends
/// without its answer.
fn book(front: SocketAddr, number: usize, record: &Record) -> Option<String> {
    let mut connection = Connection::open(front).ok()?;
    for (step, work_ms) in [("a", 100), ("b", 3000)] {
        let id = format!("booking-{number}{step}");
        let body = "guests=80&hall=4";
        let request = format!(
            "POST /book/{number}?ms={work_ms} HTTP/1.1\r\nHost: {HOST}\r\nBulrushspan-Request-Id: {id}\r\nCookie: Bulrushspan-Affinity-Key=b{number}\r\nBulrushspan-Deadline-Ms: 4000\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        record.line(&format!("{id} is sent"));
        let result = connection
            .send(request.as_bytes())
            .and_then(|()| connection.read(Instant::now() + Duration::from_secs(5)));
        match result {
            Ok(answer) => record.line(&format!("{id} gets {}", answer.status())),
            Err(error) => {
                record.line(&format!("{id}: the connection ends without an answer: {error}"));
                return Some(id).filter(|_| step == "b");
            }
        }
    }
    None
}
