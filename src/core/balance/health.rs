//! Tracks the health of an upstream and schedules its health checks.

use std::time::Duration;

/// Represents the health of an upstream.
///
/// A failed upstream is not used again before a health check succeeds, since
/// it may have restarted and be cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Health {
    /// It is used for requests.
    Healthy,
    /// It failed. `failed_checks` counts the failed health checks since then, `check_at` is
    /// when the next check is due, and `is_silent` tells that it has responded to none.
    Unhealthy { failed_checks: u32, check_at: Duration, is_silent: bool },
}

/// Represents the result of a health check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CheckResult {
    /// The upstream is healthy. It may be cold.
    Healthy {
        /// How much longer it stays cold, as it reports.
        cold_left: Duration,
    },
    /// The upstream responds but takes no work now.
    Unhealthy,
    /// Another upstream responds at the address.
    Misdirected,
    /// Nothing responds.
    Silent,
}

/// The delay before the first health check after a failure.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(20);
/// The delay before the second health check; it doubles with each further check.
const CHECK_BACKOFF: Duration = Duration::from_millis(250);
/// The maximum delay between two health checks.
const CHECK_BACKOFF_MAX: Duration = Duration::from_millis(1500);

impl Health {
    /// Returns the health after a request failed.
    pub(super) fn after_failure(self, now: Duration) -> Self {
        match self {
            Self::Healthy => {
                let check_at = now + FIRST_CHECK_DELAY;
                Self::Unhealthy { failed_checks: 0, check_at, is_silent: true }
            }
            unhealthy @ Self::Unhealthy { .. } => unhealthy,
        }
    }

    /// Returns the health after a health check.
    pub(super) fn after_check(self, result: CheckResult, now: Duration) -> Self {
        let Self::Unhealthy { failed_checks, .. } = self else { return self };
        if let CheckResult::Healthy { .. } = result {
            return Self::Healthy;
        }
        let backoff =
            CHECK_BACKOFF.saturating_mul(1 << failed_checks.min(8)).min(CHECK_BACKOFF_MAX);
        let is_silent = result == CheckResult::Silent;
        Self::Unhealthy { failed_checks: failed_checks + 1, check_at: now + backoff, is_silent }
    }

    /// Returns the health while a health check is running. Another one is due at `timeout_at`,
    /// unless this one has a result before.
    pub(super) fn after_check_started(self, timeout_at: Duration) -> Self {
        match self {
            Self::Unhealthy { failed_checks, is_silent, .. } => {
                Self::Unhealthy { failed_checks, check_at: timeout_at, is_silent }
            }
            Self::Healthy => Self::Healthy,
        }
    }

    /// Returns whether it failed and has not responded since, so that it may be out of reach
    /// from this instance only.
    pub(super) fn is_silent(self) -> bool {
        matches!(self, Self::Unhealthy { is_silent: true, .. })
    }

    /// Returns whether a health check is due.
    pub(super) fn is_check_due(self, now: Duration) -> bool {
        matches!(self, Self::Unhealthy { check_at, .. } if now >= check_at)
    }
}
