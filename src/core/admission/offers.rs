//! Counts what one request is offered to.

/// Counts the upstreams or owners that one request was offered to, and says
/// when a further one needs a retry from the budget.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Offers {
    count: usize,
}

/// The offers of one request that need no retry: the first may be refused
/// because the load report that spoke for it was old.
const FREE_OFFERS: usize = 2;

impl Offers {
    /// Notes an offer.
    pub fn record(&mut self) {
        self.count += 1;
    }

    /// Returns how many offers were made.
    pub fn count(self) -> usize {
        self.count
    }

    /// Tells whether a further offer needs a retry from the budget.
    pub fn needs_retry(self) -> bool {
        self.count >= FREE_OFFERS
    }
}
