//! Tracks how many entry instances share the limits that bind all of them together.

use std::time::Duration;

use super::RecentMax;

/// Represents what an entry instance knows of the number of entry instances.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug)]
pub struct EntryCount {
    window: Duration,
    recent: RecentMax,
    current: u32,
    reported: u32,
    /// The number that was reported together with the instance's rank.
    ranked_of: Option<u32>,
    /// When the reports without a gap began and when the last one came, if any did.
    heard: Option<(Duration, Duration)>,
}

/// The number that is assumed until one is reported.
const COUNT_DEFAULT: u32 = 64;
/// The minimum window over which the greatest reported number is used.
const RECENT_MIN: Duration = Duration::from_secs(20);

impl EntryCount {
    /// Returns the count of a process that has heard of none. `window` is the span over which
    /// uses of a shared limit add up.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            recent: RecentMax::new(RECENT_MIN.max(window * 2)),
            current: COUNT_DEFAULT,
            reported: 0,
            ranked_of: None,
            heard: None,
        }
    }

    /// Records the number that a control replica reports.
    pub fn record(&mut self, reported: u32, now: Duration) {
        self.reported = reported;
        self.current = self.recent.record(reported, now).max(1);
        let since = self.heard.filter(|(_, last)| now <= *last + self.gap_max());
        self.heard = Some((since.map_or(now, |(since, _)| since), now));
    }

    /// Records that a control replica reported the instance's rank, with the last number.
    pub fn record_ranked(&mut self) {
        self.ranked_of = Some(self.reported);
    }

    /// Returns whether no rank is known, or only one among another number of instances.
    pub fn needs_rank(&self) -> bool {
        self.ranked_of != Some(self.reported)
    }

    /// Returns the greatest number reported recently, or a default if none was ever reported.
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Returns this instance's share of `slack` uses of a limit that all instances have together
    /// in a window, of which unused ones may be kept.
    ///
    /// It is one unless reports have come for a whole window and still come: a control
    /// replica that has just started reports only the instances that it has heard so far, and
    /// the last report to an instance that is cut off becomes too low as others start.
    pub fn share_of(&self, slack: f64, now: Duration) -> f64 {
        let is_settled = self.heard.is_some_and(|(since, last)| {
            now >= since + self.window && now <= last + self.gap_max()
        });
        if is_settled { slack / f64::from(self.current) } else { 1.0 }
    }

    fn gap_max(&self) -> Duration {
        self.window / 2
    }
}
