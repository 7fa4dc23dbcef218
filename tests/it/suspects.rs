//! Tests of requests under which upstreams crash: without I/O.

use std::{collections::BTreeMap, time::Duration};

use bulrushspan::core::{
    control::Suspect,
    suspects::{CRASH_RETENTION, CrashReport, Suspects},
};

const NOW: Duration = Duration::from_secs(100);

fn report(fingerprint: &str, upstream: &str) -> CrashReport {
    CrashReport { fingerprint: fingerprint.to_owned(), upstream: upstream.to_owned() }
}

fn crash(suspects: &mut Suspects, fingerprint: &str, upstream: &str, now: Duration) {
    let id = upstream.to_owned();
    suspects.record_broken_off(&id, fingerprint.to_owned(), now);
    suspects.record_crashed(&id, &id, now);
}

/// Broken connections alone, as networks and faulty upstreams cause, must not stop a request.
#[test]
fn a_broken_connection_counts_only_if_the_upstream_crashed() {
    let mut suspects = Suspects::default();
    for upstream in ["u1", "u2", "u3", "u4"] {
        let id = upstream.to_owned();
        suspects.record_broken_off(&id, "f".to_owned(), NOW);
        suspects.record_not_crashed(&id);
        let crashed = suspects.record_crashed(&id, &id, NOW);
        assert!(crashed.is_empty(), "it was known not to have crashed");
    }
    let id = "u5".to_owned();
    suspects.record_broken_off(&id, "f".to_owned(), NOW);
    let later = NOW + Duration::from_secs(11);
    crash(&mut suspects, "g", "u6", later);
    assert!(suspects.record_crashed(&id, &id, later).is_empty(), "it crashed much later");
    assert!(!suspects.is_refused(&"f".to_owned(), &BTreeMap::new()));
}

/// Each instance sees some of the crashes only, and a request must be refused by all of them.
#[test]
fn crashes_seen_here_and_reported_by_others_add_up() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, "f", "u1", NOW);
    crash(&mut suspects, "f", "u1", NOW);
    crash(&mut suspects, "innocent", "u1", NOW);
    let crashed = ["u1", "u2"].map(str::to_owned).into();
    let suspect = Suspect { crashed, at_unix_ms: 0 };
    let mut reported = BTreeMap::from([("f".to_owned(), suspect)]);
    assert_eq!(suspects.unreported(&reported), [report("innocent", "u1")]);
    assert!(!suspects.is_refused(&"f".to_owned(), &reported), "two upstreams crashed");
    reported.get_mut("f").unwrap().crashed.insert("u3".to_owned());
    assert!(suspects.is_refused(&"f".to_owned(), &reported));
    assert!(!suspects.is_refused(&"innocent".to_owned(), &reported));
    crash(&mut suspects, "other", "u9", NOW + CRASH_RETENTION);
    assert_eq!(suspects.unreported(&BTreeMap::new()), [report("other", "u9")], "old ones expire");
}
