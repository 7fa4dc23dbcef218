//! Follows whether an upstream can be used.

use std::time::Duration;

/// Follows whether an upstream can be used.
///
/// An upstream that failed is not used again before a health check succeeded,
/// since it may have started anew and be cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Health {
    /// It answers.
    Sound,
    /// It failed; `check_at` is when to check it next.
    Suspect { checks: u32, check_at: Duration },
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
const FIRST_CHECK_AFTER: Duration = Duration::from_millis(20);
/// The pause before the second check; it doubles with each further one.
const CHECK_PAUSE: Duration = Duration::from_millis(250);
/// The longest pause between two checks.
const CHECK_PAUSE_MAX: Duration = Duration::from_millis(1500);

impl Health {
    /// Returns the state after a request failed.
    pub(super) fn after_failure(self, now: Duration) -> Self {
        match self {
            Self::Sound => Self::Suspect { checks: 0, check_at: now + FIRST_CHECK_AFTER },
            suspect @ Self::Suspect { .. } => suspect,
        }
    }

    /// Returns the state after a health check.
    pub(super) fn after_check(self, result: CheckResult, now: Duration) -> Self {
        let Self::Suspect { checks, .. } = self else { return self };
        if let CheckResult::Healthy { .. } = result {
            return Self::Sound;
        }
        let pause = CHECK_PAUSE.saturating_mul(1 << checks.min(8)).min(CHECK_PAUSE_MAX);
        Self::Suspect { checks: checks + 1, check_at: now + pause }
    }

    /// Returns the state while a check is under way.
    pub(super) fn checking(self) -> Self {
        match self {
            Self::Suspect { checks, .. } => Self::Suspect { checks, check_at: Duration::MAX },
            Self::Sound => Self::Sound,
        }
    }

    /// Tells whether a check is due.
    pub(super) fn is_check_due(self, now: Duration) -> bool {
        matches!(self, Self::Suspect { check_at, .. } if now >= check_at)
    }
}
