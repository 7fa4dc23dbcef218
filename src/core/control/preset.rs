//! Presets: which regions serve each home region's callers, and how fast that
//! may change.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::RegionName;

/// For each home region, the permille of its callers that each region serves.
/// Every row adds up to [`SHARES_TOTAL_PERMILLE`].
pub type Shares = BTreeMap<RegionName, BTreeMap<RegionName, u32>>;

/// The sum of each row of [`Shares`].
pub const SHARES_TOTAL_PERMILLE: u32 = 1000;

/// Represents a preset, which an operator can put in force by its name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// The shares once the shift to this preset has ended.
    pub shares: Shares,
    /// The limits of the shift.
    pub shift: ShiftRule,
}

/// Limits a shift of callers between regions.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShiftRule {
    /// The maximum share of a home region's callers that one step moves, in
    /// permille.
    pub cap_permille: u32,
    /// The minimum time between two steps, in milliseconds.
    pub interval_ms: u64,
    /// The share of its usable slots that a receiving region keeps free, in
    /// permille.
    pub headroom_permille: u32,
}

impl ShiftRule {
    /// Returns the minimum time between two steps.
    pub fn interval(&self) -> Duration {
        Duration::from_millis(self.interval_ms)
    }
}

impl Preset {
    /// Returns the errors in the preset, each with the name of the key. `regions`
    /// are the configured regions, and `look_up_ttl` is how long callers may cache
    /// the response to a look-up.
    pub fn findings(&self, regions: &[RegionName], look_up_ttl: Duration) -> Vec<String> {
        let mut findings = self.row_findings(regions);
        for region in regions.iter().filter(|region| !self.shares.contains_key(*region)) {
            findings.push(format!("shares: region `{region}` has no row; add one"));
        }
        findings.extend(self.shift.findings(look_up_ttl));
        findings
    }

    fn row_findings(&self, regions: &[RegionName]) -> Vec<String> {
        let mut findings = Vec::new();
        for (home, row) in &self.shares {
            for region in std::iter::once(home).chain(row.keys()) {
                if !regions.contains(region) {
                    findings.push(format!(
                        "shares.{home}: `{region}` is no region; use one of the settings' regions"
                    ));
                }
            }
            let sum: u64 = row.values().map(|share| u64::from(*share)).sum();
            if sum != u64::from(SHARES_TOTAL_PERMILLE) {
                findings.push(format!(
                    "shares.{home}: the shares add up to {sum}; make them {SHARES_TOTAL_PERMILLE}"
                ));
            }
        }
        findings
    }
}

impl ShiftRule {
    fn findings(&self, look_up_ttl: Duration) -> Vec<String> {
        let mut findings = Vec::new();
        if !(1..=SHARES_TOTAL_PERMILLE).contains(&self.cap_permille) {
            findings.push(format!(
                "shift.cap_permille: {} is not between 1 and 1000; a cap of 0 would never move anything",
                self.cap_permille
            ));
        }
        if self.headroom_permille >= SHARES_TOTAL_PERMILLE {
            findings.push(format!(
                "shift.headroom_permille: {} leaves nothing to use; give less than 1000",
                self.headroom_permille
            ));
        }
        // Callers cache the response to a look-up for its time to live. With a
        // shorter interval, the callers of two steps would move at once.
        if self.interval() < look_up_ttl {
            findings.push(format!(
                "shift.interval_ms: {} is less than the look-up's time to live, {} ms; make it at least that",
                self.interval_ms,
                look_up_ttl.as_millis()
            ));
        }
        findings
    }
}
