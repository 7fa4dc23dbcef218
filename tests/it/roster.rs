//! Tests of which entry instances' addresses are returned to callers.

use std::time::Duration;

use bulrushspan::core::roster::{AnnouncedInstance, INSTANCES_MAX, Roster};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn roster(entries: &[(&str, &str, bool, u64)]) -> Roster {
    let zones = [("a", "north"), ("b", "north"), ("c", "south")];
    let regions = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned())).into();
    let mut roster = Roster::new(regions, millis(0));
    for (index, (name, zone, is_ready, announced_at_ms)) in entries.iter().enumerate() {
        let entry = AnnouncedInstance {
            zone: (*zone).to_owned(),
            address: format!("10.0.{}.{}:80", index / 256, index % 256).parse().unwrap(),
            relay_address: format!("10.0.{}.{}:7660", index / 256, index % 256).parse().unwrap(),
            is_ready: *is_ready,
            reaches_upstreams: true,
            has_lost_links: false,
            announced_at: millis(*announced_at_ms),
        };
        assert!(roster.record_announcement((*name).to_owned(), entry));
    }
    roster
}

fn addresses(roster: &Roster, zone: &str, ms: u64) -> Vec<String> {
    let addresses = roster.addresses_for("north", zone, millis(ms));
    addresses.into_iter().map(|address| address.ip().to_string()).collect()
}

#[test]
fn the_nearest_ready_instances_with_a_recent_announcement_are_returned() {
    let mut roster = roster(&[
        ("e0", "a", true, 5000),
        ("e1", "a", true, 5000),
        ("e2", "a", false, 5000),
        ("e3", "a", true, 100),
        ("e4", "b", true, 5000),
        ("e5", "c", true, 5000),
    ]);
    assert_eq!(addresses(&roster, "a", 5100), ["10.0.0.0", "10.0.0.1"]);
    assert_eq!(
        addresses(&roster, "b", 5100).len(),
        3,
        "one address is too few, so those of the region are returned"
    );
    assert_eq!(addresses(&roster, "unheard", 5100).len(), 3);
    (0..=5100).step_by(100).for_each(|ms| roster.record_beat(millis(ms)));
    assert_eq!(roster.up_count(millis(5100)), Some(5));
}

#[test]
fn ranks_count_the_instances_that_are_up_in_the_order_of_their_names() {
    let roster = roster(&[
        ("e0", "a", true, 5000),
        ("e1", "c", false, 5000),
        ("e2", "a", true, 100),
        ("e3", "b", true, 5000),
    ]);
    let rank = |name| roster.rank_of(name, millis(5100));
    assert_eq!(["e0", "e1", "e3", "e4"].map(rank), [0, 1, 2, 3]);
}

/// Guards against limits shared out by too low a count: a replica that had just started, or had
/// been stopped, reported the instances that it had heard so far.
#[test]
fn no_count_is_reported_while_announcements_may_be_missing() {
    let mut roster = roster(&[("e0", "a", true, 100), ("e1", "a", true, 4000)]);
    let mut count_at = |ms| {
        roster.record_beat(millis(ms));
        roster.up_count(millis(ms))
    };
    for ms in (0..2000).step_by(100) {
        assert_eq!(count_at(ms), (ms >= 1200).then_some(2), "{ms}");
    }
    // The process is stopped from 1,900 ms to 4,000 ms.
    for ms in (4000..6000).step_by(100) {
        assert_eq!(count_at(ms), (ms > 5200).then_some(1), "{ms}");
    }
    assert_eq!(roster.up_count(millis(7200)), None, "the process is stopped again");
}

#[test]
fn no_address_is_returned_during_warm_up() {
    let roster = roster(&[("e0", "a", true, 100), ("e1", "a", true, 100)]);
    assert!(addresses(&roster, "a", 500).is_empty());
    assert_eq!(addresses(&roster, "a", 1300).len(), 2);
}

/// Announcements under ever new names, which anyone can send: all were kept for a minute.
#[test]
fn the_number_of_recorded_instances_is_limited() {
    let names: Vec<String> = (0..INSTANCES_MAX).map(|number| format!("e{number}")).collect();
    let entries: Vec<_> = names.iter().map(|name| (name.as_str(), "a", true, 1000)).collect();
    let mut roster = roster(&entries);
    let entry = AnnouncedInstance {
        zone: "a".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        relay_address: "10.0.0.1:7660".parse().unwrap(),
        is_ready: true,
        reaches_upstreams: true,
        has_lost_links: false,
        announced_at: millis(2000),
    };
    assert!(!roster.record_announcement("another".to_owned(), entry.clone()));
    assert!(roster.record_announcement("e1".to_owned(), entry.clone()), "it is known");
    roster.remove_expired(millis(61_500));
    assert!(roster.record_announcement("another".to_owned(), entry));
}
