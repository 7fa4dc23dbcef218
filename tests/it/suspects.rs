//! Tests of requests under which upstreams crash: without I/O.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bulrushspan::core::{
    control::Suspect,
    suspects::{CRASH_RETENTION, CrashReport, Suspects},
};

const NOW: Duration = Duration::from_secs(100);

fn report(fingerprint: &str, upstream: &str) -> CrashReport {
    CrashReport { fingerprint: fingerprint.to_owned(), upstream: upstream.to_owned() }
}

/// Records the crash of the first start of an upstream under a request.
fn crash(suspects: &mut Suspects, fingerprint: &str, upstream: &str, now: Duration) {
    let id = upstream.to_owned();
    suspects.record_broken_off(&id, Some(1), fingerprint.to_owned(), now);
    suspects.record_crashed(&id, now);
}

/// Broken connections alone, as networks and faulty upstreams cause, must not stop a request.
#[test]
fn a_broken_connection_counts_only_if_the_upstream_crashed() {
    let mut suspects = Suspects::default();
    for upstream in ["u1", "u2", "u3", "u4"] {
        let id = upstream.to_owned();
        suspects.record_broken_off(&id, Some(1), "f".to_owned(), NOW);
        suspects.record_not_crashed(&id);
        let crashed = suspects.record_crashed(&id, NOW);
        assert!(crashed.is_empty(), "it was known not to have crashed");
    }
    let id = "u5".to_owned();
    suspects.record_broken_off(&id, Some(1), "f".to_owned(), NOW);
    let later = NOW + Duration::from_secs(11);
    crash(&mut suspects, "g", "u6", later);
    assert!(suspects.record_crashed(&id, later).is_empty(), "it crashed much later");
    assert!(!suspects.is_refused(&"f".to_owned(), &BTreeMap::new()));
}

/// Each instance sees some of the crashes only, and a request must be refused by all of them.
#[test]
fn crashes_seen_here_and_reported_by_others_add_up() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, "f", "u1", NOW);
    crash(&mut suspects, "innocent", "u7", NOW);
    let crashed = ["u1/1/1", "u2/1/1"].map(str::to_owned).into();
    let suspect = Suspect { crashed, at_unix_ms: 0 };
    let mut reported = BTreeMap::from([("f".to_owned(), suspect)]);
    assert_eq!(suspects.unreported(&reported), [report("innocent", "u7/1/1")]);
    assert!(!suspects.is_refused(&"f".to_owned(), &reported), "two upstreams crashed");
    reported.get_mut("f").unwrap().crashed.insert("u3/1/1".to_owned());
    assert!(suspects.is_refused(&"f".to_owned(), &reported));
    assert!(!suspects.is_refused(&"innocent".to_owned(), &reported));
    crash(&mut suspects, "other", "u9", NOW + CRASH_RETENTION);
    assert_eq!(
        suspects.unreported(&BTreeMap::new()),
        [report("other", "u9/1/1")],
        "old ones expire"
    );
}

/// Guards against an ordinary request that is refused for ten minutes after a single crash, since
/// each of several instances that had it at that upstream counted the crash as another one.
#[test]
fn a_crash_that_several_instances_see_counts_once() {
    let mut crashed = BTreeSet::new();
    for _ in 0..4 {
        let mut suspects = Suspects::default();
        crash(&mut suspects, "f", "u1", NOW);
        crashed.extend(suspects.unreported(&BTreeMap::new()).into_iter().map(|it| it.upstream));
    }
    assert_eq!(crashed.len(), 1, "{crashed:?}");
    let reported = BTreeMap::from([("f".to_owned(), Suspect { crashed, at_unix_ms: 0 })]);
    assert!(!Suspects::default().is_refused(&"f".to_owned(), &reported));
}

/// Guards against a request that crashes an upstream again and again while the list still shows
/// its first start.
#[test]
fn crashes_of_one_upstream_add_up() {
    let mut suspects = Suspects::default();
    for _ in 0..2 {
        crash(&mut suspects, "f", "u1", NOW);
    }
    assert!(!suspects.is_refused(&"f".to_owned(), &BTreeMap::new()));
    let id = "u1".to_owned();
    suspects.record_broken_off(&id, Some(2), "f".to_owned(), NOW);
    suspects.record_crashed(&id, NOW);
    assert!(suspects.is_refused(&"f".to_owned(), &BTreeMap::new()));
}
