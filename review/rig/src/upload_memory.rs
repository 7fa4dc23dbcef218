//! Uploads within the limits of the configuration come at once; the entry takes more memory than it
//! has, the platform kills it, and bookings that servers are running end without an answer.

use std::{
    io::{self, Write},
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Fleet, HOST, Setup},
    http::Connection,
    memory::{LOST_ALLOWED, MEMORY_MB, play},
    record::Record,
};

const UPLOADS: usize = 3;
/// Less than `max_body_bytes` of the configuration, 67108864.
const UPLOAD_BYTES: usize = 60_000_000;

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let setup = Setup { memory_mb: MEMORY_MB, ..Setup::default() };
    let mut fleet = Fleet::start(setup, record.clone())?;
    let front = fleet.front("e0");
    // Without the disruption, the uploads come one after the other.
    let at_once = if has_trouble { UPLOADS } else { 1 };
    let uploads: Vec<_> = (0..at_once)
        .map(|first| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(800));
                for number in (first..UPLOADS).step_by(at_once) {
                    upload(front, number, &record);
                }
            })
        })
        .collect();
    let lost = play(&mut fleet, uploads)?;
    Ok(if lost > LOST_ALLOWED { Verdict::Broken } else { Verdict::Held })
}

fn upload(front: SocketAddr, number: usize, record: &Record) {
    let Ok(mut connection) = Connection::open(front) else { return };
    connection.stream.set_write_timeout(Some(Duration::from_secs(5))).ok();
    let id = format!("upload-{number}");
    let head = format!(
        "POST /cert/{number}?ms=300 HTTP/1.1\r\nHost: {HOST}\r\nBulrushspan-Request-Id: {id}\r\nCookie: Bulrushspan-Affinity-Key=u{number}\r\nBulrushspan-Deadline-Ms: 4000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    record.line(&format!("{id} is sent, {UPLOAD_BYTES} bytes"));
    let sent = connection
        .stream
        .write_all(head.as_bytes())
        .and_then(|()| connection.stream.write_all(&vec![b'c'; UPLOAD_BYTES]));
    let answer = sent.and_then(|()| connection.read(Instant::now() + Duration::from_secs(5)));
    match answer {
        Ok(answer) => record.line(&format!("{id} gets {}", answer.status())),
        Err(error) => record.line(&format!("{id} gets no answer: {error}")),
    }
}
