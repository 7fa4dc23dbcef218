//! Keeps the request rate that an upstream named, which all instances share.

use std::time::Duration;

/// Represents one instance's share of a rate limit.
///
/// Time is divided into windows of [`WINDOW`] or, if the share is smaller than one request in a
/// window, of the time for one request. A window's requests may be sent in its first [`WINDOW`],
/// and are lost otherwise: after a time without requests, all instances would else send at once.
/// The windows of instances begin at different times.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug)]
pub(super) struct RateLimit {
    per_s: f64,
    /// When the upstream last named the limit.
    named_at: Duration,
    /// When the first window begins.
    begins_at: Duration,
    /// The number of the last window in which requests were sent, and how many were.
    used: (u64, u64),
}

/// The length of a window if the share is one request in it or more.
const WINDOW: Duration = Duration::from_secs(1);
/// How long a limit holds after the upstream last named it. It is named in every response for as
/// long as it holds, so without one for so long the upstream's state is not known any more.
const LIMIT_TTL: Duration = Duration::from_secs(600);
/// The shortest share that is kept, in requests a second. Instances would otherwise not learn
/// that the limit has ended.
const SHARE_MIN_PER_S: f64 = 0.01;
/// The maximum share, in requests a second. Larger ones overflow the count of requests.
const SHARE_MAX_PER_S: f64 = 1e6;

impl RateLimit {
    /// Creates a limit that was named at `now`. `phase`, from 0 to 1, is how much of a window
    /// passes before the first one begins.
    pub(super) fn new(per_s: f64, entry_count: u32, phase: f64, now: Duration) -> Self {
        let mut limit = Self { per_s, named_at: now, begins_at: now, used: (0, 0) };
        limit.begins_at += limit.window(entry_count).mul_f64(phase);
        limit
    }

    /// Records that the upstream named a limit once more.
    pub(super) fn record_named(&mut self, per_s: f64, now: Duration) {
        self.per_s = per_s;
        self.named_at = now;
    }

    /// Returns whether a response without a limit to a request that was sent at `sent_at` shows
    /// that there is none any more.
    pub(super) fn ends_with(&self, sent_at: Duration) -> bool {
        sent_at >= self.named_at
    }

    /// Returns whether the limit was last named too long ago.
    pub(super) fn is_expired(&self, now: Duration) -> bool {
        now >= self.named_at + LIMIT_TTL
    }

    /// Returns `None` if a request may be sent, or else when one may be.
    pub(super) fn blocked_until(&self, entry_count: u32, now: Duration) -> Option<Duration> {
        let Some(since) = now.checked_sub(self.begins_at) else { return Some(self.begins_at) };
        let window = self.window(entry_count);
        let number = self.window_number(entry_count, now);
        let into = since.saturating_sub(window.mul_f64(number as f64));
        let used = if self.used.0 == number { self.used.1 } else { 0 };
        let is_open = into <= WINDOW && used < self.allowed(entry_count, number);
        (!is_open).then(|| self.begins_at + window.mul_f64((number + 1) as f64))
    }

    /// Records that a request is sent.
    pub(super) fn record_sent(&mut self, entry_count: u32, now: Duration) {
        let number = self.window_number(entry_count, now);
        let used = if self.used.0 == number { self.used.1 } else { 0 };
        self.used = (number, used + 1);
    }

    /// Returns how many requests a window allows. The fractions of windows add up.
    fn allowed(&self, entry_count: u32, number: u64) -> u64 {
        let per_window = self.share_per_s(entry_count) * self.window(entry_count).as_secs_f64();
        // A share of one request in a window may come out a little smaller.
        let up_to = |windows: u64| (windows as f64 * per_window + 1e-6).floor() as u64;
        up_to(number + 1) - up_to(number)
    }

    fn window_number(&self, entry_count: u32, now: Duration) -> u64 {
        let since = now.saturating_sub(self.begins_at);
        (since.as_secs_f64() / self.window(entry_count).as_secs_f64()) as u64
    }

    fn window(&self, entry_count: u32) -> Duration {
        WINDOW.max(Duration::from_secs_f64(1.0 / self.share_per_s(entry_count)))
    }

    fn share_per_s(&self, entry_count: u32) -> f64 {
        (self.per_s / f64::from(entry_count.max(1))).clamp(SHARE_MIN_PER_S, SHARE_MAX_PER_S)
    }
}
