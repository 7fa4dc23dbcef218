//! Estimates how long requests of each class occupy a slot.

use std::{collections::BTreeMap, time::Duration};

use crate::core::control::RequestClass;

/// Represents the exponential moving average of slot time for each class.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes {
    means: BTreeMap<RequestClass, Duration>,
}

/// The mean of a class that has no completed request yet.
const INITIAL_MEAN: Duration = Duration::from_millis(20);
/// A new value has a weight of `1 / SMOOTHING` in the mean.
const SMOOTHING: u32 = 16;

impl ServiceTimes {
    pub(super) fn mean(&self, class: RequestClass) -> Duration {
        self.means.get(&class).copied().unwrap_or(INITIAL_MEAN)
    }

    pub(super) fn record(&mut self, class: RequestClass, elapsed: Duration) {
        let mean = self.mean(class);
        self.means.insert(class, (mean * (SMOOTHING - 1) + elapsed) / SMOOTHING);
    }
}
