//! The distribution of a home region's callers over the regions that serve them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Point;
use crate::core::control::RegionName;

/// Assigns each point from 0 to 999 to the region that serves it.
///
/// A caller's point never changes. Changing the shares reassigns exactly as many points
/// as the shares differ by. Cumulative or weighted hashing would reassign additional
/// points, and the cap of a shift limits the number of reassigned points.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Layout {
    runs: Vec<Run>,
}

/// Assigns consecutive points to one region.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// The region.
    pub region: RegionName,
    /// The number of points.
    pub points: u32,
}

impl Layout {
    /// Creates a layout with the given shares.
    pub fn new(shares: &BTreeMap<RegionName, u32>) -> Self {
        let mut layout = Self::default();
        for (region, points) in shares {
            layout.push(region, *points);
        }
        layout
    }

    /// Returns the region of a point.
    pub fn region_at(&self, point: Point) -> Option<&RegionName> {
        let mut end = 0;
        let contains_point = |run: &&Run| {
            end += run.points;
            point < end
        };
        self.runs.iter().find(contains_point).map(|run| &run.region)
    }

    /// Returns the number of points of each region.
    pub fn shares(&self) -> BTreeMap<RegionName, u32> {
        let mut shares = BTreeMap::new();
        for run in &self.runs {
            *shares.entry(run.region.clone()).or_insert(0) += run.points;
        }
        shares
    }

    /// Returns the total number of points.
    pub fn total_points(&self) -> u32 {
        self.runs.iter().map(|run| run.points).sum()
    }

    /// Returns the layout with `points` of one region's points reassigned to
    /// another, or all of them if it has fewer.
    pub fn with_moved(&self, from: &RegionName, to: &RegionName, points: u32) -> Self {
        let available_points = self.shares().get(from).copied().unwrap_or(0);
        let mut remaining_points = available_points.saturating_sub(points);
        let mut layout = Self::default();
        for run in &self.runs {
            if run.region != *from {
                layout.push(&run.region, run.points);
                continue;
            }
            let kept_points = run.points.min(remaining_points);
            remaining_points -= kept_points;
            layout.push(from, kept_points);
            layout.push(to, run.points - kept_points);
        }
        layout
    }

    /// Returns the number of points that have different regions in the two
    /// layouts.
    pub fn distance(&self, other: &Self) -> u32 {
        let mut ends: Vec<Point> = self.ends();
        ends.extend(other.ends());
        ends.sort_unstable();
        ends.dedup();
        let mut start = 0;
        let mut distance = 0;
        for end in ends {
            if self.region_at(start) != other.region_at(start) {
                distance += end - start;
            }
            start = end;
        }
        distance
    }

    fn ends(&self) -> Vec<Point> {
        let mut end = 0;
        self.runs
            .iter()
            .map(|run| {
                end += run.points;
                end
            })
            .collect()
    }

    fn push(&mut self, region: &RegionName, points: u32) {
        if points == 0 {
            return;
        }
        match self.runs.last_mut() {
            Some(last) if last.region == *region => last.points += points,
            _ => self.runs.push(Run { region: region.clone(), points }),
        }
    }
}
