//! A configuration that has grown by many routes changes often: the control processes keep up to
//! 200 whole copies of it in memory, whatever their size, and exceed the memory of their machines.

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{CONTROL_MEMORY_MB, Fleet, Record},
    memory::resident_mb,
};

pub const ALL: [&str; 3] = ["core-1", "core-2", "core-3"];
/// The routes at first, the routes of one `big_config`, and how often one comes.
pub const FIRST_ROUTES: u32 = 12;
pub const MORE_ROUTES: u32 = 380;
const GROWTHS: u32 = 10;
/// The changes after that, and the time within which they are sent.
const CHANGES: u32 = 190;
const CHANGES_MAX: Duration = Duration::from_secs(60);
/// How long after its end the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// How long the configuration is read at the end; it is more than `recovery_s`.
const READS: Duration = Duration::from_secs(20);

pub fn configuration(version: u32, routes: u32) -> String {
    let mut resources = Vec::new();
    for route in 0..routes {
        // Each version changes the timeout of one route.
        let changes = (version + routes - 1 - route) / routes;
        let timeout = 2.0 + f64::from(changes % 10) / 10_f64;
        resources.push(format!(
            r#"{{"type":"routes","meta":{{"name":"r-{route}"}},"spec":{{"host":"desk.example","path_prefix":"/p{route}/","kind":"safe","timeout_s":{timeout},"slo_s":0.5,"priority":2,"service":"desk","max_attempts":2,"sticky":true,"home_regions":[]}}}}"#
        ));
    }
    resources.push(r#"{"type":"services","meta":{"name":"desk"},"spec":{"health_path":"/healthz","max_conns":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":3.7}}"#.to_owned());
    resources.push(r#"{"type":"limits","meta":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#.to_owned());
    format!(r#"{{"version":"r{version}","resources":[{}]}}"#, resources.join(","))
}

/// The platform's care for the processes: it kills those that use too much memory, and starts
/// those again that have ended.
pub struct Platform {
    record: Record,
    pub ends: BTreeMap<String, u32>,
    restarts: BTreeMap<String, Instant>,
    pub peak_mb: BTreeMap<String, u64>,
}

impl Platform {
    pub fn new(record: Record) -> Self {
        let (ends, restarts, peak_mb) = Default::default();
        Self { record, ends, restarts, peak_mb }
    }

    pub fn check(&mut self, fleet: &mut Fleet) {
        for name in ALL {
            if let Some(at) = self.restarts.get(name).copied() {
                if Instant::now() >= at {
                    self.restarts.remove(name);
                    fleet.start(name, false);
                }
                continue;
            }
            let used_mb = resident_mb(fleet.pid(name));
            let peak_mb = self.peak_mb.entry(name.to_owned()).or_default();
            *peak_mb = used_mb.max(*peak_mb);
            let has_ended = !fleet.is_running(name);
            if !has_ended && used_mb <= CONTROL_MEMORY_MB {
                continue;
            }
            let reason = if has_ended { "ended by itself" } else { "is over its memory" };
            self.record.line(format!(
                "{name} {reason} ({used_mb} MB of {CONTROL_MEMORY_MB} MB); the platform starts it again"
            ));
            fleet.kill(name);
            *self.ends.entry(name.to_owned()).or_default() += 1;
            self.restarts.insert(name.to_owned(), Instant::now() + RESTART_DELAY);
        }
    }

    /// Returns whether a process has ended and is not started again yet.
    pub fn is_down(&self, name: &str) -> bool {
        self.restarts.contains_key(name)
    }

    pub fn watch(&mut self, fleet: &mut Fleet, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.check(fleet);
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Returns 1 if the newest acknowledged configuration doesn't come, 0 if it does, and 2 if the
/// case can't run.
pub fn run(record: Record, trouble: bool) -> i32 {
    let mut fleet = Fleet::new(record.clone(), ALL.len());
    for name in ALL {
        fleet.start(name, true);
    }
    let mut platform = Platform::new(record.clone());
    let mut routes = FIRST_ROUTES;
    let (mut version, mut acknowledged) = (0, 0);
    let mut began_at = Instant::now();
    while version < 1 + GROWTHS + CHANGES && began_at.elapsed() < CHANGES_MAX {
        version += 1;
        if trouble && (2..=1 + GROWTHS).contains(&version) {
            routes += MORE_ROUTES;
        }
        let body = configuration(version, routes);
        // Each of the machines in turn gets the order first.
        let first = version as usize % ALL.len();
        let mut order = fleet.start_order(first, "PUT", "/api/config", body.into_bytes());
        let deadline = Instant::now() + Duration::from_secs(20);
        let answer = loop {
            platform.check(&mut fleet);
            if let Some(answer) = order.poll() {
                break answer;
            }
            if Instant::now() > deadline {
                break None;
            }
            thread::sleep(Duration::from_millis(2));
        };
        match answer {
            Some(_) => acknowledged = version,
            None if acknowledged == 0 => {
                record.line("the first configuration is not acknowledged; the case can't run");
                return 2;
            }
            None => {
                record
                    .line(format!("r{version} of {routes} routes gets no acknowledgement in 20 s"));
                break;
            }
        }
        if version == 1 {
            began_at = Instant::now();
        }
        if version % 20 == 0 {
            record.line(format!(
                "r{version} of {routes} routes; r{acknowledged} is acknowledged; peak MB {:?}",
                platform.peak_mb
            ));
        }
    }
    record.line(format!(
        "the changes end; r{acknowledged} of {routes} routes is the newest acknowledged"
    ));
    let reads_until = Instant::now() + READS;
    let (mut newest_read, mut reads) = (None, 0);
    while Instant::now() < reads_until {
        platform.watch(&mut fleet, Duration::from_millis(400));
        for name in ALL {
            if platform.restarts.contains_key(name) {
                continue;
            }
            let (status, read) = fleet.read_version(name);
            reads += 1;
            if read.is_some() && read != newest_read {
                record.line(format!("{name} reads {status} {read:?}"));
            }
            newest_read = newest_read.max(read);
            platform.check(&mut fleet);
        }
    }
    record.line(format!(
        "{reads} reads in {} s; the newest is {newest_read:?}, r{acknowledged} was acknowledged; ends \
         of processes: {:?}, peak MB {:?}",
        READS.as_secs(),
        platform.ends,
        platform.peak_mb
    ));
    i32::from(newest_read.is_none_or(|read| read < u64::from(acknowledged)))
}
