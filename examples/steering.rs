//! Compares ways to admit requests, on a virtual clock with a fixed seed:
//!
//!     cargo run --release --example steering [PART OF A CELL'S NAME]
//!
//! Each cell runs one service of a deployment for some virtual seconds at a
//! part of its capacity. `fixed` gives every entry instance an equal share of
//! each upstream's slots, `two-choices` lets every one send to the less loaded
//! of two upstreams by their reports, `owned` is the project's own: the core's
//! pools, ownership, and choice of owners.

use std::{collections::BTreeMap, path::Path, time::Duration};

use bulrushspan::{
    core::{
        admission::{Finish, Offer, Pool, PoolConfig, PoolEvent, SlotRequest, Slots},
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

const RUN: Duration = Duration::from_secs(30);
const FAULT_AT: Duration = Duration::from_secs(10);
const SEED: u64 = 7;
/// How long an owner's upstreams rest after it was lost: the lease and its
/// margin. The wait for its requests' deadlines comes on top.
const LEASE: Duration = Duration::from_millis(3_300);
const CANCEL_HOLD: Duration = Duration::from_millis(250);
const REPORT_LAG: Duration = Duration::from_millis(750);
/// A cold upstream is this much slower until it has warmed up.
const COLD_FACTOR: f64 = 4.0;
const COLD_TIME: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, PartialEq)]
enum Way {
    Fixed,
    TwoChoices,
    Owned,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
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
    Done { entry: usize, upstream: UpstreamName, request: Request, work: Duration },
    Report,
    Fault,
    Poll { entry: usize },
}

#[derive(Clone, Copy)]
struct Request {
    ticket: u64,
    class: RequestClass,
    arrived: Duration,
    deadline: Duration,
    home: usize,
}

#[derive(Default)]
struct Tally {
    done: u64,
    refused: u64,
    arrived: u64,
    over_max: u32,
    /// The time that upstreams worked for requests that were answered.
    work: Duration,
    drain: Option<Duration>,
    reports: (u64, u64),
}

struct Sim<'a> {
    way: Way,
    trouble: Trouble,
    load: f64,
    lag: Duration,
    topology: &'a Topology,
    service_name: &'a String,
    service: &'a Service,
    entries: Vec<(InstanceName, RegionName)>,
    pools: Vec<Pool>,
    policy: Policy,
    alive: Vec<bool>,
    ready_again: BTreeMap<UpstreamName, Duration>,
    running: BTreeMap<UpstreamName, u32>,
    reported: BTreeMap<UpstreamName, u32>,
    loads: BTreeMap<InstanceName, LoadReport>,
    /// What each entry forwarded to each other one and is not done.
    sent: Vec<BTreeMap<InstanceName, u32>>,
    waiting: BTreeMap<u64, Request>,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    random: StdRng,
    tally: Tally,
    latency: Histogram<u64>,
    hop: Duration,
    drained: Option<UpstreamName>,
}

impl<'a> Sim<'a> {
    fn new(
        topology: &'a Topology,
        service_name: &'a String,
        way: Way,
        trouble: Trouble,
        load: f64,
        hop: Duration,
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
        let lag = if trouble == Trouble::Lag2s { Duration::from_secs(2) } else { REPORT_LAG };
        let mut sim = Self {
            way,
            trouble,
            load,
            lag,
            topology,
            service_name,
            service,
            alive: vec![true; entries.len()],
            entries,
            pools,
            policy: Policy::default(),
            ready_again: BTreeMap::new(),
            running: BTreeMap::new(),
            reported: BTreeMap::new(),
            loads: BTreeMap::new(),
            sent: Vec::new(),
            waiting: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            random: StdRng::seed_from_u64(SEED),
            tally: Tally::default(),
            latency: Histogram::new_with_bounds(1, 1_000_000_000, 3).unwrap(),
            hop,
            drained: None,
        };
        sim.sent = vec![BTreeMap::new(); sim.entries.len()];
        sim.share_out();
        sim.at(Duration::ZERO, Event::Arrive);
        sim.at(Duration::ZERO, Event::Report);
        sim.at(FAULT_AT, Event::Fault);
        sim
    }

    /// Hands the upstreams out: whole ones to owners, or shares to all.
    fn share_out(&mut self) {
        for (name, upstream) in &self.service.upstreams {
            let local = self.local_entries(upstream);
            if self.way == Way::Fixed {
                for (place, entry) in local.iter().enumerate() {
                    let share = (upstream.slots as usize + place) / local.len();
                    self.pools[*entry].add(name, Slots::new(1, share as u32));
                }
                continue;
            }
            let near: Vec<usize> = local
                .iter()
                .copied()
                .filter(|entry| {
                    self.topology.instance_zones[&self.entries[*entry].0] == upstream.zone
                })
                .collect();
            // As the core plans it: by availability zone, then evenly.
            let choice = if near.is_empty() { &local } else { &near };
            let count = |entry: &&usize| self.pools[**entry].owned().count();
            let owner = *choice.iter().min_by_key(count).unwrap();
            self.own(name, owner, 1, Slots::new(1, upstream.slots));
        }
    }

    fn own(&mut self, name: &UpstreamName, owner: usize, epoch: u64, slots: Slots) {
        self.pools[owner].add(name, slots);
        let holder = Holder::new(self.entries[owner].0.clone(), 1);
        let held = Ownership { owner: Some(holder), epoch, unsettled: false, handover: None };
        self.policy.owners.insert(name.clone(), held);
    }

    fn local_entries(&self, upstream: &Upstream) -> Vec<usize> {
        let region = self.topology.region_of_zone(&upstream.zone).unwrap();
        (0..self.entries.len())
            .filter(|entry| self.entries[*entry].1 == *region && self.alive[*entry])
            .collect()
    }

    fn at(&mut self, when: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((when, self.sequence), event);
    }

    fn run(mut self) -> (Tally, Histogram<u64>) {
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > RUN {
                break;
            }
            match event {
                Event::Arrive => self.arrive(now),
                Event::Offer { entry, request, hops } => self.offer(entry, request, hops, now),
                Event::Done { entry, upstream, request, work } => {
                    self.done(entry, upstream, request, work, now)
                }
                Event::Report => self.report(now),
                Event::Fault => self.fault(now),
                Event::Poll { entry } => {
                    let events = self.pools[entry].poll(now);
                    self.follow(entry, events, now);
                }
            }
        }
        (self.tally, self.latency)
    }

    fn mix(&mut self) -> RequestClass {
        let slow =
            self.service.request_classes.iter().any(|(_, class)| *class == RequestClass::Upload);
        match (slow, self.random.random::<f64>()) {
            (true, part) if part < 0.2 => RequestClass::Report,
            (true, _) => RequestClass::Upload,
            (false, part) if part < 0.3 => RequestClass::Booking,
            (false, _) => RequestClass::Read,
        }
    }

    fn mean_ms(class: RequestClass) -> f64 {
        match class {
            RequestClass::Booking => 40.0,
            RequestClass::Read => 20.0,
            RequestClass::Upload => 400.0,
            RequestClass::Report => 1500.0,
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random::<f64>()).ln()
    }

    fn arrive(&mut self, now: Duration) {
        let slots: u32 = self.service.upstreams.values().map(|upstream| upstream.slots).sum();
        let slow =
            self.service.request_classes.iter().any(|(_, class)| *class == RequestClass::Upload);
        let mean = if slow { 0.8 * 400.0 + 0.2 * 1500.0 } else { 0.3 * 40.0 + 0.7 * 20.0 };
        let pause = self.exponential(mean / f64::from(slots) / self.load);
        self.at(now + Duration::from_secs_f64(pause / 1000.0), Event::Arrive);
        self.tally.arrived += 1;
        let class = self.mix();
        if class == RequestClass::Report {
            self.tally.reports.1 += 1;
        }
        // Callers go to regions as the upstreams' slots do.
        let upstream = self
            .service
            .upstreams
            .values()
            .nth(self.random.random_range(0..self.service.upstreams.len()))
            .unwrap()
            .clone();
        let local = self.local_entries(&upstream);
        if local.is_empty() {
            self.tally.refused += 1;
            return;
        }
        let entry = local[self.random.random_range(0..local.len())];
        let request = Request {
            ticket: self.sequence,
            class,
            arrived: now,
            deadline: now + self.service.request_timeout,
            home: entry,
        };
        self.offer(entry, request, 0, now);
    }

    fn offer(&mut self, entry: usize, request: Request, hops: u32, now: Duration) {
        if !self.alive[entry] {
            self.tally.refused += 1;
            return;
        }
        if self.way == Way::TwoChoices {
            return self.offer_two(entry, request, hops, now);
        }
        if self.way == Way::Owned && hops == 0 {
            let waiting = SlotRequest::new(request.ticket, request.class, request.deadline);
            if let Some(upstream) = self.pools[entry].offer_now(&waiting, now) {
                return self.start(entry, upstream, request, now);
            }
            let order = self.order(entry);
            match order.first() {
                Some(first) if *first != entry => return self.forward(*first, request, 1, now),
                None => {
                    self.tally.refused += 1;
                    return;
                }
                _ => {}
            }
        }
        let waiting = SlotRequest::new(request.ticket, request.class, request.deadline);
        match self.pools[entry].offer(waiting, now) {
            Offer::Dispatch { upstream } => self.start(entry, upstream, request, now),
            Offer::Queued => {
                self.waiting.insert(request.ticket, request);
                self.poll_later(entry, now);
            }
            // A second owner is tried within the retry budget of two offers.
            Offer::Refused { .. } if self.way == Way::Owned && hops < 2 => {
                let order = self.order(request.home);
                match order.iter().find(|other| **other != entry) {
                    Some(other) => self.forward(*other, request, 2, now),
                    None => self.tally.refused += 1,
                }
            }
            Offer::Refused { .. } => self.tally.refused += 1,
        }
    }

    fn forward(&mut self, to: usize, request: Request, hops: u32, now: Duration) {
        *self.sent[request.home].entry(self.entries[to].0.clone()).or_insert(0) += 1;
        self.at(now + self.hop, Event::Offer { entry: to, request, hops });
    }

    fn order(&self, entry: usize) -> Vec<usize> {
        let me = Holder::new(self.entries[entry].0.clone(), 1);
        let (name, region) = (self.service_name, &self.entries[entry].1);
        let choices = rank_owners(
            &me,
            &self.policy,
            self.topology,
            name,
            region,
            &self.loads,
            &self.sent[entry],
        );
        let local = choices.iter().filter(|choice| choice.region == *region);
        local
            .filter_map(|choice| {
                self.entries.iter().position(|(name, _)| *name == choice.holder.instance)
            })
            .collect()
    }

    fn offer_two(&mut self, entry: usize, request: Request, hops: u32, now: Duration) {
        let region = self.entries[entry].1.clone();
        let local: Vec<(UpstreamName, u32)> = self
            .service
            .upstreams
            .iter()
            .filter(|(name, upstream)| {
                self.topology.region_of_zone(&upstream.zone) == Some(&region)
                    && self.drained.as_ref() != Some(*name)
            })
            .map(|(name, upstream)| (name.clone(), upstream.slots))
            .collect();
        let one = local[self.random.random_range(0..local.len())].clone();
        let two = local[self.random.random_range(0..local.len())].clone();
        let load = |name: &UpstreamName| self.reported.get(name).copied().unwrap_or(0);
        let (name, slots) = if load(&one.0) <= load(&two.0) { one } else { two };
        let used = self.running.get(&name).copied().unwrap_or(0);
        if used >= slots {
            self.tally.over_max = self.tally.over_max.max(used + 1 - slots);
            // The upstream sheds it; one retry is allowed.
            if hops == 0 {
                self.at(now + 2 * self.hop, Event::Offer { entry, request, hops: 1 });
            } else {
                self.tally.refused += 1;
            }
            return;
        }
        self.start(entry, name, request, now);
    }

    fn start(&mut self, entry: usize, upstream: UpstreamName, request: Request, now: Duration) {
        let mut time = self.exponential(Self::mean_ms(request.class));
        let described = &self.service.upstreams[&upstream];
        let cold = self.trouble == Trouble::ColdRegion
            && now >= FAULT_AT
            && now < FAULT_AT + COLD_TIME
            && self.topology.region_of_zone(&described.zone) == self.topology.regions.keys().next();
        if cold {
            time *= COLD_FACTOR;
        }
        let running = self.running.entry(upstream.clone()).or_insert(0);
        *running += 1;
        self.tally.over_max = self.tally.over_max.max(running.saturating_sub(described.slots));
        let far = self.topology.instance_zones[&self.entries[entry].0] != described.zone;
        let there = if far { self.hop } else { Duration::ZERO };
        let work = Duration::from_secs_f64(time / 1000.0);
        let end = now + 2 * there + work;
        self.at(end, Event::Done { entry, upstream, request, work });
    }

    fn done(
        &mut self,
        entry: usize,
        upstream: UpstreamName,
        request: Request,
        work: Duration,
        now: Duration,
    ) {
        if let Some(running) = self.running.get_mut(&upstream) {
            *running -= 1;
        }
        if self.drained.as_ref() == Some(&upstream)
            && self.running[&upstream] == 0
            && self.tally.drain.is_none()
        {
            self.tally.drain = Some(now - FAULT_AT);
        }
        if entry != request.home
            && let Some(sent) = self.sent[request.home].get_mut(&self.entries[entry].0)
        {
            *sent = sent.saturating_sub(1);
        }
        if self.alive[entry] {
            let back = if entry == request.home { Duration::ZERO } else { self.hop };
            self.tally.done += 1;
            self.tally.work += work;
            if request.class == RequestClass::Report {
                self.tally.reports.0 += 1;
            }
            self.latency
                .record(((now + back - request.arrived).as_micros() as u64).max(1))
                .unwrap();
        }
        let events = self.pools[entry].finish(request.ticket, Finish::Done, now);
        self.follow(entry, events, now);
    }

    fn follow(&mut self, entry: usize, events: Vec<PoolEvent>, now: Duration) {
        for event in events {
            match event {
                PoolEvent::Dispatch { ticket, upstream } => {
                    let request = self.waiting.remove(&ticket).unwrap();
                    self.start(entry, upstream, request, now);
                }
                PoolEvent::Refused { ticket, .. } => {
                    self.waiting.remove(&ticket);
                    self.tally.refused += 1;
                }
            }
        }
    }

    fn poll_later(&mut self, entry: usize, now: Duration) {
        if let Some(due) = self.pools[entry].next_due(now) {
            self.at(due.max(now), Event::Poll { entry });
        }
    }

    fn report(&mut self, now: Duration) {
        self.at(now + self.lag, Event::Report);
        self.reported = self.running.clone();
        if self.trouble == Trouble::FalseReport {
            let first = self.service.upstreams.keys().next().unwrap().clone();
            self.reported.insert(first, 0);
        }
        for (entry, (name, _)) in self.entries.iter().enumerate() {
            let mut load = self.pools[entry].load(now);
            if self.trouble == Trouble::FalseReport && entry == 0 {
                load.used_slots = 0;
                load.waiting = 0;
            }
            let services = BTreeMap::from([(self.service_name.clone(), load)]);
            self.loads.insert(name.clone(), LoadReport { services });
        }
        // Upstreams of a lost owner pass on once they are safe to use.
        let due: Vec<UpstreamName> = self
            .ready_again
            .iter()
            .filter(|(_, when)| **when <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.ready_again.remove(&name);
            let upstream = &self.service.upstreams[&name];
            let local = self.local_entries(upstream);
            if let Some(owner) = local.get(self.random.random_range(0..local.len().max(1))) {
                self.own(&name, *owner, 2, Slots::new(2, upstream.slots).with_unsettled(now));
            }
        }
    }

    fn fault(&mut self, now: Duration) {
        match self.trouble {
            Trouble::EntryLost => self.lose(|entry, _| entry == 0, now),
            Trouble::RegionLost => {
                let region = self.entries[0].1.clone();
                self.lose(|_, held| *held == region, now);
            }
            Trouble::Draining => {
                let name = self.service.upstreams.keys().next().unwrap().clone();
                for pool in &mut self.pools {
                    if let Some(slots) = pool.slots_mut(&name) {
                        slots.set_draining(true, now);
                    }
                }
                self.drained = Some(name);
            }
            _ => {}
        }
    }

    fn lose(&mut self, lost: impl Fn(usize, &RegionName) -> bool, now: Duration) {
        for entry in 0..self.entries.len() {
            if !lost(entry, &self.entries[entry].1) {
                continue;
            }
            self.alive[entry] = false;
            for (name, _) in
                self.pools[entry].owned().map(|(n, s)| (n.clone(), s.epoch())).collect::<Vec<_>>()
            {
                self.policy.owners.remove(&name);
                if self.way == Way::Owned {
                    self.ready_again.insert(name, now + LEASE + self.service.request_timeout);
                }
            }
        }
        let gone: Vec<u64> =
            self.waiting.iter().filter(|(_, r)| !self.alive[r.home]).map(|(t, _)| *t).collect();
        self.tally.refused += gone.len() as u64;
    }
}

fn main() {
    println!(
        "| deployment, service | load | trouble | way | p50 ms | p99 ms | completed % | work % of the slots | refused % | most over slots | reports done % | drain s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    let part = std::env::args().nth(1).unwrap_or_default();
    let troubles = [
        Trouble::None,
        Trouble::Lag2s,
        Trouble::EntryLost,
        Trouble::RegionLost,
        Trouble::ColdRegion,
        Trouble::FalseReport,
        Trouble::Draining,
    ];
    for (file, hop_ms) in [("shalom-platters", 3), ("kilimanjaro-garderobe", 5)] {
        let path = format!("{}/examples/settings/{file}.jsonc", env!("CARGO_MANIFEST_DIR"));
        let settings =
            settings::load(Path::new(&path)).unwrap_or_else(|findings| panic!("{findings}"));
        for service in settings.topology.services.keys() {
            for load in [0.7, 0.95, 1.3] {
                for trouble in troubles {
                    let cell = format!("{file}, {service} | {load} | {trouble:?}");
                    if !cell.contains(&part) {
                        continue;
                    }
                    for way in [Way::Fixed, Way::TwoChoices, Way::Owned] {
                        let sim = Sim::new(
                            &settings.topology,
                            service,
                            way,
                            trouble,
                            load,
                            Duration::from_millis(hop_ms),
                        );
                        let (tally, latency) = sim.run();
                        let name = match way {
                            Way::Fixed => "fixed",
                            Way::TwoChoices => "two-choices",
                            Way::Owned => "owned",
                        };
                        let described = &settings.topology.services[service].upstreams;
                        let slots: u32 = described.values().map(|upstream| upstream.slots).sum();
                        let slot_seconds = f64::from(slots) * RUN.as_secs_f64();
                        let percent = |count: u64, of: u64| 100.0 * count as f64 / of.max(1) as f64;
                        let ms =
                            |quantile: f64| latency.value_at_quantile(quantile) as f64 / 1000.0;
                        println!(
                            "| {cell} | {name} | {:.1} | {:.1} | {:.2} | {:.1} | {:.2} | {} | {:.1} | {} |",
                            ms(0.5),
                            ms(0.99),
                            percent(tally.done, tally.arrived),
                            100.0 * tally.work.as_secs_f64() / slot_seconds,
                            percent(tally.refused, tally.arrived),
                            tally.over_max,
                            percent(tally.reports.0, tally.reports.1),
                            tally
                                .drain
                                .map_or("-".to_owned(), |d| format!("{:.2}", d.as_secs_f64()))
                        );
                    }
                }
            }
        }
    }
}
