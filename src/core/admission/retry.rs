//! Bounds the number of retries to prevent retry storms.

/// Represents a token bucket that allows retries in proportion to requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    /// The hundredths of a retry that each request adds.
    percent: u32,
    /// The retries available, in hundredths of a retry.
    tokens: u32,
    /// The maximum of `tokens`.
    burst: u32,
}

/// The tokens that one retry takes.
const RETRY_COST: u32 = 100;
/// The default of `RetryBudget::burst`.
const DEFAULT_BURST: u32 = 10 * RETRY_COST;

impl RetryBudget {
    /// Returns a budget that allows `percent` retries per hundred requests.
    ///
    /// It starts with one retry, or with none if `percent` is 0.
    pub fn new(percent: u32) -> Self {
        let tokens = if percent == 0 { 0 } else { RETRY_COST };
        Self { percent, tokens, burst: DEFAULT_BURST }
    }

    /// Returns the budget with `retries` available, which is also the maximum
    /// that it accumulates.
    pub fn with_burst(mut self, retries: u32) -> Self {
        self.tokens = retries * RETRY_COST;
        self.burst = self.tokens;
        self
    }

    /// Sets the maximum number of retries that the budget accumulates.
    pub fn set_burst(&mut self, retries: u32) {
        self.burst = retries * RETRY_COST;
        self.tokens = self.tokens.min(self.burst);
    }

    /// Records a request, which adds to the budget.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.percent).min(self.burst);
    }

    /// Returns the number of retries available.
    pub fn available(&self) -> u32 {
        self.tokens / RETRY_COST
    }

    /// Takes a retry from the budget and returns whether one was available.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < RETRY_COST {
            return false;
        }
        self.tokens -= RETRY_COST;
        true
    }
}
