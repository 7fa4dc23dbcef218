//! Simulates three admission strategies on a virtual clock with a fixed seed and prints a table:
//!
//!     cargo run --release --example steering [FILTER]
//!
//! A case is one service of an example deployment at one load (as a multiple of its capacity) with
//! one fault. `FILTER` runs only the cases whose first three columns contain it. The strategies:
//!
//! - `fixed`: every entry instance in the upstream's region gets an equal share of its slots.
//! - `two-choices`: an entry instance sends each request to the less loaded of two random upstreams
//!   of its region, according to the last load reports.
//! - `owned`: each upstream has one owner, as in bulrushspan; it uses the core's pools, ownership
//!   and ranking of owners.

use std::{collections::BTreeMap, path::Path, time::Duration};

use bulrushspan::{
    core::{
        admission::{Finish, OfferOutcome, Pool, PoolConfig, PoolEvent, SlotRequest, Slots},
        control::{
            Holder, InstanceName, LoadReport, Ownership, Policy, RegionName, RequestClass, Service,
            Topology, Upstream, UpstreamName,
        },
        steering::rank_owners,
    },
    settings,
};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::StdRng};

const RUN_TIME: Duration = Duration::from_secs(30);
const FAULT_AT: Duration = Duration::from_secs(10);
const SEED: u64 = 7;
/// The lease plus its margin. The upstreams of a lost owner are reassigned only after this time and
/// the request timeout, when none of its requests can still be running.
const LEASE: Duration = Duration::from_millis(3_300);
const CANCEL_HOLD: Duration = Duration::from_millis(250);
const REPORT_INTERVAL: Duration = Duration::from_millis(750);
/// How many times slower an upstream is while it is cold.
const COLD_FACTOR: f64 = 4.0;
const WARM_UP_TIME: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    Fixed,
    TwoChoices,
    Owned,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Lag2s,
    EntryLost,
    RegionLost,
    ColdRegion,
    FalseReport,
    Draining,
}

enum Event {
    Arrive,
    Offer { entry: usize, request: Request, hops: u32 },
    Complete { entry: usize, upstream: UpstreamName, request: Request, work: Duration },
    Report,
    Fault,
    Poll { entry: usize },
}

#[derive(Clone, Copy)]
struct Request {
    ticket: u64,
    class: RequestClass,
    arrived_at: Duration,
    deadline: Duration,
    home_entry: usize,
}

#[derive(Default)]
struct Totals {
    completed: u64,
    refused: u64,
    arrived: u64,
    /// The most requests by which an upstream exceeded its slots.
    max_excess_requests: u32,
    /// Service time spent on requests that were answered.
    work: Duration,
    drain_time: Option<Duration>,
    reports_completed: u64,
    reports_arrived: u64,
}

struct Sim<'a> {
    strategy: Strategy,
    fault: Fault,
    /// The offered load, as a multiple of the capacity of the service.
    load: f64,
    report_interval: Duration,
    topology: &'a Topology,
    service_name: &'a String,
    service: &'a Service,
    entries: Vec<(InstanceName, RegionName)>,
    pools: Vec<Pool>,
    policy: Policy,
    is_alive: Vec<bool>,
    /// When each upstream of a lost owner may get a new owner.
    reassign_at: BTreeMap<UpstreamName, Duration>,
    running_counts: BTreeMap<UpstreamName, u32>,
    reported_running_counts: BTreeMap<UpstreamName, u32>,
    loads: BTreeMap<InstanceName, LoadReport>,
    /// Requests in flight that each entry instance forwarded, by their receiver.
    forwarded: Vec<BTreeMap<InstanceName, u32>>,
    waiting_requests: BTreeMap<u64, Request>,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    random: StdRng,
    totals: Totals,
    latency: Histogram<u64>,
    hop_delay: Duration,
    draining_upstream: Option<UpstreamName>,
}

impl<'a> Sim<'a> {
    fn new(
        topology: &'a Topology,
        service_name: &'a String,
        strategy: Strategy,
        fault: Fault,
        load: f64,
        hop_delay: Duration,
    ) -> Self {
        let service = &topology.services[service_name];
        let entries: Vec<_> = topology
            .instance_zones
            .keys()
            .map(|name| (name.clone(), topology.region_of_instance(name).unwrap().clone()))
            .collect();
        let config = PoolConfig {
            queue_max: service.queue_max,
            wait_max: service.wait_max,
            cancel_hold: CANCEL_HOLD,
        };
        let pools = entries
            .iter()
            .map(|_| {
                let mut pool = Pool::new(config);
                pool.set_lease(Duration::MAX);
                pool
            })
            .collect();
        let report_interval =
            if fault == Fault::Lag2s { Duration::from_secs(2) } else { REPORT_INTERVAL };
        let mut sim = Self {
            strategy,
            fault,
            load,
            report_interval,
            topology,
            service_name,
            service,
            is_alive: vec![true; entries.len()],
            entries,
            pools,
            policy: Policy::default(),
            reassign_at: BTreeMap::new(),
            running_counts: BTreeMap::new(),
            reported_running_counts: BTreeMap::new(),
            loads: BTreeMap::new(),
            forwarded: Vec::new(),
            waiting_requests: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            random: StdRng::seed_from_u64(SEED),
            totals: Totals::default(),
            latency: Histogram::new_with_bounds(1, 1_000_000_000, 3).unwrap(),
            hop_delay,
            draining_upstream: None,
        };
        sim.forwarded = vec![BTreeMap::new(); sim.entries.len()];
        sim.assign_slots();
        sim.schedule(Duration::ZERO, Event::Arrive);
        sim.schedule(Duration::ZERO, Event::Report);
        sim.schedule(FAULT_AT, Event::Fault);
        sim
    }

    /// Assigns each upstream to one owner or, with fixed shares, divides its slots among all entry
    /// instances of its region.
    fn assign_slots(&mut self) {
        for (name, upstream) in &self.service.upstreams {
            let local_entries = self.local_entries(upstream);
            if self.strategy == Strategy::Fixed {
                for (index, entry) in local_entries.iter().enumerate() {
                    let share = (upstream.slots as usize + index) / local_entries.len();
                    self.pools[*entry].add(name, Slots::new(1, share as u32));
                }
                continue;
            }
            let same_zone: Vec<usize> = local_entries
                .iter()
                .copied()
                .filter(|entry| {
                    self.topology.instance_zones[&self.entries[*entry].0] == upstream.zone
                })
                .collect();
            // Applies the rule of the core's planner: prefers entry instances in the upstream's
            // zone, and of these the one that owns the fewest upstreams.
            let candidates = if same_zone.is_empty() { &local_entries } else { &same_zone };
            let owned_count = |entry: &&usize| self.pools[**entry].owned().count();
            let owner = *candidates.iter().min_by_key(owned_count).unwrap();
            self.set_owner(name, owner, 1, Slots::new(1, upstream.slots));
        }
    }

    fn set_owner(&mut self, name: &UpstreamName, owner: usize, epoch: u64, slots: Slots) {
        self.pools[owner].add(name, slots);
        let holder = Holder::new(self.entries[owner].0.clone(), 1);
        let ownership = Ownership { owner: Some(holder), epoch, unsettled: false, handover: None };
        self.policy.owners.insert(name.clone(), ownership);
    }

    /// Returns the running entry instances in an upstream's region.
    fn local_entries(&self, upstream: &Upstream) -> Vec<usize> {
        let region = self.topology.region_of_zone(&upstream.zone).unwrap();
        (0..self.entries.len())
            .filter(|entry| self.entries[*entry].1 == *region && self.is_alive[*entry])
            .collect()
    }

    fn schedule(&mut self, due: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((due, self.sequence), event);
    }

    fn run(mut self) -> (Totals, Histogram<u64>) {
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > RUN_TIME {
                break;
            }
            match event {
                Event::Arrive => self.arrive(now),
                Event::Offer { entry, request, hops } => self.offer(entry, request, hops, now),
                Event::Complete { entry, upstream, request, work } => {
                    self.complete(entry, upstream, request, work, now)
                }
                Event::Report => self.report(now),
                Event::Fault => self.inject_fault(now),
                Event::Poll { entry } => {
                    let events = self.pools[entry].poll(now);
                    self.apply_events(entry, events, now);
                }
            }
        }
        (self.totals, self.latency)
    }

    fn random_class(&mut self) -> RequestClass {
        let has_uploads =
            self.service.request_classes.iter().any(|(_, class)| *class == RequestClass::Upload);
        match (has_uploads, self.random.random::<f64>()) {
            (true, draw) if draw < 0.2 => RequestClass::Report,
            (true, _) => RequestClass::Upload,
            (false, draw) if draw < 0.3 => RequestClass::Booking,
            (false, _) => RequestClass::Read,
        }
    }

    fn mean_service_ms(class: RequestClass) -> f64 {
        match class {
            RequestClass::Booking => 40.0,
            RequestClass::Read => 20.0,
            RequestClass::Upload => 400.0,
            RequestClass::Report => 1500.0,
        }
    }

    /// Returns an exponentially distributed random value.
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random::<f64>()).ln()
    }

    fn arrive(&mut self, now: Duration) {
        let slots: u32 = self.service.upstreams.values().map(|upstream| upstream.slots).sum();
        let has_uploads =
            self.service.request_classes.iter().any(|(_, class)| *class == RequestClass::Upload);
        let mean_ms =
            if has_uploads { 0.8 * 400.0 + 0.2 * 1500.0 } else { 0.3 * 40.0 + 0.7 * 20.0 };
        let gap_ms = self.exponential(mean_ms / f64::from(slots) / self.load);
        self.schedule(now + Duration::from_secs_f64(gap_ms / 1000.0), Event::Arrive);
        self.totals.arrived += 1;
        let class = self.random_class();
        if class == RequestClass::Report {
            self.totals.reports_arrived += 1;
        }
        // Each region gets callers in proportion to the slots of its upstreams; every upstream of
        // a service has the same number of slots.
        let upstream = self
            .service
            .upstreams
            .values()
            .nth(self.random.random_range(0..self.service.upstreams.len()))
            .unwrap()
            .clone();
        let local_entries = self.local_entries(&upstream);
        if local_entries.is_empty() {
            self.totals.refused += 1;
            return;
        }
        let entry = local_entries[self.random.random_range(0..local_entries.len())];
        let request = Request {
            ticket: self.sequence,
            class,
            arrived_at: now,
            deadline: now + self.service.request_timeout,
            home_entry: entry,
        };
        self.offer(entry, request, 0, now);
    }

    fn offer(&mut self, entry: usize, request: Request, hops: u32, now: Duration) {
        if !self.is_alive[entry] {
            self.totals.refused += 1;
            return;
        }
        if self.strategy == Strategy::TwoChoices {
            return self.offer_two_choices(entry, request, hops, now);
        }
        if self.strategy == Strategy::Owned && hops == 0 {
            let slot_request = SlotRequest::new(request.ticket, request.class, request.deadline);
            if let Some(upstream) = self.pools[entry].offer_now(&slot_request, now) {
                return self.start(entry, upstream, request, now);
            }
            let ranked_owners = self.rank_local_owners(entry);
            match ranked_owners.first() {
                Some(first) if *first != entry => return self.forward(*first, request, 1, now),
                None => {
                    self.totals.refused += 1;
                    return;
                }
                _ => {}
            }
        }
        let slot_request = SlotRequest::new(request.ticket, request.class, request.deadline);
        match self.pools[entry].offer(slot_request, now) {
            OfferOutcome::Dispatch { upstream } => self.start(entry, upstream, request, now),
            OfferOutcome::Queued => {
                self.waiting_requests.insert(request.ticket, request);
                self.schedule_poll(entry, now);
            }
            // Retries at one other owner, since a request is offered to at most two owners.
            OfferOutcome::Refused { .. } if self.strategy == Strategy::Owned && hops < 2 => {
                let ranked_owners = self.rank_local_owners(request.home_entry);
                match ranked_owners.iter().find(|other| **other != entry) {
                    Some(other) => self.forward(*other, request, 2, now),
                    None => self.totals.refused += 1,
                }
            }
            OfferOutcome::Refused { .. } => self.totals.refused += 1,
        }
    }

    fn forward(&mut self, to: usize, request: Request, hops: u32, now: Duration) {
        *self.forwarded[request.home_entry].entry(self.entries[to].0.clone()).or_insert(0) += 1;
        self.schedule(now + self.hop_delay, Event::Offer { entry: to, request, hops });
    }

    /// Returns the owners in the entry instance's region, best first.
    fn rank_local_owners(&self, entry: usize) -> Vec<usize> {
        let local_holder = Holder::new(self.entries[entry].0.clone(), 1);
        let (name, region) = (self.service_name, &self.entries[entry].1);
        let candidates = rank_owners(
            &local_holder,
            &self.policy,
            self.topology,
            name,
            region,
            &self.loads,
            &self.forwarded[entry],
        );
        let local_candidates = candidates.iter().filter(|candidate| candidate.region == *region);
        local_candidates
            .filter_map(|candidate| {
                self.entries.iter().position(|(name, _)| *name == candidate.holder.instance)
            })
            .collect()
    }

    fn offer_two_choices(&mut self, entry: usize, request: Request, hops: u32, now: Duration) {
        let region = self.entries[entry].1.clone();
        let local_upstreams: Vec<(UpstreamName, u32)> = self
            .service
            .upstreams
            .iter()
            .filter(|(name, upstream)| {
                self.topology.region_of_zone(&upstream.zone) == Some(&region)
                    && self.draining_upstream.as_ref() != Some(*name)
            })
            .map(|(name, upstream)| (name.clone(), upstream.slots))
            .collect();
        let first = local_upstreams[self.random.random_range(0..local_upstreams.len())].clone();
        let second = local_upstreams[self.random.random_range(0..local_upstreams.len())].clone();
        let reported_load =
            |name: &UpstreamName| self.reported_running_counts.get(name).copied().unwrap_or(0);
        let (name, slots) =
            if reported_load(&first.0) <= reported_load(&second.0) { first } else { second };
        let used_slots = self.running_counts.get(&name).copied().unwrap_or(0);
        if used_slots >= slots {
            self.totals.max_excess_requests =
                self.totals.max_excess_requests.max(used_slots + 1 - slots);
            // The upstream sheds the request; it is retried once.
            if hops == 0 {
                self.schedule(now + 2 * self.hop_delay, Event::Offer { entry, request, hops: 1 });
            } else {
                self.totals.refused += 1;
            }
            return;
        }
        self.start(entry, name, request, now);
    }

    fn start(&mut self, entry: usize, upstream: UpstreamName, request: Request, now: Duration) {
        let mut service_ms = self.exponential(Self::mean_service_ms(request.class));
        let upstream_config = &self.service.upstreams[&upstream];
        let is_cold = self.fault == Fault::ColdRegion
            && now >= FAULT_AT
            && now < FAULT_AT + WARM_UP_TIME
            && self.topology.region_of_zone(&upstream_config.zone)
                == self.topology.regions.keys().next();
        if is_cold {
            service_ms *= COLD_FACTOR;
        }
        let running = self.running_counts.entry(upstream.clone()).or_insert(0);
        *running += 1;
        self.totals.max_excess_requests =
            self.totals.max_excess_requests.max(running.saturating_sub(upstream_config.slots));
        let crosses_zones =
            self.topology.instance_zones[&self.entries[entry].0] != upstream_config.zone;
        let network_delay = if crosses_zones { self.hop_delay } else { Duration::ZERO };
        let work = Duration::from_secs_f64(service_ms / 1000.0);
        let end = now + 2 * network_delay + work;
        self.schedule(end, Event::Complete { entry, upstream, request, work });
    }

    fn complete(
        &mut self,
        entry: usize,
        upstream: UpstreamName,
        request: Request,
        work: Duration,
        now: Duration,
    ) {
        if let Some(running) = self.running_counts.get_mut(&upstream) {
            *running -= 1;
        }
        if self.draining_upstream.as_ref() == Some(&upstream)
            && self.running_counts[&upstream] == 0
            && self.totals.drain_time.is_none()
        {
            self.totals.drain_time = Some(now - FAULT_AT);
        }
        if entry != request.home_entry
            && let Some(forwarded) =
                self.forwarded[request.home_entry].get_mut(&self.entries[entry].0)
        {
            *forwarded = forwarded.saturating_sub(1);
        }
        if self.is_alive[entry] {
            let return_delay =
                if entry == request.home_entry { Duration::ZERO } else { self.hop_delay };
            self.totals.completed += 1;
            self.totals.work += work;
            if request.class == RequestClass::Report {
                self.totals.reports_completed += 1;
            }
            self.latency
                .record(((now + return_delay - request.arrived_at).as_micros() as u64).max(1))
                .unwrap();
        }
        let events = self.pools[entry].finish(request.ticket, Finish::Done, now);
        self.apply_events(entry, events, now);
    }

    fn apply_events(&mut self, entry: usize, events: Vec<PoolEvent>, now: Duration) {
        for event in events {
            match event {
                PoolEvent::Dispatch { ticket, upstream } => {
                    let request = self.waiting_requests.remove(&ticket).unwrap();
                    self.start(entry, upstream, request, now);
                }
                PoolEvent::Refused { ticket, .. } => {
                    self.waiting_requests.remove(&ticket);
                    self.totals.refused += 1;
                }
            }
        }
    }

    fn schedule_poll(&mut self, entry: usize, now: Duration) {
        if let Some(due) = self.pools[entry].next_due(now) {
            self.schedule(due.max(now), Event::Poll { entry });
        }
    }

    fn report(&mut self, now: Duration) {
        self.schedule(now + self.report_interval, Event::Report);
        self.reported_running_counts = self.running_counts.clone();
        if self.fault == Fault::FalseReport {
            let first = self.service.upstreams.keys().next().unwrap().clone();
            self.reported_running_counts.insert(first, 0);
        }
        for (entry, (name, _)) in self.entries.iter().enumerate() {
            let mut load = self.pools[entry].load(now);
            if self.fault == Fault::FalseReport && entry == 0 {
                load.used_slots = 0;
                load.waiting = 0;
            }
            let services = BTreeMap::from([(self.service_name.clone(), load)]);
            self.loads.insert(name.clone(), LoadReport { services });
        }
        // Assigns the upstreams of lost owners to new owners once the old requests have ended.
        let due_upstreams: Vec<UpstreamName> = self
            .reassign_at
            .iter()
            .filter(|(_, due_at)| **due_at <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due_upstreams {
            self.reassign_at.remove(&name);
            let upstream = &self.service.upstreams[&name];
            let local_entries = self.local_entries(upstream);
            if let Some(owner) =
                local_entries.get(self.random.random_range(0..local_entries.len().max(1)))
            {
                self.set_owner(&name, *owner, 2, Slots::new(2, upstream.slots).with_unsettled(now));
            }
        }
    }

    fn inject_fault(&mut self, now: Duration) {
        match self.fault {
            Fault::EntryLost => self.remove_entries(|entry, _| entry == 0, now),
            Fault::RegionLost => {
                let region = self.entries[0].1.clone();
                self.remove_entries(|_, entry_region| *entry_region == region, now);
            }
            Fault::Draining => {
                let name = self.service.upstreams.keys().next().unwrap().clone();
                for pool in &mut self.pools {
                    if let Some(slots) = pool.slots_mut(&name) {
                        slots.set_draining(true, now);
                    }
                }
                self.draining_upstream = Some(name);
            }
            _ => {}
        }
    }

    /// Stops the entry instances that `is_lost` selects. With the strategy `owned`, schedules the
    /// reassignment of their upstreams.
    fn remove_entries(&mut self, is_lost: impl Fn(usize, &RegionName) -> bool, now: Duration) {
        for entry in 0..self.entries.len() {
            if !is_lost(entry, &self.entries[entry].1) {
                continue;
            }
            self.is_alive[entry] = false;
            for (name, _) in
                self.pools[entry].owned().map(|(n, s)| (n.clone(), s.epoch())).collect::<Vec<_>>()
            {
                self.policy.owners.remove(&name);
                if self.strategy == Strategy::Owned {
                    self.reassign_at.insert(name, now + LEASE + self.service.request_timeout);
                }
            }
        }
        let lost_tickets: Vec<u64> = self
            .waiting_requests
            .iter()
            .filter(|(_, request)| !self.is_alive[request.home_entry])
            .map(|(ticket, _)| *ticket)
            .collect();
        self.totals.refused += lost_tickets.len() as u64;
    }
}

fn main() {
    println!(
        "| deployment, service | load | trouble | way | p50 ms | p99 ms | completed % | \
         work % of the slots | refused % | most over slots | reports done % | drain s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    let filter = std::env::args().nth(1).unwrap_or_default();
    let faults = [
        Fault::None,
        Fault::Lag2s,
        Fault::EntryLost,
        Fault::RegionLost,
        Fault::ColdRegion,
        Fault::FalseReport,
        Fault::Draining,
    ];
    for (file, hop_ms) in [("shalom-platters", 3), ("kilimanjaro-garderobe", 5)] {
        let path = format!("{}/examples/settings/{file}.jsonc", env!("CARGO_MANIFEST_DIR"));
        let settings =
            settings::load(Path::new(&path)).unwrap_or_else(|findings| panic!("{findings}"));
        for service in settings.topology.services.keys() {
            for load in [0.7, 0.95, 1.3] {
                for fault in faults {
                    let case = format!("{file}, {service} | {load} | {fault:?}");
                    if !case.contains(&filter) {
                        continue;
                    }
                    for strategy in [Strategy::Fixed, Strategy::TwoChoices, Strategy::Owned] {
                        let sim = Sim::new(
                            &settings.topology,
                            service,
                            strategy,
                            fault,
                            load,
                            Duration::from_millis(hop_ms),
                        );
                        let (totals, latency) = sim.run();
                        let name = match strategy {
                            Strategy::Fixed => "fixed",
                            Strategy::TwoChoices => "two-choices",
                            Strategy::Owned => "owned",
                        };
                        let upstreams = &settings.topology.services[service].upstreams;
                        let slots: u32 = upstreams.values().map(|upstream| upstream.slots).sum();
                        let slot_seconds = f64::from(slots) * RUN_TIME.as_secs_f64();
                        let percent =
                            |count: u64, total: u64| 100.0 * count as f64 / total.max(1) as f64;
                        let latency_ms =
                            |quantile: f64| latency.value_at_quantile(quantile) as f64 / 1000.0;
                        println!(
                            "| {case} | {name} | {:.1} | {:.1} | {:.2} | \
                             {:.1} | {:.2} | {} | {:.1} | {} |",
                            latency_ms(0.5),
                            latency_ms(0.99),
                            percent(totals.completed, totals.arrived),
                            100.0 * totals.work.as_secs_f64() / slot_seconds,
                            percent(totals.refused, totals.arrived),
                            totals.max_excess_requests,
                            percent(totals.reports_completed, totals.reports_arrived),
                            totals
                                .drain_time
                                .map_or("-".to_owned(), |d| format!("{:.2}", d.as_secs_f64()))
                        );
                    }
                }
            }
        }
    }
}
