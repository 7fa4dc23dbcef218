//! Bounds retries so that they can't add up to a storm.

/// Allows retries in proportion to the requests that came.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    percent: u32,
    /// Hundredths of a retry.
    saved: u32,
    saved_max: u32,
}

const RETRY_COST: u32 = 100;
/// The most retries that quiet times save up, where nothing else is said.
const SAVED_MAX: u32 = 10 * RETRY_COST;

impl RetryBudget {
    /// Returns a budget that allows `percent` retries for each hundred
    /// requests.
    pub fn new(percent: u32) -> Self {
        let saved = if percent == 0 { 0 } else { RETRY_COST };
        Self { percent, saved, saved_max: SAVED_MAX }
    }

    /// Returns the budget with `retries` to begin with, which is also the
    /// most that quiet times save up.
    pub fn with_saved(mut self, retries: u32) -> Self {
        self.saved = retries * RETRY_COST;
        self.saved_max = self.saved;
        self
    }

    /// Sets the most retries that quiet times save up.
    pub fn limit_saved(&mut self, retries: u32) {
        self.saved_max = retries * RETRY_COST;
        self.saved = self.saved.min(self.saved_max);
    }

    /// Notes a request.
    pub fn note_request(&mut self) {
        self.saved = (self.saved + self.percent).min(self.saved_max);
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
