//! Measures one round of planning at the leading control replica, and the choice of an
//! upstream for one request at an entry instance:
//!
//!     cargo bench --bench placement

// `criterion_group!` generates a public function without documentation.
#![allow(missing_docs)]

use std::{collections::BTreeMap, hint::black_box, time::Duration};

use bulrushspan::core::{
    MapDelta,
    balance::{Balancer, ColdLimit, Locality, Requirements},
    control::{RegionName, ServiceName, ZoneName},
    placement::{DemandReport, ObjectDemand, Placement, Planner, PlannerInputs, object_id},
    upstreams::{ListedState, ListedUpstream, UpstreamList},
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SERVICE: &str = "orders";
const ZONES: usize = 21;
const REGIONS: usize = 7;
const REPORTS: usize = 590;
const OBJECTS: usize = 20_000;
/// The number of objects in one report.
const OBJECTS_PER_REPORT: usize = 256;
const SEED: u64 = 17;

fn regions_of_zones() -> BTreeMap<ZoneName, RegionName> {
    (0..ZONES).map(|zone| (format!("z{zone}"), format!("r{}", zone % REGIONS))).collect()
}

fn listed_upstreams(count: usize) -> BTreeMap<String, ListedUpstream> {
    let listed = |number: usize| ListedUpstream {
        id: format!("u{number:05}"),
        service: SERVICE.to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: format!("z{}", number % ZONES),
        version: "v1".to_owned(),
        slots: 5,
        state: ListedState::Ready,
        cold_left: Duration::ZERO,
        started_unix_ms: None,
    };
    (0..count).map(listed).map(|listed| (listed.id.clone(), listed)).collect()
}

fn report(number: usize, random: &mut StdRng) -> DemandReport {
    let demand = |_| ObjectDemand {
        object: object_id("route", &random.random_range(0..OBJECTS).to_string()),
        busy_permille: random.random_range(2..40),
        has_large_body: false,
    };
    let demands = (0..OBJECTS_PER_REPORT).map(demand).collect();
    DemandReport {
        instance: format!("i{number}"),
        region: format!("r{}", number % REGIONS),
        objects: BTreeMap::from([(SERVICE.to_owned(), demands)]),
    }
}

/// Measures the first round, a later one and the recording of one report.
fn rounds(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan");
    group.sample_size(10);
    for count in [1_000, 10_000] {
        let mut random = StdRng::seed_from_u64(SEED);
        let mut list = UpstreamList::default();
        let read_at = Duration::from_secs(1);
        list.replace(listed_upstreams(count), read_at, read_at);
        let mut planner = Planner::new(regions_of_zones(), 0.15);
        let now = Duration::from_secs(2);
        let placement = Placement::default();
        let evacuated = Default::default();
        let inputs =
            PlannerInputs { list: &list, placement: &placement, evacuated: &evacuated, now };
        for number in 0..REPORTS {
            planner.record_report(report(number, &mut random), now);
        }
        group.bench_function(BenchmarkId::new("first round", count), |bencher| {
            bencher.iter_with_large_drop(|| {
                let mut planner = planner.clone();
                black_box(planner.plan(&inputs));
                planner
            });
        });
        // The default upstreams of all objects are known after these rounds.
        for _ in 0..=OBJECTS * count / 100_000 {
            planner.plan(&inputs);
        }
        group.bench_function(BenchmarkId::new("later round", count), |bencher| {
            bencher.iter(|| black_box(planner.plan(&inputs)));
        });
        let mut numbers = (0..REPORTS).cycle();
        group.bench_function(BenchmarkId::new("report", count), |bencher| {
            bencher.iter_batched(
                || report(numbers.next().unwrap_or_default(), &mut random),
                |report| planner.record_report(report, now),
                criterion::BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

fn choices(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose");
    for count in [1_000, 10_000] {
        let locality = Locality {
            region: "r0".to_owned(),
            zone: "z0".to_owned(),
            regions_of_zones: regions_of_zones(),
        };
        let cold_limit = ColdLimit { factor: 1.5, slack: 5.0, entry_count: 590 };
        let mut balancer = Balancer::new(locality, cold_limit);
        let put = listed_upstreams(count).into_iter().collect();
        let delta = MapDelta { version: 1, is_full: true, put, removed: Vec::new() };
        balancer.apply_delta(delta, Duration::ZERO);
        let service: ServiceName = SERVICE.to_owned();
        let mut key = 0u64;
        group.bench_function(BenchmarkId::new("one", count), |bencher| {
            bencher.iter(|| {
                key += 1;
                let requirements = Requirements {
                    service: &service,
                    object: key,
                    has_large_body: false,
                    home_regions: &[],
                    tried: &[],
                };
                black_box(balancer.choose(&requirements, Duration::from_secs(1)))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, rounds, choices);
criterion_main!(benches);
