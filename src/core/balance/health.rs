//! Follows whether an upstream can be used.

use std::time::Duration;

/// Follows whether an upstream can be used.
///
/// An upstream that failed is not used again before a health check succeeded,
/// since it may have started anew and be cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Health {
    /// It answers.
    Healthy,
    /// It failed; `check_at` is when to check it next.
    Failed { checks: u32, check_at: Duration },
}

/// Says what a health check found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CheckResult {
    /// The upstream is healthy, and cold for as long as it says.
    Healthy {
        /// How much longer it stays cold.
        cold_left: Duration,
    },
    /// The upstream answers, but takes no work now.
    Unhealthy,
    /// Another upstream has the address.
    Misdirected,
    /// Nothing answers.
    Silent,
}

/// The pause before the first check after a failure.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(20);
/// The pause before the second check; it doubles with each further one.
const CHECK_BACKOFF: Duration = Duration::from_millis(250);
/// The longest pause between two checks.
const CHECK_BACKOFF_MAX: Duration = Duration::from_millis(1500);

impl Health {
    /// Returns the state after a request failed.
    pub(super) fn after_failure(self, now: Duration) -> Self {
        match self {
            Self::Healthy => Self::Failed { checks: 0, check_at: now + FIRST_CHECK_DELAY },
            failed @ Self::Failed { .. } => failed,
        }
    }

    /// Returns the state after a health check.
    pub(super) fn after_check(self, result: CheckResult, now: Duration) -> Self {
        let Self::Failed { checks, .. } = self else { return self };
        if let CheckResult::Healthy { .. } = result {
            return Self::Healthy;
        }
        let backoff = CHECK_BACKOFF.saturating_mul(1 << checks.min(8)).min(CHECK_BACKOFF_MAX);
        Self::Failed { checks: checks + 1, check_at: now + backoff }
    }

    /// Returns the state while a check is under way.
    pub(super) fn after_check_started(self) -> Self {
        match self {
            Self::Failed { checks, .. } => Self::Failed { checks, check_at: Duration::MAX },
            Self::Healthy => Self::Healthy,
        }
    }

    /// Tells whether a check is due.
    pub(super) fn is_check_due(self, now: Duration) -> bool {
        matches!(self, Self::Failed { check_at, .. } if now >= check_at)
    }
}
