//! Tests of the limit of a cold upstream, which all entry instances share.

use std::time::Duration;

use bulrushspan::core::{
    MapDelta,
    balance::{Balancer, ColdLimit, Locality, Requirements},
    placement::object_id,
    routing::ServiceSpec,
    upstreams::{ListedState, ListedUpstream},
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;
const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_SECOND: usize = 100;
const STEPS: usize = 600;
const SERVICE: &str = "orders";
const COLD: Duration = Duration::from_secs(600);

/// Entry instances that get requests for a cold upstream, are killed and are started.
#[derive(Clone, Debug)]
struct Deployment {
    instances: u32,
    rate_per_s: f64,
    upstream: String,
    /// The probability of each event at an instance in a step.
    request: f64,
    kill: f64,
    /// The probability that a request waits for its connection, and the longest wait in steps.
    wait: (f64, usize),
    seed: u64,
}

struct Instance {
    starts_at: usize,
    balancer: Balancer,
    /// When requests leave that wait for their connections, in steps.
    waiting: Vec<usize>,
}

impl Instance {
    fn new(deployment: &Deployment, rank: u32, starts_at: usize) -> Self {
        let locality = Locality {
            region: "north".to_owned(),
            zone: "a".to_owned(),
            regions_of_zones: [("a".to_owned(), "north".to_owned())].into(),
        };
        let limit = ColdLimit { factor: FACTOR, slack: SLACK, entry_count: deployment.instances };
        let started_at = STEP * starts_at as u32;
        let mut balancer = Balancer::new(locality, limit).with_started_at(started_at);
        balancer.set_entry_rank(rank);
        let service = ServiceSpec {
            health_path: "/health".to_owned(),
            connections_max: 100,
            protocol: "h1".to_owned(),
            tls: false,
            cold_start: COLD,
            cold_rate_per_s: deployment.rate_per_s,
        };
        balancer.set_services([(SERVICE.to_owned(), service.into())].into());
        balancer.apply_delta(list(deployment, Some(1)), started_at);
        Self { starts_at, balancer, waiting: Vec::new() }
    }

    /// Chooses an upstream for a request. Returns whether there is one.
    fn choose(&mut self, now: Duration) -> bool {
        let requirements = Requirements {
            service: &SERVICE.to_owned(),
            object: object_id("route", "key"),
            has_large_body: false,
            home_regions: &[],
            tried: &[],
        };
        let choice = self.balancer.choose(&requirements, now);
        choice.inspect(|choice| self.balancer.record_start(&choice.id, now)).is_some()
    }

    /// Sends the requests that have their connections. Returns how many.
    fn send_waiting(&mut self, upstream: &String, step: usize) -> u32 {
        let due = self.waiting.extract_if(.., |sends_at| *sends_at <= step).count();
        (0..due).for_each(|_| self.balancer.record_sent(upstream, STEP * step as u32));
        due as u32
    }
}

fn list(deployment: &Deployment, started_unix_ms: Option<u64>) -> MapDelta<String, ListedUpstream> {
    let upstream = ListedUpstream {
        id: deployment.upstream.clone(),
        service: SERVICE.to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".to_owned(),
        version: "v1".to_owned(),
        slots: 4,
        state: ListedState::Ready,
        cold_left: COLD,
        started_unix_ms,
    };
    MapDelta {
        version: 1,
        is_full: true,
        put: vec![(upstream.id.clone(), upstream)],
        removed: Vec::new(),
    }
}

fn deployments() -> impl Strategy<Value = Deployment> {
    let shares = (1u32..80, 0.0..12.0, "[a-z0-9]{1,8}");
    let events = (0.02..1.0, 0.0..0.01, (0.0..1.0, 1usize..160), any::<u64>());
    (shares, events).prop_map(|((instances, rate_per_s, upstream), (request, kill, wait, seed))| {
        Deployment { instances, rate_per_s, upstream, request, kill, wait, seed }
    })
}

/// Returns how many requests all instances send in each step. The upstream starts anew halfway.
fn play(deployment: &Deployment) -> Vec<u32> {
    let mut rng = StdRng::seed_from_u64(deployment.seed);
    let ranks = 0..deployment.instances;
    let mut instances: Vec<Instance> =
        ranks.map(|rank| Instance::new(deployment, rank, 0)).collect();
    let mut sent = vec![0; STEPS];
    for (step, sent) in sent.iter_mut().enumerate() {
        let now = STEP * step as u32;
        for (rank, instance) in instances.iter_mut().enumerate() {
            if step < instance.starts_at {
                continue;
            }
            if step == STEPS / 2 {
                instance.balancer.apply_delta(list(deployment, Some(2)), now);
            }
            *sent += instance.send_waiting(&deployment.upstream, step);
            if rng.random_bool(deployment.kill) {
                *instance = Instance::new(deployment, rank as u32, step + rng.random_range(0..40));
            } else if rng.random_bool(deployment.request) && instance.choose(now) {
                let (waits, wait_max) = deployment.wait;
                let wait = if rng.random_bool(waits) { rng.random_range(0..wait_max) } else { 0 };
                instance.waiting.push(step + wait);
                *sent += instance.send_waiting(&deployment.upstream, step);
            }
        }
    }
    sent
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against a cold upstream flooded by instances that keep to their shares one by one:
    /// each could send its first request at once, once more after a restart, and requests that had
    /// waited for their connections together.
    #[test]
    fn all_instances_together_keep_the_limit_of_a_cold_upstream(deployment in deployments()) {
        let sent = play(&deployment);
        let most = sent.windows(STEPS_PER_SECOND).map(|second| second.iter().sum::<u32>()).max();
        let limit = deployment.rate_per_s * FACTOR + SLACK;
        prop_assert!(f64::from(most.unwrap()) <= limit, "{most:?} in one second; {limit} allowed");
    }
}

/// Guards against a limit that is kept by not using the upstream.
#[test]
fn instances_use_most_of_the_limit_of_a_cold_upstream() {
    for instances in [1, 9, 60, 200] {
        let deployment = Deployment {
            instances,
            rate_per_s: 8.0,
            upstream: "i-0".to_owned(),
            request: 1.0,
            kill: 0.0,
            wait: (0.0, 1),
            seed: 52,
        };
        let sent: u32 = play(&deployment).iter().sum();
        // Nothing is sent in the first second of the six, which may follow another process.
        let allowed = 5.0 * (8.0 * FACTOR + SLACK);
        assert!(f64::from(sent) >= 0.6 * allowed, "{instances} instances: {sent} of {allowed}");
    }
}

/// Guards against a cold upstream flooded by requests that waited for their connections, which
/// earlier counted from the time at which they were chosen.
#[test]
fn a_request_counts_until_a_second_after_it_was_sent() {
    let deployment = Deployment {
        instances: 2,
        rate_per_s: 8.0,
        upstream: "i-0".to_owned(),
        request: 1.0,
        kill: 0.0,
        wait: (0.0, 1),
        seed: 52,
    };
    let millis = Duration::from_millis;
    let mut instance = Instance::new(&deployment, 0, 0);
    let chosen = (2000..3100).filter(|ms| instance.choose(millis(*ms))).count();
    assert!((6..=7).contains(&chosen), "{chosen}");
    assert!(!instance.choose(millis(9_000)), "none has been sent");
    (0..chosen).for_each(|_| instance.balancer.record_sent(&deployment.upstream, millis(9_000)));
    assert!(!instance.choose(millis(10_000)));
    assert!(instance.choose(millis(10_100)));
}
