//! Knows the upstreams and how busy they are, and chooses among them.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use super::{
    affinity::{object_of, rank},
    cold::{COLD_MARGIN, ColdLimit},
    health::{CheckResult, Health},
};
use crate::core::{
    control::{RegionName, ServiceName, ZoneName},
    routing::ServiceSpec,
    upstreams::{ListedState, ListedUpstream, UpstreamId},
};

/// Knows the upstreams and how busy they are, and chooses among them.
///
/// All times are measured from one origin that the driver chooses.
#[derive(Clone, Debug)]
pub struct Balancer {
    place: Place,
    cold_limit: ColdLimit,
    services: BTreeMap<ServiceName, Arc<ServiceSpec>>,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    evacuated: BTreeSet<ZoneName>,
}

/// Says where an instance is, and how availability zones lie.
#[derive(Clone, Debug, Default)]
pub struct Place {
    /// The instance's region.
    pub region: RegionName,
    /// The instance's availability zone.
    pub zone: ZoneName,
    /// The region of every availability zone.
    pub regions_of_zones: BTreeMap<ZoneName, RegionName>,
}

/// Says what a request needs of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The route.
    pub route: &'a str,
    /// The object that the request concerns.
    pub key: &'a str,
    /// The regions in which the request may run; none means any.
    pub home_regions: &'a [RegionName],
    /// The upstreams that are out of the question.
    pub tried: &'a [UpstreamId],
}

#[derive(Clone, Debug)]
struct Upstream {
    listed: ListedUpstream,
    in_flight: u32,
    health: Health,
    cold_until: Duration,
    /// When this instance may next send a request while the upstream is cold.
    cold_turn: Duration,
}

/// Names the upstream that was chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A region's own upstreams go first where it holds at least this part of
/// all slots of a service.
const OWN_REGION_SHARE_MIN: f64 = 0.3;

impl Balancer {
    /// Returns a balancer that knows no upstreams.
    pub fn new(place: Place, cold_limit: ColdLimit) -> Self {
        Self {
            place,
            cold_limit,
            services: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            evacuated: BTreeSet::new(),
        }
    }

    /// Sets how many entry instances share the limits.
    pub fn set_entries(&mut self, entries: u32) {
        self.cold_limit.entries = entries;
    }

    /// Sets what is known of services.
    pub fn set_services(&mut self, services: BTreeMap<ServiceName, Arc<ServiceSpec>>) {
        self.services = services;
    }

    /// Takes over what changed in the list of upstreams, as of `now`.
    pub fn update(
        &mut self,
        whole: bool,
        put: Vec<ListedUpstream>,
        removed: &[UpstreamId],
        now: Duration,
    ) {
        if whole {
            let listed: BTreeSet<&UpstreamId> = put.iter().map(|upstream| &upstream.id).collect();
            self.upstreams.retain(|id, _| listed.contains(id));
        }
        for id in removed {
            self.upstreams.remove(id);
        }
        for listed in put {
            let in_flight = match self.upstreams.get_mut(&listed.id) {
                Some(held) if held.listed.started_unix_ms == listed.started_unix_ms => {
                    held.list_again(listed, now);
                    continue;
                }
                Some(held) => held.in_flight,
                None => 0,
            };
            self.upstreams.insert(listed.id.clone(), Upstream::new(listed, in_flight, now));
        }
    }

    /// Sets the availability zones whose upstreams get no new work. Those of
    /// a zone that is taken back may have started anew, so they count as cold.
    pub fn set_evacuated(&mut self, evacuated: BTreeSet<ZoneName>, now: Duration) {
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        for upstream in self.upstreams.values_mut() {
            let zone = &upstream.listed.zone;
            if before.contains(zone) && !self.evacuated.contains(zone) {
                let cold = self.services.get(&upstream.listed.service);
                let cold_start = cold.map_or(Duration::ZERO, |service| service.cold_start);
                upstream.be_cold_for(cold_start, now);
            }
        }
    }

    /// Counts the upstreams that are known.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Tells whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Chooses an upstream for a request. Cold ones are used only where there
    /// are no others, and no more often than they bear.
    pub fn choose(&mut self, wanted: &Wanted<'_>, now: Duration) -> Option<Choice> {
        let object = object_of(wanted.route, wanted.key);
        let usable = |upstream: &&Upstream| self.is_usable(upstream, wanted);
        let (cold, warm): (Vec<&Upstream>, Vec<&Upstream>) =
            self.upstreams.values().filter(usable).partition(|upstream| now < upstream.cold_until);
        if !warm.is_empty() {
            return self.ranked(warm, object).map(Upstream::choice);
        }
        let in_turn = cold.into_iter().filter(|upstream| now >= upstream.cold_turn).collect();
        let choice = self.ranked(in_turn, object).map(Upstream::choice)?;
        let spacing = self.cold_spacing(wanted.service);
        if let Some(upstream) = self.upstreams.get_mut(&choice.id) {
            upstream.cold_turn = now + spacing;
        }
        Some(choice)
    }

    /// Returns the best of some upstreams: the first for the object with a
    /// free slot, or else the first for the object.
    fn ranked<'a>(&self, among: Vec<&'a Upstream>, object: u64) -> Option<&'a Upstream> {
        let mut ranked: Vec<(&Upstream, f64, bool)> = among
            .into_iter()
            .map(|upstream| {
                let rank = rank(&upstream.listed.id, object, f64::from(upstream.listed.slots));
                (upstream, rank, self.is_own_region(upstream))
            })
            .collect();
        let slots = |own: bool| -> f64 {
            let counted = ranked.iter().filter(|(_, _, is_own)| *is_own || !own);
            counted.map(|(upstream, ..)| f64::from(upstream.listed.slots)).sum()
        };
        let own_first = slots(true) >= OWN_REGION_SHARE_MIN * slots(false);
        ranked.sort_by(|(_, left, left_own), (_, right, right_own)| {
            let own = if own_first { right_own.cmp(left_own) } else { Ordering::Equal };
            own.then(right.total_cmp(left))
        });
        let has_room = |upstream: &Upstream| upstream.in_flight < upstream.listed.slots;
        let free = ranked.iter().find(|(upstream, ..)| has_room(upstream));
        free.or_else(|| ranked.first()).map(|(upstream, ..)| *upstream)
    }

    /// Counts a request that is sent to an upstream.
    pub fn begin(&mut self, id: &UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.in_flight += 1;
        }
    }

    /// Counts the end of a request at an upstream.
    pub fn end(&mut self, id: &UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
    }

    /// Notes that an upstream can't be reached or broke off.
    pub fn note_failure(&mut self, id: &UpstreamId, now: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.health = upstream.health.after_failure(now);
        }
    }

    /// Tells whether any upstream is to be checked, now or later.
    pub fn has_suspects(&self) -> bool {
        self.upstreams.values().any(|upstream| upstream.health != Health::Sound)
    }

    /// Returns the upstreams that are to be checked now. Each is returned
    /// once; what the check found must be noted.
    pub fn take_due_checks(&mut self, now: Duration) -> Vec<(Choice, Arc<ServiceSpec>)> {
        let services = &self.services;
        let due = self.upstreams.values_mut().filter(|upstream| upstream.health.is_check_due(now));
        due.filter_map(|upstream| {
            upstream.health = upstream.health.checking();
            let service = services.get(&upstream.listed.service)?;
            Some((upstream.choice(), service.clone()))
        })
        .collect()
    }

    /// Notes what a health check found. Returns whether the upstream can be
    /// used again.
    pub fn note_check(&mut self, id: &UpstreamId, result: CheckResult, now: Duration) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else { return false };
        upstream.health = upstream.health.after_check(result, now);
        if let CheckResult::Healthy { cold_left } = result {
            upstream.be_cold_for(cold_left, now);
        }
        upstream.health == Health::Sound
    }

    fn cold_spacing(&self, service: &ServiceName) -> Duration {
        let rate = self.services.get(service).map_or(0.0, |service| service.cold_rate_per_s);
        self.cold_limit.spacing(rate)
    }

    fn is_usable(&self, upstream: &Upstream, wanted: &Wanted<'_>) -> bool {
        let listed = &upstream.listed;
        listed.service == *wanted.service
            && listed.state == ListedState::Ready
            && upstream.health == Health::Sound
            && !self.evacuated.contains(&listed.zone)
            && !wanted.tried.contains(&listed.id)
            && (wanted.home_regions.is_empty() || self.is_in(upstream, wanted.home_regions))
    }

    fn is_own_region(&self, upstream: &Upstream) -> bool {
        self.region_of(upstream) == Some(&self.place.region)
    }

    fn is_in(&self, upstream: &Upstream, homes: &[RegionName]) -> bool {
        self.region_of(upstream).is_some_and(|region| homes.contains(region))
    }

    fn region_of(&self, upstream: &Upstream) -> Option<&RegionName> {
        self.place.regions_of_zones.get(&upstream.listed.zone)
    }
}

impl Upstream {
    fn new(listed: ListedUpstream, in_flight: u32, now: Duration) -> Self {
        let cold_left = listed.cold_left;
        let mut upstream = Self {
            listed,
            in_flight,
            health: Health::Sound,
            cold_until: Duration::ZERO,
            cold_turn: Duration::ZERO,
        };
        upstream.be_cold_for(cold_left, now);
        upstream
    }

    fn list_again(&mut self, listed: ListedUpstream, now: Duration) {
        self.be_cold_for(listed.cold_left, now);
        self.listed = listed;
    }

    fn be_cold_for(&mut self, left: Duration, now: Duration) {
        if !left.is_zero() {
            self.cold_until = self.cold_until.max(now + left + COLD_MARGIN);
        }
    }

    fn choice(&self) -> Choice {
        Choice { id: self.listed.id.clone(), address: self.listed.address }
    }
}
