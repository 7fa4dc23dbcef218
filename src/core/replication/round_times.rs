//! Times the heartbeat rounds by which a quorum confirms that a replica leads.

use std::{collections::VecDeque, time::Duration};

use super::Round;

/// Represents when the rounds of one leadership began, and which of them a quorum replied to.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug, Default)]
pub struct RoundTimes {
    /// The newest round whose start was recorded. Round 0 is not one: it begins with the
    /// leadership, before its start can be recorded.
    latest: Round,
    /// The rounds without a quorum and when they began, oldest first.
    unconfirmed: VecDeque<(Round, Duration)>,
    confirmed_at: Option<Duration>,
}

/// The largest number of unconfirmed rounds whose start is kept.
const ROUNDS_MAX: usize = 256;

impl RoundTimes {
    /// Records which round began last and which a quorum last replied to.
    ///
    /// This must happen after each step of the replica and before the messages of that step
    /// are sent.
    pub fn record(&mut self, latest: Round, confirmed: Round, now: Duration) {
        if latest > self.latest {
            self.latest = latest;
            self.unconfirmed.push_back((latest, now));
        }
        while let Some((_, started_at)) =
            self.unconfirmed.pop_front_if(|(round, _)| *round <= confirmed)
        {
            self.confirmed_at = Some(started_at);
        }
        if self.unconfirmed.len() > ROUNDS_MAX {
            self.unconfirmed.pop_front();
        }
    }

    /// Returns when the newest round that a quorum replied to began. The replica certainly
    /// led at that time.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }
}
