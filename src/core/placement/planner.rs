//! Plans which objects are moved away from their default upstreams.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    DemandReport, ObjectId, Placement, PlacementDelta, RankedObject,
    affinity::{UpstreamHash, upstream_hash},
    defaults::{DefaultUpstreams, RankedUpstream},
    round::{Object, PlanningRound, Target},
    totals::DemandTotals,
};
use crate::core::{
    control::{RegionName, ServiceName, ZoneName},
    upstreams::{ListedState, UpstreamList},
};

/// Plans the placement of objects from the demand reports of entry instances.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug)]
pub struct Planner {
    regions_of_zones: BTreeMap<ZoneName, RegionName>,
    region_count: usize,
    /// The fraction of a region's load that may move to other regions; a round
    /// uses a part of it.
    shift_max: f64,
    totals: DemandTotals,
    defaults: BTreeMap<ServiceName, DefaultUpstreams>,
    /// The recently moved objects, with the time of the move.
    moved_at: BTreeMap<ObjectId, Duration>,
}

/// Represents the inputs of one round of planning.
#[derive(Clone, Copy, Debug)]
pub struct PlannerInputs<'a> {
    /// The list of upstreams.
    pub list: &'a UpstreamList,
    /// The upstreams of objects that are not placed by default.
    pub placement: &'a Placement,
    /// The availability zones whose upstreams get no new work.
    pub evacuated: &'a BTreeSet<ZoneName>,
    /// The current time.
    pub now: Duration,
}

/// How long a report is used.
const REPORT_TTL: Duration = Duration::from_secs(5);
/// The minimum time between two moves of an object.
const MOVE_INTERVAL_MIN: Duration = Duration::from_secs(30);
/// The number of placements above which those of unreported objects are removed.
const PLACEMENTS_MAX: usize = 4096;
/// The maximum number of upstreams that are ranked in one round. Objects whose default
/// upstream is not known by then are planned in a later round.
const RANKINGS_MAX: usize = 100_000;

impl Planner {
    /// Returns a planner without reports.
    ///
    /// `shift_max` is the fraction of a region's load that may move to other regions.
    pub fn new(regions_of_zones: BTreeMap<ZoneName, RegionName>, shift_max: f64) -> Self {
        let region_count = regions_of_zones.values().collect::<BTreeSet<_>>().len();
        Self {
            regions_of_zones,
            region_count,
            shift_max,
            totals: DemandTotals::default(),
            defaults: BTreeMap::new(),
            moved_at: BTreeMap::new(),
        }
    }

    /// Records a report, which replaces the last one of the same entry instance.
    pub fn record_report(&mut self, report: DemandReport, now: Duration) {
        self.totals.record_report(report, now);
    }

    /// Plans one round and returns the changes of the placement.
    pub fn plan(&mut self, inputs: &PlannerInputs<'_>) -> PlacementDelta {
        let now = inputs.now;
        self.totals.remove_reports_before(now.saturating_sub(REPORT_TTL));
        self.moved_at.retain(|_, moved_at| now <= *moved_at + MOVE_INTERVAL_MIN);
        let mut change = self.excess_placements(inputs);
        let services: Vec<ServiceName> = self.totals.services().cloned().collect();
        self.defaults.retain(|service, _| services.contains(service));
        let mut rankings_left = RANKINGS_MAX;
        for service in services {
            change.extend(self.plan_service(&service, inputs, &mut rankings_left));
        }
        change
    }

    /// Removes unreported objects from the placement once it exceeds [`PLACEMENTS_MAX`].
    fn excess_placements(&self, inputs: &PlannerInputs<'_>) -> PlacementDelta {
        let excess = inputs.placement.len().saturating_sub(PLACEMENTS_MAX);
        let unreported = inputs.placement.keys().filter(|object| !self.totals.contains(object));
        unreported.take(excess).map(|object| (*object, None)).collect()
    }

    fn plan_service(
        &mut self,
        service: &ServiceName,
        inputs: &PlannerInputs<'_>,
        rankings_left: &mut usize,
    ) -> PlacementDelta {
        let targets = targets(&self.regions_of_zones, service, inputs);
        if targets.is_empty() {
            return Vec::new();
        }
        let hashes: BTreeMap<UpstreamHash, usize> = targets
            .iter()
            .enumerate()
            .map(|(index, target)| (upstream_hash(&target.listed.id), index))
            .collect();
        let defaults = self.defaults.entry(service.clone()).or_default();
        defaults.set_upstreams(ranked_upstreams(&hashes, &targets));
        defaults.retain(|object| self.totals.contains(object));
        let mut objects = Vec::new();
        for (id, total) in self.totals.objects(service) {
            let Some(requesting_region) = total.requesting_region() else { continue };
            let placed = inputs.placement.get(id).and_then(|upstream| index_of(&targets, upstream));
            let target = placed.or_else(|| {
                let ranked = RankedObject {
                    object: *id,
                    has_large_body: total.has_large_body(),
                    region_count: self.region_count,
                };
                let default = defaults.get(ranked, requesting_region, rankings_left)?;
                hashes.get(&default).copied()
            });
            let Some(target) = target else { continue };
            let busy_slots = total.busy_slots();
            objects.push(Object { id: *id, requesting_region, busy_slots, target });
        }
        let recently_moved = self.moved_at.keys().copied().collect();
        let round = PlanningRound::new(objects, targets, self.shift_max, recently_moved);
        let moves = round.relieve_overloaded();
        self.moved_at.extend(moves.iter().map(|(object, _)| (*object, inputs.now)));
        moves.into_iter().map(|(object, id)| (object, Some(id))).collect()
    }
}

/// Returns the upstreams of a service that objects can be placed on, ordered by id.
fn targets<'a>(
    regions_of_zones: &'a BTreeMap<ZoneName, RegionName>,
    service: &ServiceName,
    inputs: &PlannerInputs<'a>,
) -> Vec<Target<'a>> {
    inputs
        .list
        .iter(inputs.now)
        .filter(|(listed, cold)| {
            listed.service == *service
                && listed.state == ListedState::Ready
                && !cold
                && !inputs.evacuated.contains(&listed.zone)
        })
        .filter_map(|(listed, _)| Some(Target::new(listed, regions_of_zones.get(&listed.zone)?)))
        .collect()
}

/// Returns the index of an upstream among those ordered by id.
fn index_of(targets: &[Target<'_>], id: &str) -> Option<usize> {
    targets.binary_search_by(|target| target.listed.id.as_str().cmp(id)).ok()
}

fn ranked_upstreams(
    hashes: &BTreeMap<UpstreamHash, usize>,
    targets: &[Target<'_>],
) -> BTreeMap<UpstreamHash, RankedUpstream> {
    let ranked = |index: usize| RankedUpstream {
        slots: targets[index].listed.slots,
        region: targets[index].region.clone(),
    };
    hashes.iter().map(|(hash, index)| (*hash, ranked(*index))).collect()
}
