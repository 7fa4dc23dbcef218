//! Schedules the classes of requests by weighted fair sharing of slot time.

use std::{collections::BTreeMap, time::Duration};

use crate::core::control::RequestClass;

/// Represents the slot time charged to each class.
///
/// Each class is charged the slot time that it uses, divided by its weight;
/// the class with the lowest charge is served next. Charging time rather than
/// the number of requests keeps long reports from taking the slots of short
/// bookings, and also keeps reports from starving.
#[derive(Clone, Debug, Default)]
pub(super) struct FairShare {
    charged_us: BTreeMap<RequestClass, u64>,
    /// The minimum charge: a class that was charged less counts as charged this much.
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
    /// Returns the class with the lowest charge, the most urgent one on a tie.
    pub(super) fn choose(
        &self,
        waiting_classes: impl Iterator<Item = RequestClass>,
    ) -> Option<RequestClass> {
        waiting_classes.min_by_key(|class| (self.charged(*class), *class))
    }

    /// Charges a class for the slot time that its next request is expected to use.
    pub(super) fn charge(&mut self, class: RequestClass, expected: Duration) {
        let charged = self.charged(class);
        self.virtual_time_us = self.virtual_time_us.max(charged);
        self.charged_us.insert(class, charged + weighted_us(class, expected));
    }

    /// Replaces the charge for the expected slot time by one for the time actually used.
    pub(super) fn correct(&mut self, class: RequestClass, expected: Duration, elapsed: Duration) {
        let charged = self.charged_us.entry(class).or_insert(self.virtual_time_us);
        *charged =
            (*charged + weighted_us(class, elapsed)).saturating_sub(weighted_us(class, expected));
    }

    /// Returns the charge of a class, which is at least the virtual time.
    ///
    /// A class that was idle thus resumes with the same charge as the others, and does
    /// not get all slots until it has caught up.
    fn charged(&self, class: RequestClass) -> u64 {
        self.charged_us.get(&class).copied().unwrap_or(0).max(self.virtual_time_us)
    }
}

fn weighted_us(class: RequestClass, time: Duration) -> u64 {
    time.as_micros() as u64 / weight(class)
}
