//! Limits the bytes that the replicated state takes in memory and on the disk.

use super::MessageLimits;

/// Limits the bytes that the replicated log, its messages and its snapshots take.
///
/// All sizes are those of the encoded form. An entry that holds a configuration takes two to three
/// times as much in memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StateBudget {
    /// The length of the log file from which on the log is replaced by a snapshot, unless the last
    /// snapshot is longer.
    pub log_bytes: u64,
    /// The length of the log file from which on the log is always replaced by a snapshot.
    pub log_max_bytes: u64,
    /// The maximum size of an entry that holds a configuration, by memory and disk.
    configuration_max_bytes: u64,
    /// The bytes a second that the instance's own link carries, if it is limited.
    link_bytes_per_s: Option<u64>,
    /// The limits on messages.
    pub messages: MessageLimits,
}

/// The part of the memory that the log may take: 1 of this many.
const LOG_IN_MEMORY: u64 = 32;
/// The part of the disk that the log may take: 1 of this many. While a log and a snapshot are
/// replaced, the disk holds two of each.
const LOG_ON_DISK: u64 = 16;
/// The part of the memory that the windows of all replicas together may take: 1 of this many. The
/// sender holds what is in a window up to four times: as entries, and encoded in a call, a frame
/// and the buffer of the connection.
const WINDOWS_IN_MEMORY: u64 = 64;
/// How many times a second the instance's own link can carry all windows. A call that takes more
/// than 1.2 s is given up.
const WINDOWS_PER_S: u64 = 2;
/// The minimum number of copies of a configuration that the instance's own link can carry in a
/// second. One is sent to each other replica, all at the same time, in calls that are given up
/// after 1.2 s and sent again.
const COPIES_MIN: u64 = 2;
/// The size of a window that is not reduced any further, in bytes.
const WINDOW_MIN_BYTES: u64 = 64 * 1024;
/// The default of [`StateBudget::log_bytes`].
const LOG_BYTES: u64 = 4 * 1024 * 1024;

impl Default for StateBudget {
    fn default() -> Self {
        Self {
            log_bytes: LOG_BYTES,
            log_max_bytes: u64::MAX,
            configuration_max_bytes: u64::MAX,
            link_bytes_per_s: None,
            messages: MessageLimits::default(),
        }
    }
}

impl StateBudget {
    /// Creates the budget of a process with this much memory and disk space; 0 if the disk space
    /// is not limited.
    pub fn new(memory_bytes: u64, disk_bytes: u64) -> Self {
        let mut log_max_bytes = memory_bytes / LOG_IN_MEMORY;
        if disk_bytes > 0 {
            log_max_bytes = log_max_bytes.min(disk_bytes / LOG_ON_DISK);
        }
        let messages = MessageLimits {
            windows_bytes: memory_bytes / WINDOWS_IN_MEMORY,
            uncommitted_max_bytes: log_max_bytes,
            ..MessageLimits::default()
        };
        Self {
            log_bytes: LOG_BYTES.min(log_max_bytes),
            log_max_bytes,
            configuration_max_bytes: log_max_bytes,
            link_bytes_per_s: None,
            messages,
        }
    }

    /// Returns the budget for an instance with this bandwidth in bytes per second; 0 if it is not
    /// limited.
    pub fn with_link(mut self, bytes_per_s: f64) -> Self {
        let messages = &mut self.messages;
        if bytes_per_s > 0.0 {
            let windows_bytes = bytes_per_s as u64 / WINDOWS_PER_S;
            messages.windows_bytes = messages.windows_bytes.min(windows_bytes);
            self.link_bytes_per_s = Some(bytes_per_s as u64);
        }
        messages.windows_bytes = messages.windows_bytes.max(WINDOW_MIN_BYTES);
        messages.window_bytes = messages.window_bytes.min(messages.windows_bytes);
        messages.chunk_bytes = messages.chunk_bytes.min(messages.window_bytes as usize);
        self
    }

    /// Returns the maximum size of an entry that holds a configuration, in bytes, for this number
    /// of voters.
    pub fn configuration_max_bytes(&self, voters: usize) -> u64 {
        let copies = (voters.saturating_sub(1) as u64).max(COPIES_MIN);
        let by_link = self.link_bytes_per_s.map_or(u64::MAX, |bytes_per_s| bytes_per_s / copies);
        self.configuration_max_bytes.min(by_link)
    }

    /// Returns whether the log is to be replaced by a snapshot. `log_bytes` is the number of bytes
    /// that were appended to the log file since it was last replaced, `snapshot_bytes` the size
    /// of the last snapshot.
    ///
    /// The cost of a snapshot grows with the size of the state, so the log may grow to the size
    /// of the last snapshot before it is replaced.
    pub fn needs_compaction(&self, log_bytes: u64, snapshot_bytes: u64) -> bool {
        log_bytes > self.compaction_bytes(snapshot_bytes)
    }

    /// Returns the number of appended bytes from which on the log is replaced by a snapshot.
    pub fn compaction_bytes(&self, snapshot_bytes: u64) -> u64 {
        self.log_bytes.max(snapshot_bytes).min(self.log_max_bytes)
    }
}
