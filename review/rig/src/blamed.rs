//! One server crashes once. An ordinary request that many callers behind one address send is then
//! refused by every entry, as if it had crashed three servers.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Fleet, HOST, Route, Setup, ZONES},
    http::Connection,
    record::Record,
};

const ENTRIES: [&str; 4] = ["pos-a", "pos-a", "pos-b", "pos-b"];
const CALLERS_PER_ROUTE: usize = 48;
const SERVERS_PER_ZONE: usize = 2;
/// `contact_window_s`.
const CONTACT_WINDOW: Duration = Duration::from_secs(4);
const MEASURED: Duration = Duration::from_secs(12);

/// How many requests of one route were sent and served.
#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    served: AtomicUsize,
}

impl Counts {
    fn take(&self) -> (usize, usize) {
        (self.sent.swap(0, Ordering::Relaxed), self.served.swap(0, Ordering::Relaxed))
    }
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let zones = ZONES.iter().map(|(zone, _)| *zone);
    let servers = zones.clone().cycle().take(SERVERS_PER_ZONE * zones.count()).collect();
    let setup = Setup { servers, entries: ENTRIES.to_vec(), ..Setup::default() };
    let mut fleet = Fleet::start(setup, record.clone())?;
    let added = Route { name: "r-today", prefix: "/today/", kind: "safe", timeout_s: 3.0 };
    fleet.setup.routes.push(added);
    fleet.deliver(8)?;
    thread::sleep(CONTACT_WINDOW);

    let fronts: Vec<SocketAddr> = fleet.entries().iter().map(|name| fleet.front(name)).collect();
    let (first, later) = (Arc::new(Counts::default()), Arc::new(Counts::default()));
    let has_ended = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..2 * CALLERS_PER_ROUTE)
        .map(|number| {
            let (front, record, has_ended) =
                (fronts[number / 2 % fronts.len()], record.clone(), has_ended.clone());
            let counts = if number % 2 == 0 { first.clone() } else { later.clone() };
            thread::spawn(move || call(front, number, &counts, &has_ended, &record))
        })
        .collect();
    thread::sleep(CONTACT_WINDOW);
    say_served(record, "before", first.take(), later.take());
    let server = fleet.platform.servers.lock().unwrap()[0].clone();
    if has_trouble {
        server.crash(record);
    }
    thread::sleep(server.down_time);
    thread::sleep(2 * CONTACT_WINDOW);
    record.say("the server is back, and nothing has been disturbed for more than contact_window_s");
    (first.take(), later.take());
    thread::sleep(MEASURED);
    let (of_first, of_later) = (first.take(), later.take());
    has_ended.store(true, Ordering::Relaxed);
    say_served(record, "in steady state", of_first, of_later);
    callers.into_iter().for_each(|caller| {
        caller.join().ok();
    });
    let rate = |(sent, served): (usize, usize)| served as f64 / sent.max(1) as f64;
    let is_broken = of_later.0 >= 20 && rate(of_later) < rate(of_first) / 4.0;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

fn say_served(record: &Record, when: &str, first: (usize, usize), later: (usize, usize)) {
    record.say(&format!("{when}: {} of {} requests of the first route served", first.1, first.0));
    record.say(&format!("{when}: {} of {} requests of the later route served", later.1, later.0));
}

/// Sends one request after the other on kept connections. Callers with odd numbers ask for the
/// same page of the later route, the others for pages of the first route.
fn call(
    front: SocketAddr,
    caller: usize,
    counts: &Counts,
    has_ended: &AtomicBool,
    record: &Record,
) {
    thread::sleep(Duration::from_millis(13 * caller as u64));
    let mut connection = None;
    for number in 0.. {
        if has_ended.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("c{caller}-{number}");
        let target = if caller % 2 == 0 {
            format!("/menu/{caller}-{number}")
        } else {
            "/today/menu".to_owned()
        };
        let request = format!(
            "GET {target}?ms=400 HTTP/1.1\r\nHost: {HOST}\r\nBulrushspan-Request-Id: {id}\r\nBulrushspan-Deadline-Ms: 3000\r\n\r\n"
        );
        let Some(mut open) = connection.take().or_else(|| Connection::open(front).ok()) else {
            continue;
        };
        let answer = open
            .send(request.as_bytes())
            .and_then(|()| open.read(Instant::now() + Duration::from_secs(4)));
        counts.sent.fetch_add(1, Ordering::Relaxed);
        match answer {
            Ok(answer) => {
                let is_served = answer.status() == 200;
                counts.served.fetch_add(usize::from(is_served), Ordering::Relaxed);
                if !is_served {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    record.line(&format!("{id} ({target}) gets {} {text}", answer.status()));
                }
                // Clients honour it up to a third of the time that they have left.
                let wait: f64 =
                    answer.header("Retry-After").and_then(|s| s.parse().ok()).unwrap_or(0.0);
                thread::sleep(Duration::from_secs_f64(wait).min(Duration::from_secs(1)));
                connection = Some(open);
            }
            Err(error) => record.line(&format!("{id} gets no answer: {error}")),
        }
        thread::sleep(Duration::from_millis(100));
    }
}
