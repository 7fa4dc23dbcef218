//! A control machine that was killed while it took a snapshot over loses, at its next start, all
//! that it has made durable since.

use std::{
    fs,
    os::unix::fs::MetadataExt,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, Record},
    http::call,
};

/// The number of routes of a configuration, and of configurations before the first disruption.
const ROUTES: u32 = 100;
const CHANGES: u32 = 240;
/// How often the kill during the catch-up is tried.
const ATTEMPTS: u32 = 20;
/// The pause before the next try.
const MISS_PAUSE: Duration = Duration::from_secs(1);
/// `catch_up_s` and `recovery_s` of the settings.
const CATCH_UP: Duration = Duration::from_secs(4);
const RECOVERY: Duration = Duration::from_secs(15);
const ALL: [&str; 3] = ["core-1", "core-2", "core-3"];

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
const SIGKILL: i32 = 9;

/// Returns a configuration with this version, whose routes differ from those of the one before.
fn configuration(version: u32) -> String {
    let mut resources = Vec::new();
    for route in 0..ROUTES {
        let timeout = 2.0 + f64::from((version + route) % 10) / 10_f64;
        resources.push(format!(
            r#"{{"type":"routes","meta":{{"name":"route-{route}"}},"spec":{{"host":"desk.example","path_prefix":"/path{route}/","kind":"safe","timeout_s":{timeout},"slo_s":0.5,"priority":2,"service":"desk","max_attempts":2,"sticky":true,"home_regions":[]}}}}"#
        ));
    }
    resources.push(r#"{"type":"services","meta":{"name":"desk"},"spec":{"health_path":"/healthz","max_conns":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":3.7}}"#.to_owned());
    resources.push(r#"{"type":"limits","meta":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#.to_owned());
    format!(r#"{{"version":"r{version}","resources":[{}]}}"#, resources.join(","))
}

fn put(fleet: &Fleet, names: &[&str], version: u32) -> Option<String> {
    let body = configuration(version);
    fleet.order(names, "PUT", "/api/config", body.as_bytes(), Duration::from_secs(20))
}

fn inode(path: &Path) -> Option<u64> {
    fs::metadata(path).ok().map(|metadata| metadata.ino())
}

/// Kills a process as soon as its data folder holds a snapshot. Returns whether its log was then
/// still the one from before the snapshot.
fn kill_at_snapshot(fleet: &mut Fleet, name: &str) -> Option<bool> {
    let folder = fleet.data_folder(name);
    let (snapshot, log) = (folder.join("snapshot"), folder.join("log"));
    let deadline = Instant::now() + Duration::from_secs(10);
    let pid = fleet.pid(name) as i32;
    let mut log_before = None;
    while Instant::now() < deadline {
        if snapshot.exists() {
            // SAFETY: the call only sends a signal to a child that has not been waited for.
            unsafe { kill(pid, SIGKILL) };
            fleet.kill(name);
            return Some(log_before.is_some() && inode(&log) == log_before);
        }
        if log_before.is_none() {
            log_before = inode(&log);
        }
    }
    None
}

/// Returns 1 if an acknowledged configuration is lost, 0 if not, and 2 if that can't be told.
pub fn run(record: Record, trouble: bool) -> i32 {
    let mut fleet = Fleet::new(record.clone(), 3);
    for name in ALL {
        fleet.start(name, true);
    }
    let mut version = 0;
    for _ in 0..CHANGES {
        version += 1;
        if put(&fleet, &ALL, version).is_none() {
            record.line(format!("r{version} is not acknowledged; the case can't run"));
            return 2;
        }
    }
    record.line(format!(
        "{CHANGES} configurations of {ROUTES} routes acknowledged, up to r{version}"
    ));
    thread::sleep(Duration::from_secs(1));

    let mut hit = false;
    for attempt in 1..=if trouble { ATTEMPTS } else { 1 } {
        fleet.kill("core-2");
        fleet.wipe("core-2");
        fleet.start("core-2", false);
        if !trouble {
            break;
        }
        match kill_at_snapshot(&mut fleet, "core-2") {
            None => {
                record.line("core-2 took no snapshot over; the case can't run");
                return 2;
            }
            Some(is_between) => {
                record.line(format!(
                    "attempt {attempt}: core-2 killed while it caught up; its log was {}",
                    if is_between { "not rewritten yet" } else { "rewritten" }
                ));
                fleet.start("core-2", false);
                hit = is_between;
                if hit {
                    break;
                }
                thread::sleep(MISS_PAUSE);
            }
        }
    }
    if trouble && !hit {
        record.line("no kill came before the log was rewritten; the case can't run");
        return 2;
    }
    // Twice the time that the pages give a machine to catch up.
    thread::sleep(CATCH_UP * 2);
    for name in ALL {
        let (status, read) = fleet.read_version(name);
        record.line(format!("{name} reads {status} {read:?}"));
    }

    record.line("core-3 is dark while the configuration changes");
    fleet.kill("core-3");
    for _ in 0..3 {
        version += 1;
        match put(&fleet, &ALL[..2], version) {
            Some(name) => record.line(format!("r{version} acknowledged by {name}")),
            None => {
                record.line(format!("r{version} is not acknowledged; the case can't run"));
                return 2;
            }
        }
    }
    let acknowledged = u64::from(version);
    record.line("core-1 and core-2 are killed; core-1 comes back without its disk");
    fleet.kill("core-1");
    fleet.kill("core-2");
    fleet.wipe("core-1");
    for name in ALL {
        fleet.start(name, name == "nobody");
    }
    thread::sleep(RECOVERY);
    let mut result = 2;
    for _ in 0..3 {
        for name in ALL {
            let (status, read) = fleet.read_version(name);
            record
                .line(format!("{name} reads {status} {read:?}; r{acknowledged} was acknowledged"));
            match read {
                Some(read) if read < acknowledged => result = 1,
                Some(_) if result == 2 => result = 0,
                _ => {}
            }
        }
        thread::sleep(Duration::from_secs(1));
    }
    // Whether orders are still taken is recorded, but not judged.
    let evacuation =
        call(fleet.control("core-2"), "POST", "/api/evacuate/pos-a", b"", Duration::from_secs(3));
    record.line(format!("an evacuation: {:?}", evacuation.map(|response| response.status()).ok()));
    result
}
