//! Replaces the log by a snapshot of the state once it is long.

use super::Replica;
use crate::{core::replication::Input, net::wire::encode};

/// The number of log entries at which a snapshot is always taken.
const COMPACT_ENTRIES_MAX: u64 = 100_000;

impl Replica {
    /// Queues a snapshot if the log is long enough to be replaced by one.
    pub(super) fn compact_if_needed(&mut self) {
        let snapshot = &self.node.durable().snapshot;
        let applied_index = self.node.commit_index();
        let entries = applied_index.saturating_sub(snapshot.index);
        // Entries that are not committed stay in the log, so only what was appended since the
        // last snapshot counts: a log that holds many of them is not rewritten with each commit.
        let is_long = self
            .setup
            .budget
            .needs_compaction(self.disk.appended_bytes(), snapshot.data.len() as u64);
        if entries == 0 || (entries < COMPACT_ENTRIES_MAX && !is_long) {
            return;
        }
        if let Ok(data) = encode(&self.state) {
            self.inputs.push((Input::Compact { index: applied_index, data }, None));
        }
    }
}
