//! Counts the offers of one request to upstreams or to the instances that own
//! their slots.

/// Represents how often one request was offered to an upstream or an owner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OfferCount {
    count: usize,
}

/// The number of offers that take no retry from the budget. The first offer may be
/// refused because its target was chosen from an outdated load report.
const FREE_OFFERS: usize = 2;

impl OfferCount {
    /// Records an offer.
    pub fn record(&mut self) {
        self.count += 1;
    }

    /// Returns the number of offers made.
    pub fn count(self) -> usize {
        self.count
    }

    /// Returns whether the next offer must take a retry from the [`RetryBudget`].
    ///
    /// [`RetryBudget`]: super::RetryBudget
    pub fn needs_retry(self) -> bool {
        self.count >= FREE_OFFERS
    }
}
