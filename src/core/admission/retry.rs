//! Bounds retries so that they can't add up to a storm.

/// Allows retries in proportion to the requests that came.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    percent: u32,
    /// Hundredths of a retry.
    tokens: u32,
    burst: u32,
}

const RETRY_COST: u32 = 100;
/// The most retries that quiet times save up, where nothing else is said.
const DEFAULT_BURST: u32 = 10 * RETRY_COST;

impl RetryBudget {
    /// Returns a budget that allows `percent` retries for each hundred
    /// requests.
    pub fn new(percent: u32) -> Self {
        let tokens = if percent == 0 { 0 } else { RETRY_COST };
        Self { percent, tokens, burst: DEFAULT_BURST }
    }

    /// Returns the budget with `retries` to begin with, which is also the
    /// most that quiet times save up.
    pub fn with_burst(mut self, retries: u32) -> Self {
        self.tokens = retries * RETRY_COST;
        self.burst = self.tokens;
        self
    }

    /// Sets the most retries that quiet times save up.
    pub fn set_burst(&mut self, retries: u32) {
        self.burst = retries * RETRY_COST;
        self.tokens = self.tokens.min(self.burst);
    }

    /// Notes a request.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.percent).min(self.burst);
    }

    /// Takes a retry from the budget, if there is one.
    pub fn take(&mut self) -> bool {
        if self.tokens < RETRY_COST {
            return false;
        }
        self.tokens -= RETRY_COST;
        true
    }
}
