//! Plans which objects are moved away from their default upstreams.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Candidate, DemandReport, ObjectId, Placement, PlacementDelta, RankedObject, default_order,
};
use crate::core::{
    control::{InstanceName, RegionName, ServiceName, ZoneName},
    upstreams::{ListedState, ListedUpstream, UpstreamId, UpstreamList},
};

/// Plans the placement of objects from the demand reports of entry instances.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug)]
pub struct Planner {
    regions_of_zones: BTreeMap<ZoneName, RegionName>,
    /// The fraction of a region's load that may move to other regions; a round
    /// uses [`SHIFT_FRACTION`] of it.
    shift_max: f64,
    /// The last report of each entry instance, with the time of its arrival.
    reports: BTreeMap<InstanceName, (Duration, DemandReport)>,
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
/// Objects are moved away from an upstream only above this utilization.
const UTILIZATION_MAX: f64 = 0.9;
/// Objects are moved away from an upstream only if its utilization exceeds the mean by
/// this factor.
const UTILIZATION_OVER_MEAN: f64 = 1.6;
/// The minimum difference in utilization between the old upstream and the new one.
const GAIN_MIN: f64 = 0.3;
/// How much lower the utilization of an upstream in another region must be for it to be
/// preferred to one in the requesting region.
const OTHER_REGION_COST: f64 = 0.3;
/// The number of placements above which those of unreported objects are removed.
const PLACEMENTS_MAX: usize = 4096;
/// The maximum number of objects of a service that move in one round.
const MOVES_MAX: usize = 6;
/// The fraction of the permitted shift that one round uses. The time window of the limit
/// covers two rounds, and also counts objects that move because of hashing alone.
const SHIFT_FRACTION: f64 = 0.25;

/// Represents one object and its demand.
#[derive(Clone, Debug)]
struct Object {
    id: ObjectId,
    requesting_region: RegionName,
    has_large_body: bool,
    /// The number of slots that its requests occupy.
    busy_slots: f64,
    /// The index of the upstream on which it is placed.
    target: usize,
}

/// Represents an upstream on which objects can be placed.
#[derive(Clone, Debug)]
struct Target<'a> {
    listed: &'a ListedUpstream,
    region: &'a RegionName,
    /// The number of slots that the objects placed on it occupy.
    busy_slots: f64,
}

impl Target<'_> {
    fn utilization(&self) -> f64 {
        self.utilization_with(0.0)
    }

    fn utilization_with(&self, additional_slots: f64) -> f64 {
        (self.busy_slots + additional_slots) / f64::from(self.listed.slots.max(1))
    }
}

impl Planner {
    /// Returns a planner without reports.
    ///
    /// `shift_max` is the fraction of a region's load that may move to other regions.
    pub fn new(regions_of_zones: BTreeMap<ZoneName, RegionName>, shift_max: f64) -> Self {
        Self { regions_of_zones, shift_max, reports: BTreeMap::new(), moved_at: BTreeMap::new() }
    }

    /// Records a report, which replaces the last one of the same entry instance.
    pub fn record_report(&mut self, report: DemandReport, now: Duration) {
        self.reports.insert(report.instance.clone(), (now, report));
    }

    /// Plans one round and returns the changes of the placement.
    pub fn plan(&mut self, inputs: &PlannerInputs<'_>) -> PlacementDelta {
        let now = inputs.now;
        self.reports.retain(|_, (recorded_at, _)| now <= *recorded_at + REPORT_TTL);
        self.moved_at.retain(|_, moved_at| now <= *moved_at + MOVE_INTERVAL_MIN);
        let services: BTreeSet<ServiceName> =
            self.reports.values().flat_map(|(_, r)| r.objects.keys().cloned()).collect();
        let mut change = self.excess_placements(inputs);
        for service in services {
            change.extend(self.plan_service(&service, inputs));
        }
        change
    }

    /// Removes unreported objects from the placement once it exceeds [`PLACEMENTS_MAX`].
    fn excess_placements(&self, inputs: &PlannerInputs<'_>) -> PlacementDelta {
        let excess = inputs.placement.len().saturating_sub(PLACEMENTS_MAX);
        if excess == 0 {
            return Vec::new();
        }
        let reported: BTreeSet<ObjectId> = self
            .reports
            .values()
            .flat_map(|(_, report)| report.objects.values().flatten())
            .map(|demand| demand.object)
            .collect();
        let unreported = inputs.placement.keys().filter(|object| !reported.contains(object));
        unreported.take(excess).map(|object| (*object, None)).collect()
    }

    fn plan_service(
        &mut self,
        service: &ServiceName,
        inputs: &PlannerInputs<'_>,
    ) -> PlacementDelta {
        let mut targets = self.targets(service, inputs);
        if targets.is_empty() {
            return Vec::new();
        }
        let mut objects = self.objects(service);
        for object in &mut objects {
            object.target = self.current_target(object, &targets, inputs.placement);
            targets[object.target].busy_slots += object.busy_slots;
        }
        let recently_moved: BTreeSet<ObjectId> = self.moved_at.keys().copied().collect();
        let mut round = PlanningRound::new(&objects, self.shift_max, recently_moved);
        round.relieve_overloaded(&mut objects, &mut targets);
        self.moved_at.extend(round.moves.iter().map(|(object, _)| (*object, inputs.now)));
        round.moves.into_iter().map(|(object, id)| (object, Some(id))).collect()
    }

    fn targets<'a>(&'a self, service: &ServiceName, inputs: &PlannerInputs<'a>) -> Vec<Target<'a>> {
        inputs
            .list
            .iter(inputs.now)
            .filter(|(listed, cold)| {
                listed.service == *service
                    && listed.state == ListedState::Ready
                    && !cold
                    && !inputs.evacuated.contains(&listed.zone)
            })
            .filter_map(|(listed, _)| {
                let region = self.regions_of_zones.get(&listed.zone)?;
                Some(Target { listed, region, busy_slots: 0.0 })
            })
            .collect()
    }

    /// Returns the demand for each object, summed over all reports. An object's requesting
    /// region is the one with the highest demand for it.
    fn objects(&self, service: &ServiceName) -> Vec<Object> {
        let mut large_objects = BTreeSet::new();
        let mut by_object: BTreeMap<ObjectId, BTreeMap<&RegionName, f64>> = BTreeMap::new();
        for (_, report) in self.reports.values() {
            for demand in report.objects.get(service).into_iter().flatten() {
                if demand.has_large_body {
                    large_objects.insert(demand.object);
                }
                let regions = by_object.entry(demand.object).or_default();
                *regions.entry(&report.region).or_default() +=
                    f64::from(demand.busy_permille) / 1000.0;
            }
        }
        by_object
            .into_iter()
            .filter_map(|(id, regions)| {
                let (requesting_region, _) =
                    regions.iter().max_by(|(_, left), (_, right)| left.total_cmp(right))?;
                let requesting_region = (*requesting_region).clone();
                let busy_slots = regions.values().sum();
                let has_large_body = large_objects.contains(&id);
                Some(Object { id, requesting_region, has_large_body, busy_slots, target: 0 })
            })
            .collect()
    }

    fn region_count(&self) -> usize {
        self.regions_of_zones.values().collect::<BTreeSet<_>>().len()
    }

    /// Returns the index of the upstream on which an object is placed now.
    fn current_target(
        &self,
        object: &Object,
        targets: &[Target<'_>],
        placement: &Placement,
    ) -> usize {
        let index_of = |id: &str| targets.iter().position(|target| target.listed.id == id);
        if let Some(target) = placement.get(&object.id).and_then(|id| index_of(id)) {
            return target;
        }
        let mut candidates: Vec<Candidate<'_>> = targets
            .iter()
            .map(|target| Candidate {
                id: &target.listed.id,
                slots: target.listed.slots,
                in_requesting_region: *target.region == object.requesting_region,
            })
            .collect();
        let ranked = RankedObject {
            object: object.id,
            has_large_body: object.has_large_body,
            region_count: self.region_count(),
        };
        default_order(ranked, &mut candidates);
        candidates.first().and_then(|first| index_of(first.id)).unwrap_or(0)
    }
}

/// Represents one round of planning for one service.
struct PlanningRound {
    /// The load of each requesting region that may still move to other regions,
    /// in slots.
    shift_allowance: BTreeMap<RegionName, f64>,
    /// The objects that were moved too recently to be moved again.
    recently_moved: BTreeSet<ObjectId>,
    moves: Vec<(ObjectId, UpstreamId)>,
}

impl PlanningRound {
    fn new(objects: &[Object], shift_max: f64, recently_moved: BTreeSet<ObjectId>) -> Self {
        let mut shift_allowance: BTreeMap<RegionName, f64> = BTreeMap::new();
        for object in objects {
            let allowance = shift_allowance.entry(object.requesting_region.clone()).or_default();
            *allowance += object.busy_slots * shift_max * SHIFT_FRACTION;
        }
        Self { shift_allowance, recently_moved, moves: Vec::new() }
    }

    /// Moves objects away from overloaded upstreams, starting with the busiest one.
    fn relieve_overloaded(&mut self, objects: &mut [Object], targets: &mut [Target<'_>]) {
        let slots: f64 = targets.iter().map(|target| f64::from(target.listed.slots)).sum();
        let busy_slots: f64 = targets.iter().map(|target| target.busy_slots).sum();
        let limit = (busy_slots / slots.max(1.0) * UTILIZATION_OVER_MEAN).max(UTILIZATION_MAX);
        let mut skipped = BTreeSet::new();
        while self.moves.len() < MOVES_MAX {
            let busiest = (0..targets.len())
                .filter(|target| {
                    !skipped.contains(target) && targets[*target].utilization() > limit
                })
                .max_by(|left, right| {
                    targets[*left].utilization().total_cmp(&targets[*right].utilization())
                });
            let Some(busiest) = busiest else { return };
            if !self.move_object_from(busiest, limit, objects, targets) {
                skipped.insert(busiest);
            }
        }
    }

    /// Moves away the object whose load is closest to the excess of the upstream.
    ///
    /// Returns whether an object was moved.
    fn move_object_from(
        &mut self,
        from: usize,
        limit: f64,
        objects: &mut [Object],
        targets: &mut [Target<'_>],
    ) -> bool {
        let excess = targets[from].busy_slots - limit * f64::from(targets[from].listed.slots);
        let mut candidates: Vec<usize> = (0..objects.len())
            .filter(|index| {
                objects[*index].target == from && !self.recently_moved.contains(&objects[*index].id)
            })
            .collect();
        candidates.sort_by(|left, right| {
            let distance_to_excess = |index: &usize| (objects[*index].busy_slots - excess).abs();
            distance_to_excess(left).total_cmp(&distance_to_excess(right))
        });
        for index in candidates {
            let object = &objects[index];
            let to = self.best_target(object, targets);
            if let Some(to) = to.filter(|to| {
                targets[*to].utilization_with(object.busy_slots) + GAIN_MIN
                    < targets[from].utilization()
            }) {
                return self.move_object(&mut objects[index], to, targets);
            }
        }
        false
    }

    fn best_target(&self, object: &Object, targets: &[Target<'_>]) -> Option<usize> {
        let cost = |index: &usize| {
            let target = &targets[*index];
            let region_cost =
                if *target.region == object.requesting_region { 0.0 } else { OTHER_REGION_COST };
            target.utilization_with(object.busy_slots) + region_cost
        };
        (0..targets.len())
            .filter(|target| *target != object.target && self.may_move(object, *target, targets))
            .min_by(|left, right| cost(left).total_cmp(&cost(right)))
    }

    /// Returns whether a move stays within the load that may change its region.
    fn may_move(&self, object: &Object, to: usize, targets: &[Target<'_>]) -> bool {
        targets[object.target].region == targets[to].region
            // An object may overdraw the allowance by up to half of its load;
            // later moves of the round get that much less.
            || self
                .shift_allowance
                .get(&object.requesting_region)
                .is_some_and(|allowance| *allowance > object.busy_slots / 2.0)
    }

    fn move_object(&mut self, object: &mut Object, to: usize, targets: &mut [Target<'_>]) -> bool {
        if targets[object.target].region != targets[to].region
            && let Some(allowance) = self.shift_allowance.get_mut(&object.requesting_region)
        {
            *allowance -= object.busy_slots;
        }
        targets[object.target].busy_slots -= object.busy_slots;
        targets[to].busy_slots += object.busy_slots;
        object.target = to;
        self.recently_moved.insert(object.id);
        self.moves.push((object.id, targets[to].listed.id.clone()));
        true
    }
}
