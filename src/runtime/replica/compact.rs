//! Replaces the log by a snapshot of the state once it is long.

use super::Replica;
use crate::{core::replication::Input, net::wire::encode};

/// The number of log entries at which a snapshot is always taken.
const COMPACT_ENTRIES_MAX: usize = 100_000;
/// The number of log entries up to which no snapshot is taken, however long the log is.
const COMPACT_ENTRIES_MIN: usize = 200;
/// The log length in bytes up to which its length alone causes no snapshot.
const COMPACT_BYTES_MIN: u64 = 4 * 1024 * 1024;

impl Replica {
    /// Queues a snapshot if the log is long enough to be replaced by one.
    pub(super) fn compact_if_needed(&mut self) {
        let durable = self.node.durable();
        let applied_index = self.node.commit_index();
        let entries = applied_index.saturating_sub(durable.snapshot.index) as usize;
        // The cost of a snapshot grows with the size of the state, so the log may grow to the size
        // of the last snapshot before it is compacted.
        let bytes_max = COMPACT_BYTES_MIN.max(durable.snapshot.data.len() as u64);
        let is_long = self.disk.log_bytes() > bytes_max && entries > COMPACT_ENTRIES_MIN;
        if entries < COMPACT_ENTRIES_MAX && !is_long {
            return;
        }
        if let Ok(data) = encode(&self.state) {
            self.inputs.push((Input::Compact { index: applied_index, data }, None));
        }
    }
}
