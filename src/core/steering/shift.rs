//! Plans the next step of a shift between regions.

use std::collections::{BTreeMap, BTreeSet};

use super::Layout;
use crate::core::control::{RegionName, SHARES_TOTAL_PERMILLE, Shares, ShiftRule, SlotLoad};

/// The inputs of [`next_shift_step`].
#[derive(Clone, Debug)]
pub struct ShiftInputs<'a> {
    /// The current layout of each home region.
    pub layouts: &'a BTreeMap<RegionName, Layout>,
    /// The shares to reach.
    pub target: &'a Shares,
    /// The limits of the step.
    pub rule: ShiftRule,
    /// The recently reported load of each region. A region without a report
    /// receives no callers.
    pub region_loads: &'a BTreeMap<RegionName, SlotLoad>,
    /// The number of slots in each region.
    pub slot_counts: &'a BTreeMap<RegionName, u32>,
    /// The number of client blocks with each home region.
    pub block_counts: &'a BTreeMap<RegionName, u32>,
}

/// Returns the shares that can be reached while only some regions are available.
///
/// The share of an unavailable region is distributed over the available regions
/// of its row, or over all available regions if the row has none. If no region
/// is available, the shares stay as they are.
pub fn reachable_shares(target: &Shares, available: &BTreeSet<RegionName>) -> Shares {
    target.iter().map(|(home, row)| (home.clone(), reachable_row(row, available))).collect()
}

fn reachable_row(
    row: &BTreeMap<RegionName, u32>,
    available: &BTreeSet<RegionName>,
) -> BTreeMap<RegionName, u32> {
    let mut reachable: BTreeMap<RegionName, u32> =
        row.iter().filter(|(region, _)| available.contains(*region)).map(clone_pair).collect();
    if reachable.values().all(|share| *share == 0) {
        reachable = available.iter().map(|region| (region.clone(), 1)).collect();
    }
    if reachable.is_empty() {
        return row.clone();
    }
    scale(reachable)
}

fn clone_pair((region, share): (&RegionName, &u32)) -> (RegionName, u32) {
    (region.clone(), *share)
}

/// Scales a row to the total. The remainder from rounding is added to the largest
/// share.
fn scale(mut row: BTreeMap<RegionName, u32>) -> BTreeMap<RegionName, u32> {
    let sum: u32 = row.values().sum();
    for share in row.values_mut() {
        *share = *share * SHARES_TOTAL_PERMILLE / sum;
    }
    let scaled: u32 = row.values().sum();
    if let Some(largest) = row.values_mut().max() {
        *largest += SHARES_TOTAL_PERMILLE - scaled;
    }
    row
}

/// Returns the layouts that change in the next step. There are none if the target
/// is reached or no callers may move now.
///
/// At most the rule's cap of a row moves. A region receives only as many callers
/// as leave its headroom free after all rows of the step, according to its own
/// recent report.
pub fn next_shift_step(inputs: &ShiftInputs<'_>) -> BTreeMap<RegionName, Layout> {
    let mut free = free_slots(inputs);
    let mut rows = BTreeMap::new();
    for (home, layout) in inputs.layouts {
        let Some(target) = inputs.target.get(home) else { continue };
        let new_layout = shift_row(inputs, home, layout, target, &mut free);
        if new_layout != *layout {
            rows.insert(home.clone(), new_layout);
        }
    }
    rows
}

/// Returns the number of slots that each region can still fill.
fn free_slots(inputs: &ShiftInputs<'_>) -> BTreeMap<RegionName, f64> {
    let usable_permille = SHARES_TOTAL_PERMILLE.saturating_sub(inputs.rule.headroom_permille);
    let free = |load: &SlotLoad| {
        let usable_slots = f64::from(load.usable_slots) * f64::from(usable_permille) / 1000.0;
        usable_slots - f64::from(load.used_slots) - f64::from(load.waiting)
    };
    inputs.region_loads.iter().map(|(region, load)| (region.clone(), free(load))).collect()
}

fn shift_row(
    inputs: &ShiftInputs<'_>,
    home: &RegionName,
    layout: &Layout,
    target: &BTreeMap<RegionName, u32>,
    free: &mut BTreeMap<RegionName, f64>,
) -> Layout {
    let mut new_layout = layout.clone();
    let mut remaining_cap = inputs.rule.cap_permille;
    let current_shares = layout.shares();
    for (from, surplus) in differences(&current_shares, target) {
        let mut surplus = surplus;
        let per_point = slots_per_point(inputs, home, &from);
        for (to, deficit) in differences(target, &new_layout.shares()) {
            let fits = points_that_fit(free.get(&to).copied().unwrap_or(0.0), per_point);
            let points = surplus.min(deficit).min(remaining_cap).min(fits);
            if points == 0 {
                continue;
            }
            new_layout = new_layout.with_moved(&from, &to, points);
            surplus -= points;
            remaining_cap -= points;
            free.entry(to).and_modify(|free| *free -= f64::from(points) * per_point);
        }
    }
    new_layout
}

/// Returns the regions with a larger share in `left` than in `right`, with the
/// difference.
fn differences(
    left: &BTreeMap<RegionName, u32>,
    right: &BTreeMap<RegionName, u32>,
) -> Vec<(RegionName, u32)> {
    left.iter()
        .map(|(region, share)| {
            let right_share = right.get(region).copied().unwrap_or(0);
            (region.clone(), share.saturating_sub(right_share))
        })
        .filter(|(_, difference)| *difference > 0)
        .collect()
}

/// Returns the estimated number of slots that one point of a home region uses in
/// `from`.
///
/// A region without a report counts as fully used by the callers that it serves, or by
/// the callers of its own home region if those are more. After a region has failed, its
/// home callers together may bring as much load as it could serve, although those already
/// moved away are served by other regions.
fn slots_per_point(inputs: &ShiftInputs<'_>, home: &RegionName, from: &RegionName) -> f64 {
    let slots = inputs.slot_counts.get(from).copied().unwrap_or(0);
    let demanded_slots =
        inputs.region_loads.get(from).map_or(slots, |load| load.used_slots + load.waiting);
    let weight_of =
        |home: &RegionName| f64::from(inputs.block_counts.get(home).copied().unwrap_or(1));
    let served_points: f64 = inputs
        .layouts
        .iter()
        .map(|(home, layout)| {
            let points = layout.shares().get(from).copied().unwrap_or(0);
            f64::from(points) * weight_of(home)
        })
        .sum();
    let has_report = inputs.region_loads.contains_key(from);
    let home_points = f64::from(SHARES_TOTAL_PERMILLE) * weight_of(from);
    let served_points = if has_report { served_points } else { served_points.max(home_points) };
    if served_points <= 0.0 {
        return 0.0;
    }
    f64::from(demanded_slots) * weight_of(home) / served_points
}

fn points_that_fit(free: f64, per_point: f64) -> u32 {
    if free <= 0.0 {
        return 0;
    }
    if per_point <= 0.0 {
        return SHARES_TOTAL_PERMILLE;
    }
    (free / per_point).min(f64::from(SHARES_TOTAL_PERMILLE)) as u32
}
