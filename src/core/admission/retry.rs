//! Bounds the number of retries to prevent retry storms.

/// Represents a token bucket that allows retries in proportion to requests.
///
/// If it starts empty, restarts of a process give it no retries that its requests have not earned:
/// in any span, the retries are at most those that it held at the beginning of the span and those
/// that the requests of the span add.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    /// The hundredths of a retry that each request adds.
    percent: u32,
    /// The retries available, in hundredths of a retry.
    tokens: u32,
    /// The maximum of `tokens`, unless one request adds more.
    burst: u32,
}

/// The tokens that one retry takes.
const RETRY_COST: u32 = 100;
/// The default of `RetryBudget::burst`.
const DEFAULT_BURST: u32 = 10 * RETRY_COST;

impl RetryBudget {
    /// Returns a budget without retries, to which a hundred requests add `percent`.
    pub fn new(percent: u32) -> Self {
        Self { percent, tokens: 0, burst: DEFAULT_BURST }
    }

    /// Adds retries that no request has earned.
    #[must_use]
    pub fn with_retries(mut self, retries: u32) -> Self {
        self.tokens = self.tokens.saturating_add(retries * RETRY_COST).min(self.tokens_max());
        self
    }

    /// Sets the maximum number of retries that the budget accumulates, which may be a fraction.
    pub fn set_burst(&mut self, retries: f64) {
        self.burst = (retries * f64::from(RETRY_COST)) as u32;
        self.tokens = self.tokens.min(self.tokens_max());
    }

    /// Records a request, which adds to the budget.
    pub fn record_request(&mut self) {
        self.tokens = self.tokens.saturating_add(self.percent).min(self.tokens_max());
    }

    /// Returns the number of retries available.
    pub fn available(&self) -> f64 {
        f64::from(self.tokens) / f64::from(RETRY_COST)
    }

    /// Takes a retry from the budget and returns whether one was available.
    ///
    /// A budget that accumulates less than one retry grants one with the probability that its
    /// fraction is, and is empty afterwards. `draw` is a random number from 0 to 1.
    pub fn try_take(&mut self, draw: f64) -> bool {
        if self.tokens_max() < RETRY_COST {
            let fraction = self.available();
            self.tokens = 0;
            return draw < fraction;
        }
        let is_granted = self.tokens >= RETRY_COST;
        if is_granted {
            self.tokens -= RETRY_COST;
        }
        is_granted
    }

    fn tokens_max(&self) -> u32 {
        self.burst.max(self.percent)
    }
}
