//! Chooses the objects of one service that move in one round of planning.

use std::collections::{BTreeMap, BTreeSet};

use super::ObjectId;
use crate::core::{
    control::RegionName,
    upstreams::{ListedUpstream, UpstreamId},
};

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
/// The maximum number of objects of a service that move in one round.
const MOVES_MAX: usize = 6;
/// The fraction of the permitted shift that one round uses. The time window of the limit
/// covers two rounds, and also counts objects that move because of hashing alone.
const SHIFT_FRACTION: f64 = 0.25;
/// The maximum number of upstreams that are compared in one round, which bounds its time
/// when many upstreams are overloaded.
const COMPARISONS_MAX: usize = 200_000;

/// Represents one object and its demand.
#[derive(Clone, Debug)]
pub(super) struct Object<'a> {
    pub(super) id: ObjectId,
    pub(super) requesting_region: &'a RegionName,
    /// The number of slots that its requests occupy.
    pub(super) busy_slots: f64,
    /// The index of the upstream on which it is placed.
    pub(super) target: usize,
}

/// Represents an upstream on which objects can be placed.
#[derive(Clone, Debug)]
pub(super) struct Target<'a> {
    pub(super) listed: &'a ListedUpstream,
    pub(super) region: &'a RegionName,
    /// The number of slots that the objects placed on it occupy.
    busy_slots: f64,
    /// The indices of the objects placed on it.
    objects: Vec<usize>,
}

impl<'a> Target<'a> {
    /// Returns an upstream without objects.
    pub(super) fn new(listed: &'a ListedUpstream, region: &'a RegionName) -> Self {
        Self { listed, region, busy_slots: 0.0, objects: Vec::new() }
    }

    fn utilization(&self) -> f64 {
        self.utilization_with(0.0)
    }

    fn utilization_with(&self, additional_slots: f64) -> f64 {
        (self.busy_slots + additional_slots) / self.slots()
    }

    fn slots(&self) -> f64 {
        f64::from(self.listed.slots.max(1))
    }
}

/// Represents one round of planning for one service.
pub(super) struct PlanningRound<'a> {
    objects: Vec<Object<'a>>,
    targets: Vec<Target<'a>>,
    /// The load of each requesting region that may still move to other regions,
    /// in slots.
    shift_allowance: BTreeMap<&'a RegionName, f64>,
    /// The objects that were moved too recently to be moved again.
    recently_moved: BTreeSet<ObjectId>,
    /// The number of upstreams that may still be compared.
    comparisons_left: usize,
    moves: Vec<(ObjectId, UpstreamId)>,
}

impl<'a> PlanningRound<'a> {
    /// Starts a round with the objects on their current upstreams. `shift_max` is the
    /// fraction of a region's load that may move to other regions.
    pub(super) fn new(
        objects: Vec<Object<'a>>,
        mut targets: Vec<Target<'a>>,
        shift_max: f64,
        recently_moved: BTreeSet<ObjectId>,
    ) -> Self {
        let mut shift_allowance: BTreeMap<&RegionName, f64> = BTreeMap::new();
        for (index, object) in objects.iter().enumerate() {
            *shift_allowance.entry(object.requesting_region).or_default() +=
                object.busy_slots * shift_max * SHIFT_FRACTION;
            targets[object.target].busy_slots += object.busy_slots;
            targets[object.target].objects.push(index);
        }
        Self {
            objects,
            targets,
            shift_allowance,
            recently_moved,
            comparisons_left: COMPARISONS_MAX,
            moves: Vec::new(),
        }
    }

    /// Moves objects away from overloaded upstreams, starting with the busiest one, and
    /// returns the moves.
    pub(super) fn relieve_overloaded(mut self) -> Vec<(ObjectId, UpstreamId)> {
        let slots: f64 = self.targets.iter().map(Target::slots).sum();
        let busy_slots: f64 = self.targets.iter().map(|target| target.busy_slots).sum();
        let limit = (busy_slots / slots.max(1.0) * UTILIZATION_OVER_MEAN).max(UTILIZATION_MAX);
        let mut skipped = BTreeSet::new();
        while self.moves.len() < MOVES_MAX {
            let Some(busiest) = self.busiest_above(limit, &skipped) else { break };
            if !self.move_object_from(busiest, limit) {
                skipped.insert(busiest);
            }
        }
        self.moves
    }

    /// Returns the busiest upstream above a utilization, or `None` if there is none or the
    /// comparisons are used up.
    fn busiest_above(&mut self, limit: f64, skipped: &BTreeSet<usize>) -> Option<usize> {
        self.comparisons_left = self.comparisons_left.checked_sub(self.targets.len())?;
        let utilization = |index: &usize| self.targets[*index].utilization();
        (0..self.targets.len())
            .filter(|index| utilization(index) > limit && !skipped.contains(index))
            .max_by(|left, right| utilization(left).total_cmp(&utilization(right)))
    }

    /// Moves away the object whose load is closest to the excess of the upstream.
    ///
    /// Returns whether an object was moved.
    fn move_object_from(&mut self, from: usize, limit: f64) -> bool {
        let excess = self.targets[from].busy_slots - limit * self.targets[from].slots();
        let mut candidates = self.targets[from].objects.clone();
        candidates.retain(|index| !self.recently_moved.contains(&self.objects[*index].id));
        candidates.sort_by(|left, right| {
            let distance_to_excess =
                |index: &usize| (self.objects[*index].busy_slots - excess).abs();
            distance_to_excess(left).total_cmp(&distance_to_excess(right))
        });
        for index in candidates {
            let Some(to) = self.best_target(index) else { continue };
            let utilization = self.targets[to].utilization_with(self.objects[index].busy_slots);
            if utilization + GAIN_MIN < self.targets[from].utilization() {
                self.move_object(index, to);
                return true;
            }
        }
        false
    }

    /// Returns the best upstream for an object other than its current one, or `None` if
    /// there is none or the comparisons are used up.
    fn best_target(&mut self, object: usize) -> Option<usize> {
        self.comparisons_left = self.comparisons_left.checked_sub(self.targets.len())?;
        let object = &self.objects[object];
        let cost = |index: &usize| {
            let target = &self.targets[*index];
            let region_cost =
                if target.region == object.requesting_region { 0.0 } else { OTHER_REGION_COST };
            target.utilization_with(object.busy_slots) + region_cost
        };
        (0..self.targets.len())
            .filter(|target| *target != object.target && self.may_move(object, *target))
            .min_by(|left, right| cost(left).total_cmp(&cost(right)))
    }

    /// Returns whether a move stays within the load that may change its region.
    fn may_move(&self, object: &Object<'_>, to: usize) -> bool {
        self.targets[object.target].region == self.targets[to].region
            // An object may overdraw the allowance by up to half of its load;
            // later moves of the round get that much less.
            || self
                .shift_allowance
                .get(object.requesting_region)
                .is_some_and(|allowance| *allowance > object.busy_slots / 2.0)
    }

    fn move_object(&mut self, index: usize, to: usize) {
        let object = &mut self.objects[index];
        let from = std::mem::replace(&mut object.target, to);
        if self.targets[from].region != self.targets[to].region
            && let Some(allowance) = self.shift_allowance.get_mut(object.requesting_region)
        {
            *allowance -= object.busy_slots;
        }
        self.targets[from].busy_slots -= object.busy_slots;
        self.targets[from].objects.retain(|moved| *moved != index);
        self.targets[to].busy_slots += object.busy_slots;
        self.targets[to].objects.push(index);
        self.recently_moved.insert(object.id);
        self.moves.push((object.id, self.targets[to].listed.id.clone()));
    }
}
