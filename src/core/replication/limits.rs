//! Limits the size of messages between replicas, and of entries that are not committed.

/// Limits the size of messages, and of entries that are not committed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MessageLimits {
    /// The maximum number of entries in one message.
    pub entries_max: usize,
    /// The size of a chunk of a snapshot, in bytes.
    pub chunk_bytes: usize,
    /// The maximum size of the entries that one replica was sent and has not acknowledged, in
    /// encoded bytes. A larger entry is sent alone.
    pub window_bytes: u64,
    /// The maximum size of the windows of all replicas together, in encoded bytes.
    pub windows_bytes: u64,
    /// The maximum size of a leader's entries that are not committed yet, in encoded bytes. A
    /// larger entry is accepted alone.
    pub uncommitted_max_bytes: u64,
}

impl MessageLimits {
    /// Returns the window of each of `followers` replicas, in bytes.
    pub(super) fn window_bytes_of_each(&self, followers: usize) -> u64 {
        self.window_bytes.min(self.windows_bytes / followers.max(1) as u64)
    }
}

impl Default for MessageLimits {
    fn default() -> Self {
        Self {
            entries_max: 256,
            chunk_bytes: 256 * 1024,
            window_bytes: 1024 * 1024,
            windows_bytes: 4 * 1024 * 1024,
            uncommitted_max_bytes: 64 * 1024 * 1024,
        }
    }
}
