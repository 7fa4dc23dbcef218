//! Tracks the upstreams that one entry instance uses and chooses among them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use super::{
    cold::{COLD_MARGIN, ColdLimit},
    health::{CheckResult, Health},
    load::Load,
};
use crate::core::{
    MapDelta,
    control::{RegionName, ServiceName, ZoneName},
    placement::{
        Candidate, ObjectId, Placement, RankedObject, UpstreamHash, default_candidate,
        upstream_hash,
    },
    routing::ServiceSpec,
    upstreams::{ListedState, ListedUpstream, ReportedLoad, UpstreamId},
};

/// Represents the known upstreams with their health, load and cold times.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug)]
pub struct Balancer {
    locality: Locality,
    region_count: usize,
    cold_limit: ColdLimit,
    services: BTreeMap<ServiceName, Arc<ServiceSpec>>,
    upstreams: BTreeMap<UpstreamId, UpstreamState>,
    evacuated: BTreeSet<ZoneName>,
    /// The upstreams of objects that are not placed by default.
    placement: Placement,
}

/// Represents the location of an instance and the regions of all availability zones.
#[derive(Clone, Debug, Default)]
pub struct Locality {
    /// The instance's region.
    pub region: RegionName,
    /// The instance's availability zone.
    pub zone: ZoneName,
    /// The region of every availability zone.
    pub regions_of_zones: BTreeMap<ZoneName, RegionName>,
}

impl Locality {
    /// Returns whether an availability zone is in the instance's region.
    fn contains(&self, zone: &ZoneName) -> bool {
        self.regions_of_zones.get(zone) == Some(&self.region)
    }
}

/// Represents what a request requires of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The object of the request.
    pub object: ObjectId,
    /// Whether requests of the route have large bodies.
    pub has_large_body: bool,
    /// The regions in which the request may run; empty means all.
    pub home_regions: &'a [RegionName],
    /// The upstreams that are excluded because they were tried before.
    pub tried: &'a [UpstreamId],
}

#[derive(Clone, Debug)]
struct UpstreamState {
    listed: ListedUpstream,
    /// The hash of its id.
    hash: UpstreamHash,
    /// Whether it is in the region of this instance.
    is_local: bool,
    load: Load,
    health: Health,
    /// When the upstream stops counting as cold.
    cold_until: Duration,
    /// When this instance may next send a request while the upstream is cold.
    next_cold_send_at: Duration,
}

/// Represents the upstream chosen for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The id of the upstream.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// How long the request is expected to wait for a slot.
    pub expected_wait: Duration,
}

impl Balancer {
    /// Returns a balancer without upstreams.
    pub fn new(locality: Locality, cold_limit: ColdLimit) -> Self {
        let region_count = locality.regions_of_zones.values().collect::<BTreeSet<_>>().len();
        Self {
            locality,
            region_count,
            cold_limit,
            services: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            placement: Placement::default(),
        }
    }

    /// Sets the number of entry instances that share the limit for cold upstreams.
    pub fn set_entry_count(&mut self, entry_count: u32) {
        self.cold_limit.entry_count = entry_count;
    }

    /// Sets the specifications of the services.
    pub fn set_services(&mut self, services: BTreeMap<ServiceName, Arc<ServiceSpec>>) {
        self.services = services;
    }

    /// Applies a delta of the list of upstreams, as of `now`.
    ///
    /// An upstream that restarted starts with a fresh state, except for the
    /// number of this instance's requests in flight.
    pub fn apply_delta(&mut self, delta: MapDelta<UpstreamId, ListedUpstream>, now: Duration) {
        if delta.is_full {
            let listed: BTreeSet<&UpstreamId> = delta.put.iter().map(|(id, _)| id).collect();
            self.upstreams.retain(|id, _| listed.contains(id));
        }
        for id in &delta.removed {
            self.upstreams.remove(id);
        }
        for (_, listed) in delta.put {
            let in_flight = match self.upstreams.get_mut(&listed.id) {
                Some(existing) if existing.listed.started_unix_ms == listed.started_unix_ms => {
                    existing.set_listed(listed, now);
                    continue;
                }
                Some(existing) => existing.load.in_flight(),
                None => 0,
            };
            let is_local = self.locality.contains(&listed.zone);
            let upstream = UpstreamState::new(listed, is_local, in_flight, now);
            self.upstreams.insert(upstream.listed.id.clone(), upstream);
        }
    }

    /// Sets the availability zones whose upstreams get no new work.
    ///
    /// Upstreams of a zone whose evacuation ends may have restarted during it, so they
    /// count as cold.
    pub fn set_evacuated(&mut self, evacuated: BTreeSet<ZoneName>, now: Duration) {
        let previous = std::mem::replace(&mut self.evacuated, evacuated);
        for upstream in self.upstreams.values_mut() {
            let zone = &upstream.listed.zone;
            if previous.contains(zone) && !self.evacuated.contains(zone) {
                let service = self.services.get(&upstream.listed.service);
                let cold_start = service.map_or(Duration::ZERO, |service| service.cold_start);
                upstream.set_cold(cold_start, now);
            }
        }
    }

    /// Sets the upstreams of objects that are not placed by default.
    pub fn set_placement(&mut self, placement: Placement) {
        self.placement = placement;
    }

    /// Returns the number of known upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns the number of upstreams that are not used until a health check succeeds.
    pub fn count_unhealthy(&self) -> usize {
        self.upstreams.values().filter(|upstream| upstream.health != Health::Healthy).count()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Chooses an upstream for a request.
    ///
    /// Cold upstreams are used only if there are no others, and within their
    /// rate limit.
    pub fn choose(&mut self, requirements: &Requirements<'_>, now: Duration) -> Option<Choice> {
        let is_warm = |upstream: &UpstreamState| now >= upstream.cold_until;
        if let Some(upstream) = self.first_ranked(requirements, is_warm) {
            return Some(upstream.choice(now));
        }
        let may_send_cold = |upstream: &UpstreamState| now >= upstream.next_cold_send_at;
        let choice = self.first_ranked(requirements, may_send_cold)?.choice(now);
        let interval = self.cold_interval(requirements.service);
        if let Some(upstream) = self.upstreams.get_mut(&choice.id) {
            upstream.next_cold_send_at = now + interval;
        }
        Some(choice)
    }

    /// Returns the upstream on which the object is placed, or else its default one,
    /// among those for which `is_eligible` returns true.
    fn first_ranked(
        &self,
        requirements: &Requirements<'_>,
        is_eligible: impl Fn(&UpstreamState) -> bool,
    ) -> Option<&UpstreamState> {
        let is_candidate = |upstream: &&UpstreamState| {
            self.is_usable(upstream, requirements) && is_eligible(upstream)
        };
        let placed = self.placement.get(&requirements.object);
        let placed = placed.and_then(|id| self.upstreams.get(id)).filter(is_candidate);
        if placed.is_some() {
            return placed;
        }
        let ranked = RankedObject {
            object: requirements.object,
            has_large_body: requirements.has_large_body,
            region_count: self.region_count,
        };
        let upstreams: Vec<&UpstreamState> = self.upstreams.values().filter(is_candidate).collect();
        let first =
            default_candidate(ranked, upstreams.iter().map(|upstream| upstream.candidate()))?;
        upstreams.into_iter().find(|upstream| upstream.hash == first.hash)
    }

    /// Returns whether an upstream still takes new work: it is listed as ready, and its
    /// availability zone is not evacuated.
    pub fn takes_work(&self, id: &UpstreamId) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| self.is_in_service(upstream))
    }

    /// Returns whether an upstream that may handle a request failed and has not responded since.
    /// Another instance may reach it.
    pub fn has_silent(&self, requirements: &Requirements<'_>) -> bool {
        self.upstreams
            .values()
            .any(|upstream| upstream.health.is_silent() && self.may_handle(upstream, requirements))
    }

    /// Returns an upstream of a service that takes work, healthy or not: another one in each
    /// round, to find out whether any can be reached.
    pub fn probe_target(&self, service: &ServiceName, round: usize) -> Option<Choice> {
        let is_candidate = |upstream: &&UpstreamState| {
            upstream.listed.service == *service && self.is_in_service(upstream)
        };
        let count = self.upstreams.values().filter(is_candidate).count();
        let mut candidates = self.upstreams.values().filter(is_candidate);
        candidates.nth(round.checked_rem(count)?).map(|upstream| upstream.choice(Duration::ZERO))
    }

    /// Records that a request is sent to an upstream.
    pub fn record_start(&mut self, id: &UpstreamId, now: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.load.record_start(now);
        }
    }

    /// Records the end of a request at an upstream.
    pub fn record_end(&mut self, id: &UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.load.record_end();
        }
    }

    /// Records the load that an upstream reports.
    pub fn record_load(&mut self, id: &UpstreamId, report: ReportedLoad, now: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.load.record_report(report, now);
        }
    }

    /// Records how long an upstream took to respond, given the wait that was
    /// expected when it was chosen.
    pub fn record_elapsed(&mut self, choice: &Choice, elapsed: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(&choice.id) {
            upstream.load.record_elapsed(elapsed, choice.expected_wait);
        }
    }

    /// Records that an upstream can't be reached or did not complete its response.
    pub fn record_failure(&mut self, id: &UpstreamId, now: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.health = upstream.health.after_failure(now);
        }
    }

    /// Returns whether any upstream needs a health check, now or later.
    pub fn has_unhealthy(&self) -> bool {
        self.upstreams.values().any(|upstream| upstream.health != Health::Healthy)
    }

    /// Returns the upstreams whose health check is due.
    ///
    /// Each is returned only once until the result of its check is passed to
    /// [`Balancer::record_check`].
    pub fn take_due_checks(&mut self, now: Duration) -> Vec<(Choice, Arc<ServiceSpec>)> {
        let services = &self.services;
        let due = self.upstreams.values_mut().filter(|upstream| upstream.health.is_check_due(now));
        due.filter_map(|upstream| {
            upstream.health = upstream.health.after_check_started();
            let service = services.get(&upstream.listed.service)?;
            Some((upstream.choice(now), service.clone()))
        })
        .collect()
    }

    /// Records the result of a health check and returns whether the upstream
    /// can be used again.
    pub fn record_check(&mut self, id: &UpstreamId, result: CheckResult, now: Duration) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else { return false };
        upstream.health = upstream.health.after_check(result, now);
        if let CheckResult::Healthy { cold_left } = result {
            upstream.set_cold(cold_left, now);
        }
        upstream.health == Health::Healthy
    }

    fn cold_interval(&self, service: &ServiceName) -> Duration {
        let rate = self.services.get(service).map_or(0.0, |service| service.cold_rate_per_s);
        self.cold_limit.interval(rate)
    }

    fn is_usable(&self, upstream: &UpstreamState, requirements: &Requirements<'_>) -> bool {
        upstream.health == Health::Healthy
            && !requirements.tried.contains(&upstream.listed.id)
            && self.may_handle(upstream, requirements)
    }

    /// Returns whether an upstream may handle a request, healthy or not.
    fn may_handle(&self, upstream: &UpstreamState, requirements: &Requirements<'_>) -> bool {
        upstream.listed.service == *requirements.service
            && self.is_in_service(upstream)
            && (requirements.home_regions.is_empty()
                || self.is_in_regions(upstream, requirements.home_regions))
    }

    fn is_in_service(&self, upstream: &UpstreamState) -> bool {
        let listed = &upstream.listed;
        listed.state == ListedState::Ready && !self.evacuated.contains(&listed.zone)
    }

    fn is_in_regions(&self, upstream: &UpstreamState, regions: &[RegionName]) -> bool {
        self.region_of(upstream).is_some_and(|region| regions.contains(region))
    }

    fn region_of(&self, upstream: &UpstreamState) -> Option<&RegionName> {
        self.locality.regions_of_zones.get(&upstream.listed.zone)
    }
}

impl UpstreamState {
    fn new(listed: ListedUpstream, is_local: bool, in_flight: u32, now: Duration) -> Self {
        let cold_left = listed.cold_left;
        let load = Load::new(listed.slots, in_flight, now);
        let mut upstream = Self {
            hash: upstream_hash(&listed.id),
            is_local,
            listed,
            load,
            health: Health::Healthy,
            cold_until: Duration::ZERO,
            next_cold_send_at: Duration::ZERO,
        };
        upstream.set_cold(cold_left, now);
        upstream
    }

    fn set_listed(&mut self, listed: ListedUpstream, now: Duration) {
        self.set_cold(listed.cold_left, now);
        self.listed = listed;
    }

    fn set_cold(&mut self, remaining: Duration, now: Duration) {
        if !remaining.is_zero() {
            self.cold_until = self.cold_until.max(now + remaining + COLD_MARGIN);
        }
    }

    fn candidate(&self) -> Candidate {
        Candidate { hash: self.hash, slots: self.listed.slots, in_requesting_region: self.is_local }
    }

    fn choice(&self, now: Duration) -> Choice {
        Choice {
            id: self.listed.id.clone(),
            service: self.listed.service.clone(),
            address: self.listed.address,
            expected_wait: self.load.expected_wait(now),
        }
    }
}
