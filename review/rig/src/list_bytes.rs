//! An entry of another writer that can't be read stands in the platform's list. The list is then
//! followed no more: a server that it shows as draining still gets bookings, and after a restart of
//! all processes nothing is served.

use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Fleet, HOST, Setup},
    http::Connection,
    record::Record,
};

/// `drain_s` of the settings.
const DRAIN: Duration = Duration::from_secs(3);
/// `recovery_s` of the settings.
const RECOVERY: Duration = Duration::from_secs(15);
/// How long after the list has shown it as draining the server ends.
const SERVES_ON: Duration = Duration::from_millis(6300);
const REQUESTS: usize = 60;

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::start(Setup::default(), record.clone())?;
    let front = fleet.front("e0");
    let served_before = send_all(front, "before", record);
    record.say(&format!("before: {served_before} of {REQUESTS} requests served"));
    let leaving = fleet.platform.servers.lock().unwrap()[0].clone();
    if has_trouble {
        let entry = b"{\"service\":\"\xff\xfe\x80\",\"addr\":\"\xc3\x28\",\"zone\":\"pos-a\",\"id\":\"\xa0\xa1\",\"state\":\"ready\",\"slots\":4}";
        fleet.platform.other_entries.lock().unwrap().push(entry.to_vec());
        record.say("the platform's list holds, beside the sound entries, one of another writer with bytes that can't be read");
    }
    thread::sleep(Duration::from_secs(1));

    let reads_before = *fleet.platform.reads.lock().unwrap();
    *leaving.is_draining.lock().unwrap() = true;
    let (shown_at, shown) = (record.elapsed(), Instant::now());
    record.say(&format!("the platform's list shows {} as draining", leaving.id));
    let end = {
        let (server, platform, record) = (leaving.clone(), fleet.platform.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(SERVES_ON);
            server.end();
            platform.servers.lock().unwrap().retain(|listed| listed.id != server.id);
            record.say(&format!(
                "server {} has ended, {:.1} s after it was shown as draining",
                server.id,
                SERVES_ON.as_secs_f64()
            ));
        })
    };
    // No requests meanwhile, so that the server can't say itself that it leaves.
    thread::sleep((2 * DRAIN).saturating_sub(shown.elapsed()));
    let reads = *fleet.platform.reads.lock().unwrap() - reads_before;
    record.say(&format!("the list was read {reads} times meanwhile"));
    let served = book_all(front, record);
    end.join().ok();
    let arrivals = fleet.arrivals.lock().unwrap().clone();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.server == leaving.id && arrival.at > shown_at + DRAIN)
        .collect();
    let lost = late.iter().filter(|arrival| arrival.answered_at.is_none()).count();
    record.say(&format!("{served} of {REQUESTS} bookings served"));
    record.say(&format!(
        "DRAIN: {} requests reached {} more than {} s after the list showed it as draining; {lost} of them were at work there when it ended",
        late.len(),
        leaving.id,
        DRAIN.as_secs()
    ));

    record.say("all processes are killed at the same moment, and are back after a second");
    let names: Vec<String> = fleet.controls().into_iter().chain(fleet.entries()).collect();
    names.iter().for_each(|name| fleet.kill(name));
    thread::sleep(Duration::from_secs(1));
    for name in &names {
        fleet.start_process(name, false)?;
    }
    thread::sleep(RECOVERY + Duration::from_secs(1));
    let served_after = send_all(front, "recovered", record);
    record.say(&format!("RECOVER: {served_after} of {REQUESTS} requests served later than {} s after the processes were back", RECOVERY.as_secs()));
    let is_recovered = 4 * served_after >= REQUESTS || 4 * served_before < REQUESTS;
    Ok(if late.is_empty() && is_recovered { Verdict::Held } else { Verdict::Broken })
}

/// Sends requests one after the other that concern different objects. Returns how many were served.
fn send_all(front: SocketAddr, when: &str, record: &Record) -> usize {
    let results = (0..REQUESTS).map(|number| {
        let request = request("GET", "/menu", number, "ms=5", &format!("{when}-{number}"), "");
        ask(front, &request, &format!("{when}-{number}"), record)
    });
    results.filter(|is_served| *is_served).count()
}

/// Sends bookings at once that concern different objects. Returns how many were served.
fn book_all(front: SocketAddr, record: &Record) -> usize {
    let threads: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("booking-{number}");
                let request = request("POST", "/book", number, "ms=800", &id, "guests=80&hall=4");
                ask(front, &request, &id, &record)
            })
        })
        .collect();
    threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .filter(|is_served| *is_served)
        .count()
}

fn request(method: &str, path: &str, number: usize, query: &str, id: &str, body: &str) -> String {
    let length =
        if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} {path}/{number}?{query} HTTP/1.1\r\nHost: {HOST}\r\nBulrushspan-Request-Id: {id}\r\nCookie: Bulrushspan-Affinity-Key={id}\r\nBulrushspan-Deadline-Ms: 4000\r\n{length}\r\n{body}"
    )
}

fn ask(front: SocketAddr, request: &str, id: &str, record: &Record) -> bool {
    let Ok(mut connection) = Connection::open(front) else { return false };
    record.line(&format!("{id} is sent"));
    let answer = connection
        .send(request.as_bytes())
        .and_then(|()| connection.read(Instant::now() + Duration::from_secs(5)));
    match answer {
        Ok(answer) => {
            record.line(&format!("{id} gets {}", answer.status()));
            answer.status() == 200
        }
        Err(error) => {
            record.line(&format!("{id} gets no answer: {error}"));
            false
        }
    }
}
