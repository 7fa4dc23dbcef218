//! Models the ownership of one upstream by two entry instances.
//!
//! The upstream must never run more requests than it has slots, in every order
//! of events within small bounds: leases, crashes, freezes, late replies, a
//! change of leader, and clocks that run at different rates.

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
    rc::Rc,
    time::Duration,
};

use sha2::{Digest, Sha256};

use bulrushspan::core::{
    admission::{Admission, AdmissionConfig, Finish, OfferOutcome, SlotRequest},
    claims::ClaimLimits,
    control::{
        Command, ControlLimits, ControlState, Holder, InitialPolicy, LoadReport, Outcome,
        PlanInputs, Policy, Region, RequestClass, Service, Session, Sessions, SessionsConfig,
        Topology, Upstream, Zone, plan,
    },
};

use super::explore::{SearchResult, explore};

/// Keeps no deltas, so every grant carries the whole policy.
const LIMITS: ControlLimits = ControlLimits {
    outcomes_max: 0,
    audit_max: 0,
    deltas_max_bytes: 0,
    claims: ClaimLimits { epochs_kept: 1, claims_max: 0 },
};
/// The time between two ticks of the model.
const TICK: Duration = Duration::from_secs(1);
const LEASE: Duration = Duration::from_secs(3);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
const START: Duration = Duration::from_secs(10);

/// The leader, the entry instances, the upstream and the grants in transit.
#[derive(Clone, Debug)]
struct World {
    now: Duration,
    drift_margin: Duration,
    state: Rc<ControlState>,
    sessions: Rc<Sessions>,
    entries: BTreeMap<String, Rc<EntryInstance>>,
    /// Grants in transit from a leader to an entry instance.
    grants: Vec<Grant>,
    /// The requests that the upstream runs: start, entry instance and ticket.
    running: Vec<(Duration, String, u64)>,
    remaining: Budget,
    fault: Option<Fault>,
}

/// The process of an entry instance.
#[derive(Clone, Debug)]
struct EntryInstance {
    holder: Holder,
    /// The time by its own clock, which may run slow.
    clock: Duration,
    admission: Admission,
    tickets: u64,
}

/// A lease and the policy that came with it.
#[derive(Clone, Debug)]
struct Grant {
    to: Holder,
    /// When the lease was requested, by the clock of the entry instance.
    requested_at: Duration,
    policy: Rc<Policy>,
}

/// Bounds how often each kind of event may still occur.
#[derive(Clone, Copy, Debug)]
struct Budget {
    ticks: u32,
    /// Ticks that the clock of one entry instance misses.
    slow_ticks: u32,
    requests: u32,
    restarts: u32,
    /// Changes of leader.
    leader_changes: u32,
    /// Grants that arrive late.
    delays: u32,
}

/// A fault planted to show that the model finds it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// A new leader treats the leases that its predecessor granted as expired.
    EarlyLeaseExpiry,
    /// A new owner does not wait for the requests of the previous one.
    MissingHandoverWait,
}

/// A world that is compared and hashed by the digest of its debug output.
#[derive(Clone, Debug)]
struct DigestedWorld {
    digest: [u8; 32],
    world: World,
}

impl DigestedWorld {
    fn new(world: World) -> Self {
        Self { digest: Sha256::digest(format!("{world:?}")).into(), world }
    }
}

impl PartialEq for DigestedWorld {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl Eq for DigestedWorld {}

impl Hash for DigestedWorld {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.digest.hash(hasher);
    }
}

fn topology() -> Topology {
    let upstream = Upstream {
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".to_owned(),
        slots: 1,
        connections_max: 1,
    };
    let service = Service {
        upstreams: BTreeMap::from([("u".to_owned(), upstream)]),
        request_timeout: REQUEST_TIMEOUT,
        wait_max: Duration::ZERO,
        queue_max: 0,
        request_classes: Vec::new(),
        body_max_bytes: 0,
        retry_percent: 0,
        shed_means_not_run: false,
    };
    Topology {
        regions: BTreeMap::from([("r".to_owned(), Region { zones: vec!["a".to_owned()] })]),
        zones: BTreeMap::from([("a".to_owned(), Zone { region: "r".to_owned() })]),
        services: BTreeMap::from([("s".to_owned(), service)]),
        instance_zones: ["e1", "e2"].map(|name| (name.to_owned(), "a".to_owned())).into(),
        claim_epoch_duration: Duration::from_secs(1_000_000),
        suspect_retention: Duration::from_secs(1_000_000),
        ..Topology::default()
    }
}

impl World {
    /// Returns a world in which one entry instance owns the upstream.
    fn new(budget: Budget, drift_margin: Duration, fault: Option<Fault>) -> Self {
        let config = SessionsConfig { lease: LEASE, drift_margin };
        let entries =
            ["e1", "e2"].map(|name| (name.to_owned(), Rc::new(EntryInstance::new(name, 1, START))));
        let mut world = Self {
            now: START,
            drift_margin,
            state: Rc::default(),
            sessions: Rc::new(Sessions::new(config, Duration::ZERO)),
            entries: entries.into(),
            grants: Vec::new(),
            running: Vec::new(),
            remaining: budget,
            fault,
        };
        let initial = InitialPolicy {
            presets: Vec::new(),
            in_force: "p".into(),
            blocks: vec![("10.0.0.0/8".parse().unwrap(), "r".to_owned())],
        };
        world.apply(Command::Seed(initial));
        for name in ["e1", "e2", "e1"] {
            world = world.watch(name).receive(0);
        }
        world
    }

    fn apply(&mut self, command: Command) -> Outcome {
        Rc::make_mut(&mut self.state).apply(command, &topology(), &LIMITS)
    }

    /// Returns the worlds that are reachable by one event.
    fn successors(&self) -> Vec<Self> {
        let mut next: Vec<Self> =
            (0..self.grants.len()).map(|index| self.clone().receive(index)).collect();
        for name in self.entries.keys() {
            let has_grant_in_transit = self.grants.iter().any(|grant| grant.to.instance == *name);
            if !has_grant_in_transit {
                next.push(self.clone().watch(name).receive(self.grants.len()));
            }
            if !has_grant_in_transit && self.remaining.delays > 0 {
                let mut world = self.clone();
                world.remaining.delays -= 1;
                next.push(world.watch(name));
            }
            if self.remaining.requests > 0 {
                next.push(self.clone().request(name));
            }
            if self.remaining.restarts > 0 {
                next.push(self.clone().restart(name));
            }
        }
        if self.remaining.ticks > 0 {
            next.push(self.clone().tick(None));
            if self.remaining.slow_ticks > 0 {
                next.extend(self.entries.keys().map(|name| self.clone().tick(Some(name))));
            }
        }
        if self.remaining.leader_changes > 0 {
            next.push(self.clone().change_leader());
        }
        next
    }

    /// Advances all clocks but that of `slow_entry`.
    fn tick(mut self, slow_entry: Option<&str>) -> Self {
        self.remaining.ticks -= 1;
        self.now += TICK;
        for (name, entry) in &mut self.entries {
            if slow_entry == Some(name) {
                self.remaining.slow_ticks -= 1;
            } else {
                Rc::make_mut(entry).clock += TICK;
            }
        }
        // An upstream abandons a request at its deadline.
        let now = self.now;
        let (expired_requests, running) = self
            .running
            .clone()
            .into_iter()
            .partition(|(started_at, _, _)| *started_at + REQUEST_TIMEOUT <= now);
        self.running = running;
        for (_, name, ticket) in Vec::<(Duration, String, u64)>::from_iter(expired_requests) {
            if let Some(entry) = self.entries.get_mut(&name) {
                let entry = Rc::make_mut(entry);
                entry.admission.finish("s", ticket, Finish::Done, entry.clock);
            }
        }
        self.plan()
    }

    /// Requests a lease for an entry instance, which the leader grants. The grant
    /// is in transit.
    fn watch(mut self, name: &str) -> Self {
        let entry = &self.entries[name];
        let session = Session {
            granted_at: self.now,
            version: 0,
            stopping: false,
            load: LoadReport::default(),
        };
        Rc::make_mut(&mut self.sessions).record_grant(entry.holder.clone(), session);
        let mut world = self.plan();
        let policy = Rc::new(world.state.policy().clone());
        let requested_at = world.entries[name].clock;
        let to = world.entries[name].holder.clone();
        world.grants.push(Grant { to, requested_at, policy });
        world
    }

    /// Delivers a grant, which a process other than the requester ignores.
    fn receive(mut self, index: usize) -> Self {
        let mut grant = self.grants.remove(index);
        let Some(entry) = self.entries.get_mut(&grant.to.instance) else { return self };
        if entry.holder != grant.to {
            return self;
        }
        let entry = Rc::make_mut(entry);
        if self.fault == Some(Fault::MissingHandoverWait) {
            let policy = Rc::make_mut(&mut grant.policy);
            policy.owners.values_mut().for_each(|ownership| ownership.unsettled = false);
        }
        entry.admission.set_lease(grant.requested_at + LEASE);
        entry.admission.apply_policy(&grant.policy, &topology(), entry.clock);
        self
    }

    /// Applies the commands that the leader proposes until it proposes no more.
    fn plan(mut self) -> Self {
        loop {
            let (state, topology) = (self.state.clone(), topology());
            let commands = plan(&PlanInputs {
                state: &state,
                topology: &topology,
                sessions: &self.sessions,
                now: self.now,
                unix_ms: 0,
                last_shift_at: Duration::ZERO,
            });
            if commands.is_empty() {
                return self;
            }
            for command in commands {
                self.apply(command);
            }
        }
    }

    /// Sends a request from an entry instance to the upstream if it has a free slot.
    fn request(mut self, name: &str) -> Self {
        self.remaining.requests -= 1;
        let now = self.now;
        let Some(entry) = self.entries.get_mut(name) else { return self };
        let entry = Rc::make_mut(entry);
        entry.tickets += 1;
        let ticket = entry.tickets;
        entry.admission.poll(entry.clock);
        let slot_request =
            SlotRequest::new(ticket, RequestClass::Booking, entry.clock + REQUEST_TIMEOUT);
        if let Some(OfferOutcome::Dispatch { .. }) =
            entry.admission.offer("s", slot_request, entry.clock)
        {
            self.running.push((now, name.to_owned(), ticket));
        }
        self
    }

    /// Replaces the process of an entry instance. The requests that the old one
    /// sent keep running.
    fn restart(mut self, name: &str) -> Self {
        self.remaining.restarts -= 1;
        let previous = &self.entries[name];
        let entry = EntryInstance::new(name, previous.holder.incarnation + 1, previous.clock);
        self.entries.insert(name.to_owned(), Rc::new(entry));
        self
    }

    /// Starts a leader that knows none of the sessions.
    fn change_leader(mut self) -> Self {
        self.remaining.leader_changes -= 1;
        let config = SessionsConfig { lease: LEASE, drift_margin: self.drift_margin };
        let started_at = match self.fault {
            Some(Fault::EarlyLeaseExpiry) => Duration::ZERO,
            _ => self.now,
        };
        self.sessions = Rc::new(Sessions::new(config, started_at));
        self
    }

    /// Returns whether the upstream runs more requests than its one slot allows.
    fn exceeds_slots(&self) -> bool {
        self.running.len() > 1
    }
}

impl EntryInstance {
    fn new(name: &str, incarnation: u64, clock: Duration) -> Self {
        let holder = Holder::new(name, incarnation);
        let config = AdmissionConfig { cancel_hold: Duration::ZERO };
        let admission = Admission::new(holder.clone(), &topology(), config);
        Self { holder, clock, admission, tickets: 0 }
    }
}

fn check(world: World, depth: u32) -> SearchResult<DigestedWorld> {
    let successors = |node: &DigestedWorld| {
        node.world.successors().into_iter().map(DigestedWorld::new).collect()
    };
    explore(DigestedWorld::new(world), depth, successors, |node| node.world.exceeds_slots())
}

const DEFAULT_BUDGET: Budget =
    Budget { ticks: 5, slow_ticks: 2, requests: 2, restarts: 1, leader_changes: 1, delays: 1 };

#[test]
fn an_upstream_never_gets_more_requests_than_its_slots() {
    let result = check(World::new(DEFAULT_BUDGET, TICK, None), 6);
    assert!(result.violation.is_none(), "{:#?}", result.violation);
    println!("ownership: {} states", result.states);
    insta::assert_snapshot!("ownership", result.states);
}

#[test]
fn a_takeover_never_exceeds_the_slots() {
    let budget = Budget { ticks: 9, restarts: 0, leader_changes: 0, delays: 0, ..DEFAULT_BUDGET };
    let result = check(World::new(budget, TICK, None), 10);
    assert!(result.violation.is_none(), "{:#?}", result.violation);
    println!("takeover: {} states", result.states);
    insta::assert_snapshot!("takeover", result.states);
}

#[test]
fn a_missing_drift_margin_is_found() {
    let budget = Budget { restarts: 0, leader_changes: 0, delays: 0, ..DEFAULT_BUDGET };
    // The handover wait is disabled too, so that only the drift margin separates
    // the requests of the two owners.
    let world = World::new(budget, Duration::ZERO, Some(Fault::MissingHandoverWait));
    assert!(check(world, 9).violation.is_some());
}

#[test]
fn a_leader_that_expires_leases_early_is_found() {
    let budget = Budget { slow_ticks: 0, restarts: 0, delays: 0, ..DEFAULT_BUDGET };
    let world = World::new(budget, TICK, Some(Fault::EarlyLeaseExpiry));
    assert!(check(world, 9).violation.is_some());
}

#[test]
fn a_new_owner_that_does_not_wait_is_found() {
    let budget =
        Budget { slow_ticks: 0, restarts: 0, leader_changes: 0, delays: 0, ..DEFAULT_BUDGET };
    let world = World::new(budget, TICK, Some(Fault::MissingHandoverWait));
    assert!(check(world, 10).violation.is_some());
}
