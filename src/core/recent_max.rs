//! Keeps the greatest of the numbers that were seen lately.

use std::{collections::VecDeque, time::Duration};

/// Keeps the greatest of the numbers that were seen within a window.
#[derive(Clone, Debug)]
pub struct RecentMax {
    window: Duration,
    /// Falling numbers, with the time at which each was last seen.
    maxima: VecDeque<(Duration, u32)>,
}

impl RecentMax {
    /// Returns a keeper for numbers of the last `window`.
    pub fn new(window: Duration) -> Self {
        Self { window, maxima: VecDeque::new() }
    }

    /// Notes a number and returns the greatest one of the window.
    pub fn record(&mut self, value: u32, now: Duration) -> u32 {
        while self.maxima.back().is_some_and(|(_, kept)| *kept <= value) {
            self.maxima.pop_back();
        }
        self.maxima.push_back((now, value));
        while self.maxima.front().is_some_and(|(seen_at, _)| *seen_at + self.window < now) {
            self.maxima.pop_front();
        }
        self.maxima.front().map_or(value, |(_, kept)| *kept)
    }
}
