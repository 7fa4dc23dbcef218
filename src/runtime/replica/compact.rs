//! Replaces the log by a snapshot of the state once it is long.

use super::Replica;
use crate::{
    core::replication::{Input, Role},
    net::wire::encode,
};

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

    /// Shows the sizes of the log, the snapshot, the messages that are not acknowledged and the
    /// entries that are not committed, and their limits.
    pub(super) fn record_sizes(&self) {
        let budget = &self.setup.budget;
        let snapshot_bytes = self.node.durable().snapshot.data.len() as u64;
        let (in_flight_bytes, uncommitted_bytes) = match self.node.role() {
            Role::Leader(leader_state) => {
                (leader_state.in_flight_bytes(), leader_state.uncommitted_bytes())
            }
            _ => (0, 0),
        };
        let sizes = [
            ("log", self.disk.log_bytes(), Some(budget.compaction_bytes(snapshot_bytes))),
            ("snapshot", snapshot_bytes, None),
            ("in_flight", in_flight_bytes, Some(budget.messages.windows_bytes)),
            ("uncommitted", uncommitted_bytes, Some(budget.messages.uncommitted_max_bytes)),
        ];
        for (kind, bytes, max_bytes) in sizes {
            self.metrics.state_bytes.with_label_values(&[kind]).set(bytes as i64);
            if let Some(max_bytes) = max_bytes {
                let max_bytes = i64::try_from(max_bytes).unwrap_or(i64::MAX);
                self.metrics.state_max_bytes.with_label_values(&[kind]).set(max_bytes);
            }
        }
    }
}
