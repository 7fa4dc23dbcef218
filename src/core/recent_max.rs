//! Keeps the greatest of the numbers that were seen lately.

use std::{collections::VecDeque, time::Duration};

/// Keeps the greatest of the numbers that were seen within a window.
#[derive(Clone, Debug)]
pub struct RecentMax {
    window: Duration,
    /// Falling numbers, with the time at which each was last seen.
    seen: VecDeque<(Duration, u32)>,
}

impl RecentMax {
    /// Returns a keeper for numbers of the last `window`.
    pub fn new(window: Duration) -> Self {
        Self { window, seen: VecDeque::new() }
    }

    /// Notes a number and returns the greatest one of the window.
    pub fn note(&mut self, number: u32, now: Duration) -> u32 {
        while self.seen.back().is_some_and(|(_, held)| *held <= number) {
            self.seen.pop_back();
        }
        self.seen.push_back((now, number));
        while self.seen.front().is_some_and(|(at, _)| *at + self.window < now) {
            self.seen.pop_front();
        }
        self.seen.front().map_or(number, |(_, held)| *held)
    }
}
