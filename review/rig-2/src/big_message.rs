//! One machine loses its disk while the log holds many changes of a large configuration. It is sent
//! the whole log in one message, which takes the sender over its memory, one leader after the other.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    big_log::{ALL, FIRST_ROUTES, MORE_ROUTES, Platform, configuration},
    fleet::{Fleet, Record},
};

/// How often the configuration grows, and the changes after that.
const GROWTHS: u32 = 7;
const CHANGES: u32 = 150;
/// The machine that loses its disk.
const LOST: &str = "core-2";
/// How long the machines are watched after that; `catch_up_s` is 4.
const WATCH: Duration = Duration::from_secs(40);
/// The ends of its own that the rule allows a machine.
const ENDS_MAX: u32 = 2;

/// Returns 1 if processes of both other machines end by themselves three times, 0 if not, and 2 if
/// the case can't run.
pub fn run(record: Record, trouble: bool) -> i32 {
    let mut fleet = Fleet::new(record.clone(), ALL.len());
    for name in ALL {
        fleet.start(name, true);
    }
    let mut platform = Platform::new(record.clone());
    let mut routes = FIRST_ROUTES;
    for version in 1..=1 + GROWTHS + CHANGES {
        if (2..=1 + GROWTHS).contains(&version) {
            routes += MORE_ROUTES;
        }
        let body = configuration(version, routes).into_bytes();
        let mut order = fleet.start_order(version as usize % ALL.len(), "PUT", "/api/config", body);
        let answer = loop {
            platform.check(&mut fleet);
            if let Some(answer) = order.poll() {
                break answer;
            }
            thread::sleep(Duration::from_millis(2));
        };
        if answer.is_none() || !platform.ends.is_empty() {
            record.line(format!(
                "r{version}: {answer:?}, ends {:?}; the case can't run",
                platform.ends
            ));
            return 2;
        }
    }
    // `contact_window_s`.
    platform.watch(&mut fleet, Duration::from_secs(4));
    let acknowledged = u64::from(1 + GROWTHS + CHANGES);
    record.line(format!(
        "r{acknowledged} of {routes} routes acknowledged; peak MB {:?}",
        platform.peak_mb
    ));
    if trouble {
        fleet.kill(LOST);
        fleet.wipe(LOST);
        fleet.start(LOST, false);
    }
    let until = Instant::now() + WATCH;
    let (mut reads, mut newest) = (0, 0);
    while Instant::now() < until {
        platform.watch(&mut fleet, Duration::from_millis(500));
        for name in ALL {
            if platform.is_down(name) {
                continue;
            }
            reads += 1;
            newest += u32::from(fleet.read_version(name).1 == Some(acknowledged));
            platform.check(&mut fleet);
        }
    }
    record.line(format!(
        "{newest} of {reads} reads in {} s got r{acknowledged}; ends of processes: {:?}, peak MB {:?}",
        WATCH.as_secs(),
        platform.ends,
        platform.peak_mb
    ));
    let others = ALL.iter().filter(|name| **name != LOST);
    let ended =
        others.filter(|name| platform.ends.get(**name).is_some_and(|ends| *ends > ENDS_MAX));
    i32::from(ended.count() >= 2)
}
