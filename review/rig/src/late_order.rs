//! An operator ends an evacuation and begins it again. A control process that was frozen meanwhile
//! wakes, and carries out the order to end it that the operator has long sent elsewhere.

use std::{
    io,
    net::SocketAddr,
    process::Command,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Fleet, HOST, Setup},
    http::{Connection, call},
    record::Record,
};

/// How long a control process is frozen.
const FROZEN: Duration = Duration::from_secs(5);
/// `evacuate_s`.
const EVACUATE: Duration = Duration::from_secs(5);
/// `contact_window_s`, and a little more.
const CONTACT_WINDOW: Duration = Duration::from_millis(4500);
const REQUESTS: usize = 40;
const ACK: Duration = Duration::from_secs(5);
const ENTRIES: [&str; 2] = ["pos-a", "sfo-a"];
/// The gauge of a control process that leads.
const LEADS: &str = "bulrushspan_leads";

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let setup = Setup { entries: ENTRIES.to_vec(), ..Setup::default() };
    let fleet = Fleet::start(setup, record.clone())?;
    // What the leader carries out late is without effect, so one that doesn't lead is frozen.
    let controls = fleet.controls();
    let leads = |name: &String| {
        let metrics =
            call(fleet.address(name, 9464), "GET", "/metrics", b"", Duration::from_secs(1));
        metrics.is_ok_and(|metrics| {
            let text = String::from_utf8_lossy(&metrics.body).into_owned();
            text.lines().any(|line| line.starts_with(LEADS) && line.ends_with(" 1"))
        })
    };
    let Some(frozen) = controls.iter().position(|name| !leads(name)) else {
        return Err(io::Error::other("every control process leads"));
    };
    let mut is_broken = false;
    for zone in ENTRIES {
        is_broken |= play(&fleet, frozen, zone, has_trouble)?;
    }
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// Plays one freeze, and returns whether a request reached the evacuated zone too late.
fn play(fleet: &Fleet, index: usize, zone: &str, has_trouble: bool) -> io::Result<bool> {
    let record = &fleet.record;
    let controls = fleet.controls();
    let names: Vec<&str> = (0..3).map(|step| controls[(index + step) % 3].as_str()).collect();
    let (frozen, others) = (names[0], &names[1..]);
    let target = format!("/api/evacuate/{zone}");
    record.say(&format!("--- {zone}"));
    fleet.order(&format!("POST {target}"), &names, "POST", &target, b"", ACK)?;
    thread::sleep(Duration::from_secs(2));

    let began = Instant::now();
    if has_trouble {
        signal(fleet, frozen, "STOP");
    }
    // Without an answer from the first within a second the operator moves on. It would still take a
    // late one, so it leaves the connection open.
    let unanswered = delete_first(fleet, frozen, &target)?;
    if unanswered.is_some() {
        fleet.order(&format!("DELETE {target}"), others, "DELETE", &target, b"", ACK)?;
    }
    thread::sleep(Duration::from_secs(3).saturating_sub(began.elapsed()));
    fleet.order(&format!("POST {target}, again"), others, "POST", &target, b"", ACK)?;
    let evacuated = Instant::now();
    let evacuated_at = record.elapsed();
    thread::sleep(FROZEN.saturating_sub(began.elapsed()));
    if has_trouble {
        signal(fleet, frozen, "CONT");
    }

    if let Some(mut connection) = unanswered {
        match connection.read(Instant::now() + CONTACT_WINDOW) {
            Ok(answer) => {
                record.say(&format!("operator: late answer {} from {frozen}", answer.status()))
            }
            Err(error) => record.say(&format!("operator: no late answer from {frozen}: {error}")),
        }
    }
    thread::sleep(CONTACT_WINDOW);
    thread::sleep((EVACUATE + Duration::from_millis(500)).saturating_sub(evacuated.elapsed()));
    let fronts = fleet.entries().iter().map(|name| fleet.front(name)).collect::<Vec<_>>();
    for front in fronts {
        send_all(front, zone, record)?;
    }
    let servers = fleet.platform.servers.lock().unwrap().clone();
    let is_in_zone = |id: &str| servers.iter().any(|server| server.id == id && server.zone == zone);
    let arrivals = fleet.arrivals.lock().unwrap().clone();
    let late = arrivals
        .iter()
        .filter(|arrival| is_in_zone(&arrival.server) && arrival.at > evacuated_at + EVACUATE)
        .count();
    record.say(&format!(
        "{late} of {} requests reached {zone} more than {} s after its evacuation was acknowledged",
        REQUESTS * ENTRIES.len(),
        EVACUATE.as_secs()
    ));
    fleet.order(&format!("DELETE {target}"), &names, "DELETE", &target, b"", ACK)?;
    Ok(late > 0)
}

/// Sends the order to one control process. Returns the connection if there is no answer within a
/// second.
fn delete_first(fleet: &Fleet, name: &str, target: &str) -> io::Result<Option<Connection>> {
    let record = &fleet.record;
    let mut connection = Connection::open(fleet.control(name))?;
    record.line(&format!("operator sends DELETE {target} to {name}"));
    let request = format!("DELETE {target} HTTP/1.1\r\nHost: {}\r\n\r\n", fleet.control(name));
    connection.send(request.as_bytes())?;
    match connection.read(Instant::now() + Duration::from_secs(1)) {
        Ok(answer) => {
            record.say(&format!("operator: DELETE {target} gets {} from {name}", answer.status()));
            Ok(None)
        }
        Err(error) => {
            record.say(&format!(
                "operator: DELETE {target} gets no answer from {name} within a second: {error}"
            ));
            Ok(Some(connection))
        }
    }
}

fn signal(fleet: &Fleet, name: &str, signal: &str) {
    let id = fleet.processes[name].id().to_string();
    Command::new("kill").args(["-s", signal, &id]).status().ok();
    fleet.record.say(&format!("SIG{signal} to {name}"));
}

fn send_all(front: SocketAddr, zone: &str, record: &Record) -> io::Result<()> {
    let mut connection = Connection::open(front)?;
    for number in 0..REQUESTS {
        let id = format!("{zone}-{}-{number}", front.ip());
        let request = format!(
            "GET /menu/{number}?ms=3 HTTP/1.1\r\nHost: {HOST}\r\nBulrushspan-Request-Id: {id}\r\nCookie: Bulrushspan-Affinity-Key={id}\r\nBulrushspan-Deadline-Ms: 3000\r\n\r\n"
        );
        record.line(&format!("{id} is sent"));
        connection.send(request.as_bytes())?;
        let answer = connection.read(Instant::now() + Duration::from_secs(4))?;
        record.line(&format!("{id} gets {}", answer.status()));
    }
    Ok(())
}
