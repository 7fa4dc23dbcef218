//! Plans what an instance does between the signal to stop and its exit.

use std::time::Duration;

/// Represents how far a stop has come.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum StopPhase {
    /// No stop has begun.
    #[default]
    Serving,
    /// Requests are taken if they will end before the process does.
    Draining,
    /// No request is taken; those in progress go on.
    Refusing,
    /// Requests in progress are answered at once, whatever their upstreams do.
    Ending,
}

/// Represents the times of a stop, by the instance's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    /// When the instance stops taking requests.
    pub refuse_at: Duration,
    /// When all requests in progress are answered.
    pub answer_by: Duration,
    /// When the process exits, even if responses are still being written.
    pub exit_at: Duration,
}

/// How long an instance takes requests at most. Callers may use an address that the
/// directory returned shortly before the stop.
const DRAIN_MAX: Duration = Duration::from_millis(2500);
/// The time kept for writing the last responses, at most an eighth of the grace period.
const WRITE_MARGIN_MAX: Duration = Duration::from_millis(500);
/// The time kept for the exit itself, at most a fortieth of the grace period.
const EXIT_MARGIN_MAX: Duration = Duration::from_millis(100);

impl StopPlan {
    /// Plans a stop that begins at `now`; the process is killed after `grace`.
    pub fn new(now: Duration, grace: Duration) -> Self {
        let answer_by = now + grace.saturating_sub(WRITE_MARGIN_MAX.min(grace / 8));
        Self {
            refuse_at: answer_by.min(now + DRAIN_MAX),
            answer_by,
            exit_at: now + grace.saturating_sub(EXIT_MARGIN_MAX.min(grace / 40)),
        }
    }
}
