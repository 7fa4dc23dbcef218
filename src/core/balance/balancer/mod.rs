//! Tracks the upstreams that one entry instance uses and chooses among them.

mod records;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    choice::{Choice, Locality, PassedOver, Requirements},
    cold::{COLD_WINDOW, ColdLimit},
    health::Health,
    notices::{Notices, Obstacle},
    upstream_state::UpstreamState,
};
use crate::core::{
    MapDelta,
    control::{RegionName, ServiceName, ZoneName},
    placement::{Placement, RankedObject, default_candidate},
    routing::ServiceSpec,
    upstreams::{ListedState, ListedUpstream, UpstreamId},
};

/// Represents the known upstreams with their health, load and cold times.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug)]
pub struct Balancer {
    locality: Locality,
    region_count: usize,
    cold_limit: ColdLimit,
    /// The instance's rank among the entry instances that share limits, from 0.
    entry_rank: u32,
    /// When the process started, if another one may have run before it.
    started_at: Option<Duration>,
    services: BTreeMap<ServiceName, Arc<ServiceSpec>>,
    upstreams: BTreeMap<UpstreamId, UpstreamState>,
    notices: Notices,
    evacuated: BTreeSet<ZoneName>,
    /// The upstreams of objects that are not placed by default.
    placement: Placement,
}

impl Balancer {
    /// Returns a balancer without upstreams.
    pub fn new(locality: Locality, cold_limit: ColdLimit) -> Self {
        let region_count = locality.regions_of_zones.values().collect::<BTreeSet<_>>().len();
        Self {
            locality,
            region_count,
            cold_limit,
            entry_rank: 0,
            started_at: None,
            services: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            notices: Notices::new(cold_limit.entry_count),
            evacuated: BTreeSet::new(),
            placement: Placement::default(),
        }
    }

    /// Sets the number of entry instances that share the limit for cold upstreams.
    pub fn set_entry_count(&mut self, entry_count: u32) {
        self.cold_limit.entry_count = entry_count;
        self.notices.entry_count = entry_count;
    }

    /// Sets the instance's rank among the entry instances that share the limit for cold upstreams,
    /// from 0.
    pub fn set_entry_rank(&mut self, entry_rank: u32) {
        self.entry_rank = entry_rank;
    }

    /// Sets when the process started. It sends nothing to cold upstreams until requests that an
    /// earlier process may have sent don't count any more.
    #[must_use]
    pub fn with_started_at(mut self, started_at: Duration) -> Self {
        self.started_at = Some(started_at);
        self
    }

    /// Sets how much the instance's windows for limits that upstreams name are shifted, from 0 to
    /// 1, so that those of all instances begin at different times.
    #[must_use]
    pub fn with_phase(mut self, phase: f64) -> Self {
        self.notices.phase = phase;
        self
    }

    /// Sets the specifications of the services.
    pub fn set_services(&mut self, services: BTreeMap<ServiceName, Arc<ServiceSpec>>) {
        self.services = services;
    }

    /// Applies a delta of the list of upstreams, as of `now`.
    ///
    /// An upstream that restarted starts with a fresh state, except for this instance's requests
    /// in flight and those it has just sent.
    pub fn apply_delta(&mut self, delta: MapDelta<UpstreamId, ListedUpstream>, now: Duration) {
        if delta.is_full {
            let listed: BTreeSet<&UpstreamId> = delta.put.iter().map(|(id, _)| id).collect();
            self.upstreams.retain(|id, _| listed.contains(id));
        }
        for id in &delta.removed {
            self.upstreams.remove(id);
        }
        for (_, listed) in delta.put {
            let upstream = match self.upstreams.get_mut(&listed.id) {
                Some(existing) if existing.listed.started_unix_ms == listed.started_unix_ms => {
                    existing.set_listed(listed, now);
                    continue;
                }
                Some(existing) => existing.restarted(listed, now),
                None => {
                    let is_local = self.locality.contains(&listed.zone);
                    UpstreamState::new(listed, is_local, now)
                }
            };
            self.notices.record_listed(&upstream.listed.id, upstream.listed.started_unix_ms);
            self.upstreams.insert(upstream.listed.id.clone(), upstream);
        }
        self.notices.record_unlisted(|id| self.upstreams.contains_key(id), now);
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
    /// Cold upstreams are used only if there are no others, and within their rate limit, toward
    /// which requests count from [`Balancer::record_start`] on.
    pub fn choose(&mut self, requirements: &Requirements<'_>, now: Duration) -> Option<Choice> {
        let is_warm = |upstream: &UpstreamState| {
            now >= upstream.cold_until && self.obstacle(upstream, now).is_none()
        };
        if let Some(upstream) = self.first_ranked(requirements, is_warm) {
            let choice = self.with_passed_over(upstream.choice(now), requirements, now);
            self.notices.record_chosen(&choice.id, now);
            return Some(choice);
        }
        // What the process sent before it started anew is not known.
        if self.started_at.is_some_and(|started_at| now < started_at + COLD_WINDOW) {
            return None;
        }
        let rate_per_s =
            self.services.get(requirements.service).map_or(0.0, |service| service.cold_rate_per_s);
        let may_send_cold = |upstream: &UpstreamState| {
            let share = self.cold_limit.share(rate_per_s, self.entry_rank, upstream.hash);
            upstream.recent_sends.is_within(share, now) && self.obstacle(upstream, now).is_none()
        };
        let choice = self.first_ranked(requirements, may_send_cold)?.choice(now);
        let choice = self.with_passed_over(choice, requirements, now);
        self.notices.record_chosen(&choice.id, now);
        Some(choice)
    }

    /// Adds the upstream that would have been chosen but for what it said of itself.
    fn with_passed_over(
        &self,
        mut choice: Choice,
        requirements: &Requirements<'_>,
        now: Duration,
    ) -> Choice {
        let is_passed_over = |upstream: &UpstreamState| {
            self.is_usable(upstream, requirements) && self.obstacle(upstream, now).is_some()
        };
        if self.notices.ids().filter_map(|id| self.upstreams.get(id)).any(is_passed_over) {
            let first = self.first_ranked(requirements, |_| true);
            choice.passed_over = first.and_then(|upstream| {
                let obstacle = self.obstacle(upstream, now)?;
                Some(PassedOver { id: upstream.listed.id.clone(), obstacle })
            });
        }
        choice
    }

    fn obstacle(&self, upstream: &UpstreamState, now: Duration) -> Option<Obstacle> {
        self.notices.obstacle(&upstream.listed.id, upstream.listed.slots, now)
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

    /// Returns whether an upstream still takes new work: it is listed as ready, its
    /// availability zone is not evacuated, and it did not say otherwise itself.
    pub fn takes_work(&self, id: &UpstreamId, now: Duration) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.is_some_and(|upstream| self.is_in_service(upstream)) && !self.is_silenced(id, now)
    }

    /// Returns whether an upstream said that it leaves or wants no requests now.
    pub fn is_silenced(&self, id: &UpstreamId, now: Duration) -> bool {
        self.notices.is_silenced(id, now)
    }

    /// Returns after which time an upstream may take a request that none takes now because of
    /// what upstreams said of themselves. Returns `None` if that is not the reason, and zero if
    /// the time is not known.
    pub fn pause_left(&self, requirements: &Requirements<'_>, now: Duration) -> Option<Duration> {
        let candidates =
            self.upstreams.values().filter(|upstream| self.may_handle(upstream, requirements));
        let mut has_pause = false;
        let mut left_min: Option<Duration> = None;
        for upstream in candidates {
            let obstacle = self.obstacle(upstream, now);
            let left = match obstacle {
                Some(Obstacle::Leaving) => continue,
                Some(Obstacle::Paused(until) | Obstacle::Limited(until)) => {
                    until.saturating_sub(now)
                }
                Some(Obstacle::Resuming) | None => Duration::ZERO,
            };
            has_pause |= obstacle.is_some();
            left_min = Some(left_min.map_or(left, |current| current.min(left)));
        }
        left_min.filter(|_| has_pause)
    }

    /// Returns whether an upstream that may handle a request failed and has not responded since.
    /// Another instance may reach it.
    pub fn has_unresponsive(&self, requirements: &Requirements<'_>) -> bool {
        self.upstreams
            .values()
            .any(|upstream| upstream.health.is_silent() && self.may_handle(upstream, requirements))
    }

    /// Returns an upstream of a service that takes work, healthy or not: another one in each
    /// round, to find out whether any can be reached.
    pub fn probe_target(
        &self,
        service: &ServiceName,
        round: usize,
        now: Duration,
    ) -> Option<Choice> {
        let is_candidate = |upstream: &&UpstreamState| {
            upstream.listed.service == *service && self.takes_work(&upstream.listed.id, now)
        };
        let count = self.upstreams.values().filter(is_candidate).count();
        let mut candidates = self.upstreams.values().filter(is_candidate);
        candidates.nth(round.checked_rem(count)?).map(|upstream| upstream.choice(now))
    }

    /// Returns whether any upstream needs a health check, now or later.
    pub fn has_unhealthy(&self) -> bool {
        let needs_check = |upstream: &UpstreamState| {
            upstream.health != Health::Healthy && !self.notices.is_leaving(&upstream.listed.id)
        };
        self.upstreams.values().any(needs_check)
    }

    /// Returns the upstreams whose health check is due, unless they leave or want no requests
    /// now, or their service is not known.
    ///
    /// Each is returned only once until the result of its check is passed to
    /// [`Balancer::record_check`], or until `timeout` has passed without one.
    pub fn take_due_checks(
        &mut self,
        now: Duration,
        timeout: Duration,
    ) -> Vec<(Choice, Arc<ServiceSpec>)> {
        let services = &self.services;
        let notices = &self.notices;
        let due = self.upstreams.values_mut().filter(|upstream| {
            upstream.health.is_check_due(now) && !notices.is_silenced(&upstream.listed.id, now)
        });
        due.filter_map(|upstream| {
            let service = services.get(&upstream.listed.service)?;
            upstream.health = upstream.health.after_check_started(now + timeout);
            Some((upstream.choice(now), service.clone()))
        })
        .collect()
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
