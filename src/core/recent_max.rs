//! Tracks the maximum of recently recorded values.

use std::{collections::VecDeque, time::Duration};

/// Represents a sliding-window maximum.
#[derive(Clone, Debug)]
pub struct RecentMax {
    window: Duration,
    /// Strictly decreasing values, each with the time at which it was last recorded.
    maxima: VecDeque<(Duration, u32)>,
}

impl RecentMax {
    /// Returns an empty maximum over the values of the last `window`.
    pub fn new(window: Duration) -> Self {
        Self { window, maxima: VecDeque::new() }
    }

    /// Records a value and returns the maximum within the window.
    pub fn record(&mut self, value: u32, now: Duration) -> u32 {
        while self.maxima.back().is_some_and(|(_, maximum)| *maximum <= value) {
            self.maxima.pop_back();
        }
        self.maxima.push_back((now, value));
        while self.maxima.front().is_some_and(|(recorded_at, _)| *recorded_at + self.window < now) {
            self.maxima.pop_front();
        }
        self.maxima.front().map_or(value, |(_, maximum)| *maximum)
    }
}
