//! Bounds retries so that they can't add up to a storm.

/// Allows retries in proportion to the requests that came.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    percent: u32,
    /// Hundredths of a retry.
    saved: u32,
}

const RETRY_COST: u32 = 100;
/// The most retries that quiet times save up.
const SAVED_MAX: u32 = 10 * RETRY_COST;

impl RetryBudget {
    /// Returns a budget that allows `percent` retries for each hundred
    /// requests.
    pub fn new(percent: u32) -> Self {
        Self { percent, saved: if percent == 0 { 0 } else { RETRY_COST } }
    }

    /// Notes a request.
    pub fn note_request(&mut self) {
        self.saved = (self.saved + self.percent).min(SAVED_MAX);
    }

    /// Takes a retry from the budget, if there is one.
    pub fn take(&mut self) -> bool {
        if self.saved < RETRY_COST {
            return false;
        }
        self.saved -= RETRY_COST;
        true
    }
}
