//! Callers read long answers slowly; the entry takes more memory than it has.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Fleet, HOST, Setup},
    memory::{LOST_ALLOWED, MEMORY_MB, play},
    record::Record,
};

const READERS: usize = 24;
/// Less than the largest answer that an entry with this memory passes on, 8.1 MB.
const ANSWER_BYTES: usize = 7_500_000;
/// What a caller reads in a tenth of a second: 20 Mbit/s.
const PIECE_BYTES: usize = 250_000;

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let setup = Setup { memory_mb: MEMORY_MB, ..Setup::default() };
    let mut fleet = Fleet::start(setup, record.clone())?;
    let front = fleet.front("e0");
    let at_once = if has_trouble { READERS } else { 2 };
    let readers: Vec<_> = (0..at_once)
        .map(|first| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(800));
                for number in (first..READERS).step_by(at_once) {
                    read_slowly(front, number, &record);
                }
            })
        })
        .collect();
    let lost = play(&mut fleet, readers)?;
    Ok(if lost > LOST_ALLOWED { Verdict::Broken } else { Verdict::Held })
}

fn read_slowly(front: SocketAddr, number: usize, record: &Record) {
    let Ok(mut stream) = TcpStream::connect(front) else { return };
    let id = format!("report-{number}");
    let request = format!(
        "GET /menu/{number}?ms=100&bytes={ANSWER_BYTES} HTTP/1.1\r\nHost: {HOST}\r\nBulrushspan-Request-Id: {id}\r\nCookie: Bulrushspan-Affinity-Key=r{number}\r\nBulrushspan-Deadline-Ms: 12000\r\nConnection: close\r\n\r\n"
    );
    record.line(&format!("{id} is sent"));
    if stream.write_all(request.as_bytes()).is_err() {
        return;
    }
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok();
    let (started, mut total) = (Instant::now(), 0);
    let mut piece = vec![0; PIECE_BYTES];
    while let Ok(length @ 1..) = stream.read(&mut piece) {
        total += length;
        thread::sleep(Duration::from_millis(100).mul_f64(length as f64 / PIECE_BYTES as f64));
    }
    record.line(&format!("{id}: {total} bytes read in {:.1} s", started.elapsed().as_secs_f64()));
}
