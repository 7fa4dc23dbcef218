//! Paces large bodies on an instance's own network link.
//!
//! Pattern: uploads over a narrow link. A link sends in the order of the writes, so a
//! short message that is written behind a whole upload waits until all of it is sent.
//! Bodies are therefore written in pieces, the next one only when the link has almost
//! sent what was written before.

use std::time::Duration;

/// Estimates what is still queued on a link from what was written to it.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug)]
pub struct LinkPacer {
    bytes_per_s: f64,
    /// When the link has sent everything that was written.
    idle_at: Duration,
}

/// How long the link takes to send one piece of a body. It is also how much may be queued
/// when a piece is written, so that the link does not fall idle between two pieces.
const PIECE_TIME: Duration = Duration::from_millis(16);
/// The minimum size of a piece.
const PIECE_MIN_BYTES: usize = 4096;

impl LinkPacer {
    /// Returns a pacer of an idle link. A bandwidth of 0 means that it is not limited.
    pub fn new(bytes_per_s: f64) -> Self {
        Self { bytes_per_s, idle_at: Duration::ZERO }
    }

    /// Returns the maximum size of a piece of a body.
    pub fn piece_max_bytes(&self) -> usize {
        if self.bytes_per_s <= 0.0 {
            return usize::MAX;
        }
        ((self.bytes_per_s * PIECE_TIME.as_secs_f64()) as usize).max(PIECE_MIN_BYTES)
    }

    /// Returns how long to wait before the next piece of a body is written.
    pub fn wait(&self, now: Duration) -> Duration {
        self.idle_at.saturating_sub(now + PIECE_TIME)
    }

    /// Records that a number of bytes is written, in a piece of a body or in a message that
    /// does not wait.
    pub fn record_write(&mut self, length: usize, now: Duration) {
        if self.bytes_per_s > 0.0 {
            let send_time = Duration::from_secs_f64(length as f64 / self.bytes_per_s);
            self.idle_at = self.idle_at.max(now) + send_time;
        }
    }
}
