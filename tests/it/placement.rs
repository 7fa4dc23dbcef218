//! Tests of the placement of objects on upstreams.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bulrushspan::core::{
    control::{RegionName, ZoneName},
    placement::{
        Candidate, DemandReport, ObjectDemand, ObjectId, Placement, PlacementDelta, Planner,
        PlannerInputs, RankedObject, default_candidate, object_id, upstream_hash,
    },
    upstreams::{ListedState, ListedUpstream, UpstreamList},
};
use proptest::{prelude::*, test_runner::Config};

const SERVICE: &str = "orders";
/// The number of upstreams that a planner ranks in one round.
const RANKINGS_PER_ROUND: usize = 100_000;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn regions_of_zones() -> BTreeMap<ZoneName, RegionName> {
    (0..6).map(|zone| (format!("z{zone}"), format!("r{}", zone % 3))).collect()
}

fn upstream(number: usize) -> ListedUpstream {
    ListedUpstream {
        id: format!("u{number:04}"),
        service: SERVICE.to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: format!("z{}", number % 6),
        version: "v1".to_owned(),
        slots: 5,
        state: ListedState::Ready,
        cold_left: Duration::ZERO,
        started_unix_ms: None,
    }
}

fn list(numbers: impl IntoIterator<Item = usize>, read_at: Duration) -> UpstreamList {
    let mut list = UpstreamList::default();
    let upstreams = numbers.into_iter().map(upstream);
    list.replace(upstreams.map(|listed| (listed.id.clone(), listed)).collect(), read_at, read_at);
    list
}

fn object(key: usize) -> ObjectId {
    object_id("route", &key.to_string())
}

fn report(instance: &str, region: &str, demands: &[(usize, u32)]) -> DemandReport {
    let demand = |(key, busy_permille): &(usize, u32)| ObjectDemand {
        object: object(*key),
        busy_permille: *busy_permille,
        has_large_body: false,
    };
    DemandReport {
        instance: instance.to_owned(),
        region: region.to_owned(),
        objects: BTreeMap::from([(SERVICE.to_owned(), demands.iter().map(demand).collect())]),
    }
}

fn plan(
    planner: &mut Planner,
    list: &UpstreamList,
    placement: &Placement,
    now: Duration,
) -> PlacementDelta {
    let evacuated = BTreeSet::new();
    planner.plan(&PlannerInputs { list, placement, evacuated: &evacuated, now })
}

/// Returns the default upstream of an object that is requested in `r0`.
fn default_upstream(key: usize, numbers: &[usize]) -> usize {
    let ranked = RankedObject { object: object(key), has_large_body: false, region_count: 3 };
    let candidate = |number: &usize| Candidate {
        hash: upstream_hash(&upstream(*number).id),
        slots: 5,
        in_requesting_region: number.is_multiple_of(3),
    };
    let best = default_candidate(ranked, numbers.iter().map(candidate)).unwrap();
    *numbers.iter().find(|number| candidate(number).hash == best.hash).unwrap()
}

/// Returns keys of objects whose default upstream is `number`.
fn keys_of(number: usize, numbers: &[usize], count: usize) -> Vec<usize> {
    (0..).filter(|key| default_upstream(*key, numbers) == number).take(count).collect()
}

#[test]
fn an_object_is_moved_from_the_upstream_that_it_overloads() {
    let numbers: Vec<usize> = (0..30).collect();
    let keys = keys_of(3, &numbers, 3);
    let mut planner = Planner::new(regions_of_zones(), 0.15);
    let demands: Vec<(usize, u32)> = keys.iter().map(|key| (*key, 2_000)).collect();
    planner.record_report(report("i1", "r0", &demands), secs(1));
    let change = plan(&mut planner, &list(0..30, secs(1)), &Placement::default(), secs(1));
    let moved: Vec<ObjectId> = change.iter().map(|(object, _)| *object).collect();
    assert_eq!(moved.len(), 1, "one of three objects of two slots does not fit on five");
    assert!(keys.iter().any(|key| object(*key) == moved[0]));
    assert!(change.iter().all(|(_, id)| *id != Some(upstream(3).id)));
}

#[test]
fn a_newer_report_replaces_the_demand_of_the_older_one() {
    let numbers: Vec<usize> = (0..30).collect();
    let keys = keys_of(3, &numbers, 3);
    let demands = |busy: u32| keys.iter().map(|key| (*key, busy)).collect::<Vec<_>>();
    let mut planner = Planner::new(regions_of_zones(), 0.15);
    planner.record_report(report("i1", "r0", &demands(2_500)), secs(1));
    planner.record_report(report("i1", "r0", &demands(10)), secs(2));
    let list = list(0..30, secs(2));
    assert_eq!(plan(&mut planner, &list, &Placement::default(), secs(2)), []);
}

#[test]
fn the_demand_of_an_instance_that_stopped_reporting_expires() {
    let numbers: Vec<usize> = (0..30).collect();
    let keys = keys_of(3, &numbers, 3);
    let demands: Vec<(usize, u32)> = keys.iter().map(|key| (*key, 2_500)).collect();
    let mut planner = Planner::new(regions_of_zones(), 0.15);
    planner.record_report(report("i1", "r0", &demands), secs(1));
    let list = list(0..30, secs(7));
    assert_eq!(plan(&mut planner, &list, &Placement::default(), secs(7)), []);
}

/// A flash crowd on more objects than one round can rank.
#[test]
fn a_round_ranks_a_bounded_number_of_upstreams_and_later_rounds_the_rest() {
    let upstreams = 1_000;
    let list = list(0..upstreams, secs(1));
    let demands: Vec<(usize, u32)> = (0..1_000).map(|key| (key, 8_000)).collect();
    let mut planner = Planner::new(regions_of_zones(), 0.15);
    planner.record_report(report("i1", "r0", &demands), secs(1));
    // Objects are ranked in the order of their ids.
    let ids: BTreeSet<ObjectId> = demands.iter().map(|(key, _)| object(*key)).collect();
    let ranked_first: BTreeSet<ObjectId> =
        ids.iter().copied().take(RANKINGS_PER_ROUND / upstreams).collect();
    let mut placement = BTreeMap::new();
    for round in 0..=demands.len() * upstreams / RANKINGS_PER_ROUND {
        let change = plan(&mut planner, &list, &placement.clone().into(), secs(1));
        let moved = change.into_iter().filter_map(|(object, id)| Some((object, id?)));
        placement.extend(moved);
        let only_ranked_first = placement.keys().all(|object| ranked_first.contains(object));
        assert!(round > 0 || only_ranked_first, "moved an object that was not ranked yet");
    }
    let moved_later = placement.keys().any(|object| !ranked_first.contains(object));
    assert!(moved_later, "objects beyond the first round's were never ranked");
}

proptest! {
    #![proptest_config(Config::with_cases(64))]

    /// The planner's knowledge of default upstreams, which it updates as upstreams come
    /// and go, equals the ranking from scratch that entry instances make.
    #[test]
    fn the_planner_agrees_with_entry_instances_on_default_upstreams(
        changes in proptest::collection::vec((0usize..40, any::<bool>()), 1..12),
        key in 0usize..1_000,
    ) {
        let mut present: BTreeSet<usize> = (0..30).collect();
        let mut planner = Planner::new(regions_of_zones(), 1.0);
        for (step, (number, is_added)) in changes.into_iter().enumerate() {
            if is_added { present.insert(number) } else { present.remove(&number) };
            let now = secs(step as u64 + 1);
            let numbers: Vec<usize> = present.iter().copied().collect();
            let expected = default_upstream(key, &numbers);
            // A second object fills the upstream, so one of the two has to move away
            // if the planner places the first one there too.
            let filler = 100_000 + step;
            let id = upstream(expected).id;
            let placement: Placement =
                BTreeMap::from([(object(filler), id.clone())]).into();
            planner.record_report(report("i1", "r0", &[(key, 2_000), (filler, 4_900)]), now);
            let mut fresh = planner.clone();
            let change = plan(&mut fresh, &list(numbers.clone(), now), &placement, now);
            prop_assert!(change.iter().all(|(_, to)| *to != Some(id.clone())));
            prop_assert_eq!(change.len(), 1);
            // The planner itself only learns the list, without the move.
            planner.record_report(report("i1", "r0", &[(key, 100)]), now);
            plan(&mut planner, &list(numbers, now), &Placement::default(), now);
        }
    }
}
