//! Measures look-ups of callers' regions, and building and changing the table of
//! blocks, at a quarter, half and all of the expected number of blocks:
//!
//!     cargo bench --bench look_up

// `criterion_group!` generates a public function without documentation.
#![allow(missing_docs)]

use std::{collections::BTreeMap, hint::black_box, net::IpAddr};

use bulrushspan::core::{
    control::{InstanceName, InstanceState, Policy, RegionName},
    steering::{BlockTable, Layout, Steering},
};
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use rand::{Rng, SeedableRng, rngs::StdRng};

// The size that the system is expected to grow to.
const BLOCKS: usize = 490_000;
const REGIONS: usize = 88;
const INSTANCES: usize = 590;
const SEED: u64 = 11;

/// Generates client blocks of both address families, many of them nested.
fn blocks(count: usize, random: &mut StdRng) -> BTreeMap<IpNet, RegionName> {
    let mut blocks = BTreeMap::new();
    while blocks.len() < count {
        let region = format!("site-{:02}", random.random_range(0..REGIONS));
        let net = if random.random_bool(0.8) {
            let address = random.random::<u32>().into();
            IpNet::V4(Ipv4Net::new(address, random.random_range(12..=24)).unwrap())
        } else {
            let bits = (0x2000 << 112) | (random.random::<u128>() >> 4);
            IpNet::V6(Ipv6Net::new(bits.into(), random.random_range(32..=48)).unwrap())
        };
        blocks.insert(net.trunc(), region);
    }
    blocks
}

fn addresses(random: &mut StdRng) -> Vec<IpAddr> {
    (0..10_000).map(|_| IpAddr::V4(random.random::<u32>().into())).collect()
}

fn policy(blocks: BTreeMap<IpNet, RegionName>) -> Policy {
    let region_name = |number: usize| format!("site-{number:02}");
    let layouts = (0..REGIONS)
        .map(|number| {
            (region_name(number), Layout::new(&BTreeMap::from([(region_name(number), 1000)])))
        })
        .collect();
    let instances = (0..INSTANCES)
        .map(|number| (format!("i{number:03}"), InstanceState::Live { incarnation: 1 }))
        .collect();
    Policy { blocks: blocks.into(), layouts, instances, ..Policy::default() }
}

fn region_of(instance: &InstanceName) -> Option<RegionName> {
    let number: usize = instance[1..].parse().ok()?;
    Some(format!("site-{:02}", number % REGIONS))
}

/// Returns the resident memory of this process in KiB, or 0 if it is unknown.
fn resident_kib() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

fn look_ups(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("look_up");
    group.sample_size(20);
    for divisor in [4, 2, 1] {
        let count = BLOCKS / divisor;
        let mut random = StdRng::seed_from_u64(SEED);
        let rss_start_kib = resident_kib();
        let blocks = blocks(count, &mut random);
        let rss_policy_kib = resident_kib();
        let policy = policy(blocks);
        let steering = Steering::new(&policy, "site-00".to_owned(), region_of);
        let rss_table_kib = resident_kib();
        println!(
            "memory of {count} blocks: policy {} KiB, table {} KiB; encoded {} bytes",
            rss_policy_kib - rss_start_kib,
            rss_table_kib.saturating_sub(rss_policy_kib),
            bulrushspan::net::wire::encode(&policy).unwrap().len(),
        );
        let addresses = addresses(&mut random);
        let mut next = addresses.iter().cycle();
        group.throughput(Throughput::Elements(1));
        group.bench_function(BenchmarkId::new("one", count), |bencher| {
            bencher.iter(|| black_box(steering.look_up(&policy, *next.next().unwrap())));
        });
        group.bench_function(BenchmarkId::new("build", count), |bencher| {
            bencher.iter(|| black_box(BlockTable::new().with_blocks(policy.blocks.iter())));
        });
        for size in [1, 100, 10_000] {
            let changed_blocks: Vec<_> = self::blocks(size, &mut random).into_iter().collect();
            group.bench_function(BenchmarkId::new(format!("change {size}"), count), |bencher| {
                let mut updated_steering = steering.clone();
                bencher.iter(|| updated_steering.put_blocks(black_box(&changed_blocks)));
            });
        }
    }
    group.finish();
}

criterion_group!(benches, look_ups);
criterion_main!(benches);
