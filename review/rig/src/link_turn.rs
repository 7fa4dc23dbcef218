//! One caller sends `safe` requests before the first was answered; the entry then answers nobody
//! whose answer is longer than one piece of a body.

use std::{
    io::{self, Write},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Fleet, HOST, Setup},
    http::Connection,
    record::Record,
};

/// The sizes of a leg, for the link that its entries have.
struct Leg {
    name: &'static str,
    link_mbps: f64,
    /// The bytes of the cookies of each of the caller's further requests.
    cookie_bytes: usize,
    /// The bytes of the body of each of the caller's further requests.
    body_bytes: usize,
    answer_bytes: usize,
}

/// `timeout_s` of the route.
const TIMEOUT: Duration = Duration::from_secs(3);
/// What the rule allows in addition.
const ALLOWANCE: Duration = Duration::from_millis(500);
const FURTHER_REQUESTS: usize = 8;
const OTHER_CALLERS: usize = 24;

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let legs = [
        Leg {
            name: "link of 2 Mbit/s",
            link_mbps: 2.0,
            cookie_bytes: 12_000,
            body_bytes: 0,
            answer_bytes: 8_000,
        },
        Leg {
            name: "link of 1000 Mbit/s",
            link_mbps: 1000.0,
            cookie_bytes: 0,
            body_bytes: 8_000_000,
            answer_bytes: 4_000_000,
        },
    ];
    let mut is_broken = false;
    for leg in legs {
        record.say(&format!("--- {}", leg.name));
        is_broken |= run_leg(record, has_trouble, &leg)?;
    }
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

fn run_leg(record: &Record, has_trouble: bool, leg: &Leg) -> io::Result<bool> {
    let setup = Setup { link_mbps: leg.link_mbps, ..Setup::default() };
    let fleet = Fleet::start(setup, record.clone())?;
    let front = fleet.front("e0");
    ask_others(record, front, leg, "before")?;
    let caller = {
        let record = record.clone();
        let requests = caller_requests(leg);
        thread::spawn(move || {
            let answered = if has_trouble {
                pipeline(front, &requests, &record)
            } else {
                in_turn(front, &requests, &record)
            };
            record.say(&format!("the caller got {answered} of {} answers", requests.len()));
        })
    };
    thread::sleep(Duration::from_secs(1));
    let late = ask_others(record, front, leg, "after")?;
    caller.join().ok();
    ask_others(record, front, leg, "once the caller has left")?;
    // Eight or more requests that lasted longer than `timeout_s`, and over a quarter of them, had no
    // final answer half a second later.
    record.say(&format!(
        "{late} of {OTHER_CALLERS} other requests had no answer {:.1} s after they were sent",
        (TIMEOUT + ALLOWANCE).as_secs_f64()
    ));
    Ok(late >= 8)
}

/// The caller's requests: a short one, and further ones that are within the limits of the
/// configuration.
fn caller_requests(leg: &Leg) -> Vec<Vec<u8>> {
    let request = |number: usize, cookie_bytes: usize, body_bytes: usize| {
        let method = if body_bytes > 0 { "POST" } else { "GET" };
        let cookie = if cookie_bytes > 0 {
            format!("; preferences={}", "p".repeat(cookie_bytes))
        } else {
            String::new()
        };
        let length = if body_bytes > 0 {
            format!("Content-Length: {body_bytes}\r\n")
        } else {
            String::new()
        };
        let bytes = leg.answer_bytes;
        let mut text = format!(
            "{method} /menu/{number}?ms=150&bytes={bytes} HTTP/1.1\r\nHost: {HOST}\r\nBulrushspan-Request-Id: caller-{number}\r\nCookie: Bulrushspan-Affinity-Key={number}{cookie}\r\nBulrushspan-Deadline-Ms: 3000\r\n{length}\r\n"
        )
        .into_bytes();
        text.extend(vec![b'b'; body_bytes]);
        text
    };
    let first = request(0, 0, 0);
    let further =
        (1..=FURTHER_REQUESTS).map(|number| request(number, leg.cookie_bytes, leg.body_bytes));
    std::iter::once(first).chain(further).collect()
}

/// Sends all requests on one connection before the first is answered, and reads the answers
/// meanwhile. Returns the number of answers.
fn pipeline(front: std::net::SocketAddr, requests: &[Vec<u8>], record: &Record) -> usize {
    let Ok(mut connection) = Connection::open(front) else { return 0 };
    let Ok(mut writer) = connection.stream.try_clone() else { return 0 };
    let deadline = Instant::now() + Duration::from_secs(10);
    let (sent, sent_record) = (requests.to_vec(), record.clone());
    let sender = thread::spawn(move || {
        writer.set_write_timeout(Some(Duration::from_secs(10))).ok();
        for (number, request) in sent.iter().enumerate() {
            let is_sent = writer.write_all(request).is_ok();
            sent_record
                .line(&format!("caller sends caller-{number}, {} bytes: {is_sent}", request.len()));
            if !is_sent {
                return;
            }
        }
    });
    let answered = read_answers(&mut connection, requests.len(), deadline, record);
    connection.stream.shutdown(std::net::Shutdown::Both).ok();
    sender.join().ok();
    answered
}

/// Sends each request once the one before it is answered. Returns the number of answers.
fn in_turn(front: std::net::SocketAddr, requests: &[Vec<u8>], record: &Record) -> usize {
    let Ok(mut connection) = Connection::open(front) else { return 0 };
    let mut count = 0;
    for (number, request) in requests.iter().enumerate() {
        record.line(&format!("caller sends caller-{number}, {} bytes", request.len()));
        if connection.send(request).is_err() {
            break;
        }
        count += read_answers(&mut connection, 1, Instant::now() + Duration::from_secs(8), record);
    }
    count
}

fn read_answers(
    connection: &mut Connection,
    count: usize,
    deadline: Instant,
    record: &Record,
) -> usize {
    for done in 0..count {
        match connection.read(deadline) {
            Ok(answer) => record.line(&format!(
                "caller gets {} for {}, {} bytes",
                answer.status(),
                answer.header("Bulrushspan-Request-Id").unwrap_or("?"),
                answer.body.len()
            )),
            Err(error) => {
                record.line(&format!("caller gets no answer: {error}"));
                return done;
            }
        }
    }
    count
}

/// Other callers send one request each, on connections of their own. Returns how many had no answer
/// half a second after the route's timeout.
fn ask_others(
    record: &Record,
    front: std::net::SocketAddr,
    leg: &Leg,
    when: &str,
) -> io::Result<usize> {
    let threads: Vec<_> = (0..OTHER_CALLERS)
        .map(|number| {
            let record = record.clone();
            let id = format!("other-{}-{number}", when.replace(' ', "-"));
            let bytes = leg.answer_bytes;
            // One after the other, so that the link is not what they wait for.
            let pause = Duration::from_millis(80 * number as u64);
            thread::spawn(move || {
                thread::sleep(pause);
                let Ok(mut connection) = Connection::open(front) else { return false };
                let request = format!(
                    "GET /menu/{id}?ms=20&bytes={bytes} HTTP/1.1\r\nHost: {HOST}\r\nBulrushspan-Request-Id: {id}\r\nBulrushspan-Deadline-Ms: 3000\r\n\r\n"
                );
                record.line(&format!("{id} is sent"));
                if connection.send(request.as_bytes()).is_err() {
                    return false;
                }
                match connection.read(Instant::now() + TIMEOUT + ALLOWANCE) {
                    Ok(answer) => {
                        record.line(&format!("{id} gets {}, {} bytes", answer.status(), answer.body.len()));
                        true
                    }
                    Err(error) => {
                        record.line(&format!("{id} gets no answer: {error}"));
                        error.kind() != io::ErrorKind::TimedOut
                    }
                }
            })
        })
        .collect();
    let answered: Vec<bool> =
        threads.into_iter().map(|thread| thread.join().unwrap_or(false)).collect();
    let late = answered.iter().filter(|is_answered| !**is_answered).count();
    record.say(&format!(
        "other callers, {when}: {} of {OTHER_CALLERS} answered in time",
        OTHER_CALLERS - late
    ));
    Ok(late)
}
