//! The cases. Each returns what broke its rule, or nothing if the rule held.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    path::Path,
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, OnceLock,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{ask, ask_on, new_id, Ask, Reply, HOST},
    deployment::{Answer, Copied, Deployment, Record, ServerState},
    http::Message,
};

type Outcome = io::Result<Option<String>>;

pub fn play(case: &str, root: &Path, record: Record, has_trouble: bool) -> Outcome {
    match case {
        "cut-refusal" => cut_refusal(root, record, has_trouble),
        "cut-answer" => cut_answer(root, record, has_trouble),
        "keep-alive" => keep_alive(root, record, has_trouble),
        "restored-service" => restored_service(root, record, has_trouble),
        "first-version" => first_version(root, record, has_trouble),
        other => Err(io::Error::other(format!("there is no case {other}"))),
    }
}

const ZONES: [(&str, &str); 3] =
    [("pos-a", "port-of-spain"), ("sfo-a", "san-fernando"), ("ari-a", "arima")];
/// `contact_window_s` of the settings, and a little more.
const CONTACT_WINDOW: Duration = Duration::from_millis(4500);
/// A faulty server spoils at most one of so many answers: less than the share 0.03 that `garble`
/// has in the site file.
const SPOILED_INTERVAL: u32 = 34;
/// How long a faulty server spoils answers: the length that `garble` has there.
const SPOILED_TIME: Duration = Duration::from_secs(5);
/// A server fails one of so many requests by itself: `error_share` of `menu-lookup`, 0.004.
const FAILURE_INTERVAL: u32 = 250;

/// Returns a deployment with one front and three control replicas, none of which is started.
fn deployment(root: &Path, record: &Record) -> io::Result<Deployment> {
    Deployment::new(record.clone(), root, &ZONES, &["pos-a", "sfo-a", "ari-a"], &["pos-a"])
}

fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_s: f64) -> String {
    format!(
        r#"{{"type":"routes","meta":{{"name":"{name}"}},"spec":{{"host":"{HOST}","path_prefix":"{prefix}","kind":"{kind}","timeout_s":{timeout_s},"slo_s":0.6,"priority":1,"service":"{service}","max_attempts":2,"sticky":true,"home_regions":[]}}}}"#
    )
}

fn service(name: &str) -> String {
    format!(
        r#"{{"type":"services","meta":{{"name":"{name}"}},"spec":{{"health_path":"/healthz","max_conns":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":3.7}}}}"#
    )
}

/// Returns the answer, or a refusal if the server is full.
fn serve(is_full: bool, answer: Answer) -> Answer {
    if is_full {
        Answer::not_run()
    } else {
        answer
    }
}

/// The time in which a faulty server spoils answers, from its first request on.
#[derive(Default)]
struct Window(OnceLock<Instant>);

impl Window {
    fn is_open(&self) -> bool {
        self.0.get_or_init(Instant::now).elapsed() < SPOILED_TIME
    }
}

/// Has clients send requests at the same time for a while, and returns their replies.
fn send_at_once(deployment: &Deployment, clients: usize, method: &'static str) -> Vec<Reply> {
    let front = deployment.front(0);
    let until = Instant::now() + SPOILED_TIME + Duration::from_secs(3);
    let threads: Vec<_> = (0..clients)
        .map(|client| {
            let record = deployment.record.clone();
            thread::spawn(move || {
                let mut replies = Vec::new();
                for number in 0.. {
                    if Instant::now() > until {
                        break;
                    }
                    let key = (client * 31 + number * 7) % 24;
                    let request = Ask::new(method, format!("/desk/{client}-{number}"), key);
                    replies.push(ask(&record, front, &request));
                    thread::sleep(Duration::from_millis(20));
                }
                replies
            })
        })
        .collect();
    threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
}

fn count_status(replies: &[Reply], status: u16) -> usize {
    replies.iter().filter(|reply| reply.status == status).count()
}

/// Returns how often each request ran, on all servers together.
fn runs(servers: &[Arc<ServerState>]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for server in servers {
        for id in server.runs.lock().unwrap().iter() {
            *runs.entry(id.clone()).or_default() += 1;
        }
    }
    runs
}

/// One of two servers, which is full at times, sends the beginning of a refusal a second time,
/// late: right before its next answer to a request that it runs.
fn cut_refusal(root: &Path, record: Record, has_trouble: bool) -> Outcome {
    let mut deployment = deployment(root, &record)?;
    let (since_spoiled, window) = (AtomicU32::new(0), Window::default());
    let behave = move |_: &Message, is_full: bool| {
        let is_due = since_spoiled.fetch_add(1, Ordering::SeqCst) >= SPOILED_INTERVAL;
        let may_spoil = has_trouble && is_due && window.is_open();
        if !is_full || !may_spoil {
            return serve(is_full, Answer::run(60));
        }
        since_spoiled.store(0, Ordering::SeqCst);
        Answer::not_run().copied(Copied::ToSecondField)
    };
    let faulty = deployment.start_server_with((2, 1), "i-desk-0", "desk", "pos-a", behave)?;
    let sound = deployment
        .start_server("i-desk-1", "desk", "pos-a", |_, is_full| serve(is_full, Answer::run(60)))?;
    deployment.start()?;
    deployment.put_config(&[route("r-desk", "/desk/", "unsafe", "desk", 1.2), service("desk")])?;
    deployment.wait_ready()?;
    // After `retry_window_s`, the front knows its share of the retries.
    thread::sleep(Duration::from_secs(12));
    let replies = send_at_once(&deployment, 10, "POST");
    let runs = runs(&[faulty, sound]);
    let twice: Vec<&String> =
        runs.iter().filter(|(_, count)| **count > 1).map(|(id, _)| id).collect();
    let refused = replies.iter().filter(|reply| reply.status == 503);
    let falsely_refused = refused.filter(|reply| runs.contains_key(&reply.id)).count();
    record.say(format!(
        "{} unsafe requests: {} got 200, {} 502, {} 503; {} ran twice ({twice:?}); {} were \
         answered 503 and had run",
        replies.len(),
        count_status(&replies, 200),
        count_status(&replies, 502),
        count_status(&replies, 503),
        twice.len(),
        falsely_refused,
    ));
    Ok((!twice.is_empty())
        .then(|| format!("TWICE: {} unsafe requests ran on two servers", twice.len())))
}

/// One of two servers, which fails some requests, sends the beginning of an earlier answer a
/// second time, late: right before it answers with a failure.
fn cut_answer(root: &Path, record: Record, has_trouble: bool) -> Outcome {
    let mut deployment = deployment(root, &record)?;
    let (answers, window) = (AtomicU32::new(0), Window::default());
    let faulty = deployment.start_server("i-desk-0", "desk", "pos-a", move |_, is_full| {
        let may_spoil = has_trouble && window.is_open();
        if is_full || (answers.fetch_add(1, Ordering::SeqCst) + 1) % FAILURE_INTERVAL != 0 {
            return serve(is_full, Answer::run(10));
        }
        let failure = Answer::run(10).with_status(500);
        if may_spoil {
            failure.after_copy("HTTP/1.1 200 O")
        } else {
            failure
        }
    })?;
    deployment
        .start_server("i-desk-1", "desk", "pos-a", |_, is_full| serve(is_full, Answer::run(10)))?;
    deployment.start()?;
    deployment.put_config(&[route("r-desk", "/desk/", "safe", "desk", 3.0), service("desk")])?;
    deployment.wait_ready()?;
    thread::sleep(CONTACT_WINDOW);
    let replies = send_at_once(&deployment, 16, "GET");
    let failed: BTreeSet<String> = faulty.failures.lock().unwrap().iter().cloned().collect();
    let wrong: Vec<&String> = replies
        .iter()
        .filter(|reply| reply.status == 200 && failed.contains(&reply.id))
        .map(|reply| &reply.id)
        .collect();
    record.say(format!(
        "{} requests: {} got 200, {} 500, {} 502; the server answered {} with 500, and the \
         clients got 200 for {} of these ({wrong:?})",
        replies.len(),
        count_status(&replies, 200),
        count_status(&replies, 500),
        count_status(&replies, 502),
        failed.len(),
        wrong.len(),
    ));
    Ok((!wrong.is_empty()).then(|| {
        format!("MIXED: {} clients got a success where the server answered a failure", wrong.len())
    }))
}

/// The servers of a service state the longest time of a signed 64-bit number in `Keep-Alive`.
fn keep_alive(root: &Path, record: Record, has_trouble: bool) -> Outcome {
    let mut deployment = deployment(root, &record)?;
    let value = if has_trouble { "timeout=9223372036854775807" } else { "timeout=10" };
    for number in 0..3 {
        let zone = ZONES[number].0;
        deployment.start_server(&format!("i-desk-{number}"), "desk", zone, move |_, is_full| {
            serve(is_full, Answer::run(60).with_field("Keep-Alive", value))
        })?;
        deployment.start_server(&format!("i-menu-{number}"), "menu", zone, |_, is_full| {
            serve(is_full, Answer::run(20).with_field("Keep-Alive", "timeout=10"))
        })?;
    }
    deployment.start()?;
    deployment.put_config(&[
        route("r-desk", "/desk/", "unsafe", "desk", 3.0),
        service("desk"),
        route("r-menu", "/menu/", "safe", "menu", 3.0),
        service("menu"),
    ])?;
    deployment.wait_ready()?;
    thread::sleep(CONTACT_WINDOW);
    let front = deployment.front(0);
    let (mut looked_up, mut lost) = (0, 0);
    for number in 0..20 {
        // Both requests are sent on one connection.
        let mut kept = None;
        let look_up = Ask::new("GET", format!("/menu/{number}"), number);
        looked_up +=
            usize::from(ask_on(&record, &mut kept, front, &look_up, new_id()).status == 200);
        let booking = Ask::new("POST", format!("/desk/{number}"), number);
        if kept.is_some() {
            let reply = ask_on(&record, &mut kept, front, &booking, new_id());
            lost += usize::from(reply.status == 0);
        }
    }
    record.say(format!(
        "{looked_up} of 20 look-ups were answered; then, on the same connections, {lost} of 20 \
         bookings got no answer"
    ));
    Ok((lost > 3).then(|| {
        format!("LOST: {lost} requests were passed on, and their connections closed unanswered")
    }))
}

/// Sends requests with different keys one after the other, and returns how many were served.
fn count_served(deployment: &Deployment, prefix: &str, count: usize) -> usize {
    let replies = (0..count).map(|number| {
        thread::sleep(Duration::from_millis(100));
        let request = Ask::new("GET", format!("{prefix}{number}"), number);
        ask(&deployment.record, deployment.front(0), &request)
    });
    replies.filter(|reply| reply.status == 200 && reply.has_stamp).count()
}

/// A configuration drops a service. While the last requests for it run, half of the connections to
/// its servers are reset. Later a configuration adds the service again.
fn restored_service(root: &Path, record: Record, has_trouble: bool) -> Outcome {
    let mut deployment = deployment(root, &record)?;
    let mut files = Vec::new();
    for number in 0..3 {
        let zone = ZONES[number].0;
        deployment.start_server(&format!("i-desk-{number}"), "desk", zone, |_, is_full| {
            serve(is_full, Answer::run(60))
        })?;
        let id = format!("i-files-{number}");
        files.push(deployment.start_server(&id, "files", zone, |request, is_full| {
            let work_ms = if request.target().contains("report") { 3500 } else { 60 };
            serve(is_full, Answer::run(work_ms))
        })?);
    }
    deployment.start()?;
    let without = [route("r-desk", "/desk/", "safe", "desk", 3.0), service("desk")];
    let with = [
        without[0].clone(),
        without[1].clone(),
        route("r-files", "/files/", "safe", "files", 6.0),
        service("files"),
    ];
    deployment.put_config(&with)?;
    deployment.wait_ready()?;
    thread::sleep(CONTACT_WINDOW);
    let before = count_served(&deployment, "/files/before-", 10);
    record.say(format!("before: {before} of 10 requests for the service were served"));
    // Enough requests for each of its servers to run some.
    let front = deployment.front(0);
    let reports: Vec<_> = (0..24)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let mut request = Ask::new("GET", format!("/files/report-{number}"), number);
                request.deadline_ms = 12_000;
                ask(&record, front, &request)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    deployment.put_config(&without)?;
    thread::sleep(Duration::from_millis(1500));
    if has_trouble {
        for server in &files {
            let (reset, open) = server.reset_half();
            record.line(format!("{reset} of {open} connections to {} are reset", server.id));
        }
    }
    for report in reports {
        report.join().ok();
    }
    thread::sleep(Duration::from_secs(1));
    deployment.put_config(&with)?;
    // Longer than `contact_window_s` after the reset, and than `config_s` after the change.
    thread::sleep(Duration::from_secs(6));
    let first = count_served(&deployment, "/desk/after-", 40);
    let later = count_served(&deployment, "/files/after-", 40);
    record.say(format!(
        "after: {first} of 40 requests on the first route were served, and {later} of 40 on the \
         route that was added again"
    ));
    Ok((later * 4 < first).then(|| {
        format!("CONFIG: the route that was added served {later} of 40, the first {first} of 40")
    }))
}

/// The first configuration that the operator sends has version 0.
fn first_version(root: &Path, record: Record, has_trouble: bool) -> Outcome {
    let mut deployment = deployment(root, &record)?;
    for number in 0..3 {
        let id = format!("i-desk-{number}");
        deployment.start_server(&id, "desk", ZONES[number].0, |_, is_full| {
            serve(is_full, Answer::run(60))
        })?;
    }
    deployment.start()?;
    let version = if has_trouble { 0 } else { 1 };
    let resources = [route("r-desk", "/desk/", "safe", "desk", 3.0), service("desk")];
    deployment.put_version(version, &resources)?;
    record.say(format!("version r{version} was acknowledged"));
    // Longer than `contact_window_s` and `config_s`.
    thread::sleep(Duration::from_secs(8));
    let served = count_served(&deployment, "/desk/", 30);
    let statuses = deployment.read_config(CONTACT_WINDOW);
    let has_version = statuses.iter().any(|(status, body)| {
        *status == 200 && body.contains(&format!("\"version\":\"r{version}\""))
    });
    let statuses: Vec<u16> = statuses.into_iter().map(|(status, _)| status).collect();
    record.say(format!(
        "{served} of 30 requests were served; the configuration was read with {statuses:?}, and \
         came back: {has_version}"
    ));
    Ok((!has_version && served == 0).then(|| {
        "CONFIG: the acknowledged configuration is not in force, and doesn't come when it is read"
            .to_owned()
    }))
}
