//! Tests of the choice of an upstream for each request.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use bulrushspan::core::{
    MapDelta, RecentMax,
    balance::{Balancer, CheckResult, ColdLimit, Locality, Requirements},
    placement::object_id,
    routing::ServiceSpec,
    upstreams::{ListedState, ListedUpstream, ReportedLoad},
};

const SERVICE: &str = "orders";
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
const HEALTHY: CheckResult = CheckResult::Healthy { cold_left: Duration::ZERO };

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn upstream(id: &str, zone: &str) -> ListedUpstream {
    ListedUpstream {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: zone.to_owned(),
        version: "v1".to_owned(),
        slots: 4,
        state: ListedState::Ready,
        cold_left: Duration::ZERO,
        started_unix_ms: Some(1),
    }
}

/// Returns a delta that replaces the complete list of upstreams.
fn full_list(listed: &[ListedUpstream]) -> MapDelta<String, ListedUpstream> {
    let put = listed.iter().map(|upstream| (upstream.id.clone(), upstream.clone())).collect();
    MapDelta { version: 1, is_full: true, put, removed: Vec::new() }
}

fn services() -> BTreeMap<String, Arc<ServiceSpec>> {
    let service = ServiceSpec {
        health_path: "/health".to_owned(),
        connections_max: 100,
        protocol: "h1".to_owned(),
        tls: false,
        cold_start: millis(3000),
        cold_rate_per_s: 8.0,
    };
    [(SERVICE.to_owned(), service.into())].into()
}

/// Returns a balancer in zone `a` of region `north`, one of two entry instances.
fn balancer(listed: &[ListedUpstream]) -> Balancer {
    let zones = [("a", "north"), ("b", "north"), ("c", "south")];
    let locality = Locality {
        region: "north".to_owned(),
        zone: "a".to_owned(),
        regions_of_zones: zones.map(|(zone, region)| (zone.to_owned(), region.to_owned())).into(),
    };
    let mut balancer =
        Balancer::new(locality, ColdLimit { factor: 1.5, slack: 5.0, entry_count: 2 });
    balancer.set_services(services());
    balancer.apply_delta(full_list(listed), millis(0));
    balancer
}

/// Returns the upstream of a request, which is sent to it at once.
fn choose(
    balancer: &mut Balancer,
    key: u32,
    home_regions: &[String],
    tried: &[String],
    now: Duration,
) -> Option<String> {
    let service = SERVICE.to_owned();
    let object = object_id("route", &key.to_string());
    let requirements =
        Requirements { service: &service, object, has_large_body: false, home_regions, tried };
    let id = balancer.choose(&requirements, now)?.id;
    balancer.record_start(&id, now);
    balancer.record_sent(&id, now);
    balancer.record_end(&id, now);
    Some(id)
}

/// Returns the upstreams that requests for 200 different objects are sent to.
fn chosen_ids(balancer: &mut Balancer, home_regions: &[String], now: Duration) -> BTreeSet<String> {
    (0..200).filter_map(|key| choose(balancer, key, home_regions, &[], now)).collect()
}

fn id_set(ids: &[&str]) -> BTreeSet<String> {
    ids.iter().map(|id| (*id).to_owned()).collect()
}

#[test]
fn instances_agree_on_an_objects_upstream_and_a_removal_moves_only_its_objects() {
    let upstreams = ["u1", "u2", "u3", "u4"].map(|id| upstream(id, "a"));
    let (mut first_balancer, mut second_balancer) = (balancer(&upstreams), balancer(&upstreams));
    let mut balancer_without_u4 = balancer(&upstreams[..3]);
    for key in 0..200 {
        let id = choose(&mut first_balancer, key, &[], &[], millis(1));
        assert_eq!(id, choose(&mut second_balancer, key, &[], &[], millis(1)));
        if id.as_deref() != Some("u4") {
            assert_eq!(id, choose(&mut balancer_without_u4, key, &[], &[], millis(1)));
        }
    }
}

#[test]
fn leaving_evacuated_failed_and_tried_upstreams_get_no_requests() {
    let mut leaving_upstream = upstream("leaving", "a");
    leaving_upstream.state = ListedState::Leaving;
    let listed = [
        upstream("healthy", "a"),
        leaving_upstream,
        upstream("failed", "a"),
        upstream("tried", "a"),
        upstream("evacuated", "b"),
    ];
    let mut balancer = balancer(&listed);
    balancer.set_evacuated(["b".to_owned()].into(), millis(0));
    balancer.record_failure(&"failed".to_owned(), millis(0));
    let tried_ids = ["tried".to_owned()];
    for key in 0..200 {
        let id = choose(&mut balancer, key, &[], &tried_ids, millis(1));
        assert_eq!(id.as_deref(), Some("healthy"));
    }
}

/// A request waits for its connection while the upstream begins to leave.
#[test]
fn an_upstream_that_was_chosen_takes_no_work_once_it_leaves_or_its_zone_is_evacuated() {
    let ids = ["leaving", "removed", "evacuated"];
    let mut balancer =
        balancer(&[upstream("leaving", "a"), upstream("removed", "a"), upstream("evacuated", "b")]);
    assert!(ids.iter().all(|id| balancer.takes_work(&(*id).to_owned(), millis(0))));
    let mut leaving_upstream = upstream("leaving", "a");
    leaving_upstream.state = ListedState::Leaving;
    balancer.apply_delta(full_list(&[leaving_upstream, upstream("evacuated", "b")]), millis(1));
    balancer.set_evacuated(["b".to_owned()].into(), millis(1));
    assert!(!ids.iter().any(|id| balancer.takes_work(&(*id).to_owned(), millis(1))));
}

/// An upstream that failed while no configuration had its service was never checked again.
#[test]
fn an_upstream_whose_service_is_gone_for_a_while_is_checked_once_it_is_back() {
    let mut balancer = balancer(&[upstream("u1", "a")]);
    let id = "u1".to_owned();
    balancer.set_services(BTreeMap::new());
    balancer.record_failure(&id, millis(0));
    for ms in (50..1000).step_by(50) {
        assert!(balancer.take_due_checks(millis(ms), CHECK_TIMEOUT).is_empty());
    }
    balancer.set_services(services());
    assert_eq!(balancer.take_due_checks(millis(1000), CHECK_TIMEOUT).len(), 1);
    assert!(balancer.record_check(&id, HEALTHY, millis(1010)));
    assert_eq!(chosen_ids(&mut balancer, &[], millis(1010)), id_set(&["u1"]));
}

/// A check that was started and ended without a result, as after a panic, must not be the last.
#[test]
fn a_check_without_a_result_is_repeated_after_its_timeout() {
    let mut balancer = balancer(&[upstream("u1", "a")]);
    balancer.record_failure(&"u1".to_owned(), millis(0));
    assert_eq!(balancer.take_due_checks(millis(100), CHECK_TIMEOUT).len(), 1);
    let timed_out_at = millis(100) + CHECK_TIMEOUT;
    assert!(balancer.take_due_checks(timed_out_at - millis(1), CHECK_TIMEOUT).is_empty());
    assert_eq!(balancer.take_due_checks(timed_out_at, CHECK_TIMEOUT).len(), 1);
    assert!(balancer.take_due_checks(timed_out_at + millis(1), CHECK_TIMEOUT).is_empty());
}

#[test]
fn a_failed_upstream_is_used_after_a_passed_check_and_is_cold_for_the_reported_time() {
    let mut balancer = balancer(&[upstream("u1", "a")]);
    let id = "u1".to_owned();
    balancer.record_failure(&id, millis(0));
    assert!(balancer.take_due_checks(millis(10), CHECK_TIMEOUT).is_empty());
    assert_eq!(balancer.take_due_checks(millis(30), CHECK_TIMEOUT).len(), 1);
    assert!(
        balancer.take_due_checks(millis(30), CHECK_TIMEOUT).is_empty(),
        "only one check of an upstream may be running"
    );
    assert!(!balancer.record_check(&id, CheckResult::Silent, millis(40)));
    assert_eq!(choose(&mut balancer, 1, &[], &[], millis(50)), None);
    assert!(balancer.record_check(
        &id,
        CheckResult::Healthy { cold_left: millis(2000) },
        millis(400)
    ));
    assert_eq!(choose(&mut balancer, 1, &[], &[], millis(400)).as_deref(), Some("u1"));
    assert_eq!(
        choose(&mut balancer, 1, &[], &[], millis(401)),
        None,
        "a cold upstream gets no second request immediately"
    );
}

#[test]
fn a_cold_upstream_gets_at_most_this_instances_share_of_its_cold_rate() {
    let mut cold_upstream = upstream("u1", "a");
    cold_upstream.cold_left = millis(3000);
    let mut balancer = balancer(&[cold_upstream]);
    let send_times_ms =
        (0..1000).filter(|ms| choose(&mut balancer, 1, &[], &[], millis(*ms)).is_some());
    // The cold rate times the factor plus the slack, shared by two entry
    // instances.
    let sent_max = (8.0 * 1.5 + 5.0) / 2.0;
    let sent_count = send_times_ms.count();
    assert!(
        sent_count > 0 && (sent_count as f64) <= sent_max,
        "{sent_count} requests in one second; at most {sent_max} allowed"
    );
}

#[test]
fn a_cold_upstream_is_used_by_the_count_and_the_rank_that_are_known_now() {
    let mut cold_upstream = upstream("u1", "a");
    cold_upstream.cold_left = millis(3000);
    let mut balancer = balancer(&[cold_upstream]);
    balancer.set_entry_count(64);
    // 13 of 17 requests are used, so 13 of 64 instances send one in a second.
    let ranks: Vec<u32> = (0..64)
        .filter(|rank| {
            balancer.set_entry_rank(*rank);
            let mut instance = balancer.clone();
            (0..200)
                .filter(|key| choose(&mut instance, *key, &[], &[], millis(0)).is_some())
                .count()
                == 1
        })
        .collect();
    assert_eq!(ranks.len(), 13);
    let without = (0..64).find(|rank| !ranks.contains(rank)).unwrap();
    balancer.set_entry_rank(without);
    assert_eq!(chosen_ids(&mut balancer, &[], millis(0)), id_set(&[]));
    balancer.set_entry_rank(ranks[0]);
    assert_eq!(chosen_ids(&mut balancer, &[], millis(0)), id_set(&["u1"]));
    assert_eq!(chosen_ids(&mut balancer, &[], millis(1000)), id_set(&[]));
    balancer.set_entry_count(2);
    assert_eq!(chosen_ids(&mut balancer, &[], millis(1000)), id_set(&["u1"]));
}

#[test]
fn upstreams_of_a_restored_zone_count_as_cold() {
    let mut balancer = balancer(&[upstream("u1", "b")]);
    balancer.set_evacuated(["b".to_owned()].into(), millis(0));
    balancer.set_evacuated(BTreeSet::new(), millis(1000));
    let send_times_ms =
        (1000..2000).filter(|ms| choose(&mut balancer, 1, &[], &[], millis(*ms)).is_some());
    assert!(send_times_ms.count() <= 9);
}

#[test]
fn requests_stay_in_their_home_regions() {
    let mut balancer = balancer(&[upstream("near", "a"), upstream("far", "c")]);
    assert_eq!(chosen_ids(&mut balancer, &["south".to_owned()], millis(1)), id_set(&["far"]));
    assert_eq!(chosen_ids(&mut balancer, &["west".to_owned()], millis(1)), id_set(&[]));
}

#[test]
fn the_expected_wait_follows_the_reported_load_and_decreases_over_time() {
    let mut balancer = balancer(&[upstream("u1", "a")]);
    let report = ReportedLoad { running: 4, waiting: 4, slots: 4 };
    balancer.record_load(&"u1".to_owned(), report, millis(1000));
    let service = SERVICE.to_owned();
    let requirements = Requirements {
        service: &service,
        object: object_id("route", "1"),
        has_large_body: false,
        home_regions: &[],
        tried: &[],
    };
    let mut wait = |ms| balancer.choose(&requirements, millis(ms)).unwrap().expected_wait;
    let waits = [wait(1000), wait(1100), wait(2000)];
    assert!(waits[0] > waits[1] && waits[1] > waits[2], "{waits:?}");
    assert_eq!(waits[2], Duration::ZERO);
}

#[test]
fn a_maximum_counts_until_its_window_has_passed() {
    let mut recent_max = RecentMax::new(millis(20));
    let observations = [(0, 3), (5, 9), (10, 4), (25, 4), (26, 2), (50, 1)];
    let maxima = observations.map(|(ms, value)| recent_max.record(value, millis(ms)));
    assert_eq!(maxima, [3, 9, 9, 9, 4, 1]);
}

/// Extreme numbers of configurations and upstreams wrapped around or overflowed.
#[test]
fn extreme_numbers_keep_upstreams_in_use() {
    let ids = ["u1".to_owned()];
    for cold_rate_per_s in [2_f64.powi(33), 1e300, f64::MAX] {
        let mut cold_upstream = upstream("u1", "a");
        cold_upstream.cold_left = Duration::MAX;
        let mut balancer = balancer(&[cold_upstream]);
        let mut services = services();
        let service = Arc::make_mut(services.get_mut(SERVICE).unwrap());
        (service.cold_rate_per_s, service.cold_start) = (cold_rate_per_s, Duration::MAX);
        balancer.set_services(services);
        balancer.set_evacuated(["a".to_owned()].into(), millis(1));
        balancer.set_evacuated(BTreeSet::new(), millis(2));
        let id = choose(&mut balancer, 1, &[], &[], millis(5000));
        assert_eq!(id.as_ref(), Some(&ids[0]), "{cold_rate_per_s} requests a second");
    }

    let mut balancer = balancer(&[upstream("u1", "a")]);
    let report = ReportedLoad { running: u32::MAX, waiting: u32::MAX, slots: 1 };
    balancer.record_load(&ids[0], report, millis(0));
    let (service, object) = (SERVICE.to_owned(), object_id("route", "1"));
    let requirements = Requirements {
        service: &service,
        object,
        has_large_body: false,
        home_regions: &[],
        tried: &[],
    };
    let mut expected_wait = |now| balancer.choose(&requirements, now).unwrap().expected_wait;
    assert!(expected_wait(millis(0)) > millis(5000));
    assert_eq!(expected_wait(millis(30_000)), Duration::ZERO);
}
