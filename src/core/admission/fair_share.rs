//! Shares slot time between the classes of requests.

use std::{collections::BTreeMap, time::Duration};

use crate::core::control::RequestClass;

/// Shares slot time between classes in proportion to their weights.
///
/// Each class is charged the slot time that it takes, divided by its weight;
/// the class with the lowest charge goes next. Charging time, and not
/// starts, keeps long reports from taking the slots of short bookings, and
/// keeps them from waiting for ever.
#[derive(Clone, Debug, Default)]
pub(super) struct FairShare {
    charged_us: BTreeMap<RequestClass, u64>,
    virtual_time_us: u64,
}

fn weight(class: RequestClass) -> u64 {
    match class {
        RequestClass::Booking => 16,
        RequestClass::Read => 8,
        RequestClass::Upload => 2,
        RequestClass::Report => 1,
    }
}

impl FairShare {
    /// Chooses the class that goes next; of equal ones the most urgent.
    pub(super) fn choose(
        &self,
        waiting: impl Iterator<Item = RequestClass>,
    ) -> Option<RequestClass> {
        waiting.min_by_key(|class| (self.charged(*class), *class))
    }

    /// Charges a class for slot time that it is about to take.
    pub(super) fn charge(&mut self, class: RequestClass, expected: Duration) {
        let charged = self.charged(class);
        self.virtual_time_us = self.virtual_time_us.max(charged);
        self.charged_us.insert(class, charged + weighted_us(class, expected));
    }

    /// Corrects a charge once the slot time is known.
    pub(super) fn correct(&mut self, class: RequestClass, expected: Duration, elapsed: Duration) {
        let charged = self.charged_us.entry(class).or_insert(self.virtual_time_us);
        *charged =
            (*charged + weighted_us(class, elapsed)).saturating_sub(weighted_us(class, expected));
    }

    /// A class that asked for nothing for a while starts level with the
    /// others: it may not save up a claim on all slots.
    fn charged(&self, class: RequestClass) -> u64 {
        self.charged_us.get(&class).copied().unwrap_or(0).max(self.virtual_time_us)
    }
}

fn weighted_us(class: RequestClass, time: Duration) -> u64 {
    time.as_micros() as u64 / weight(class)
}
