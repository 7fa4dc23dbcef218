//! Logs and counts the entries of the list of upstreams that are passed over.

use std::collections::BTreeSet;

use tracing::warn;

use super::{list_pages::ListReading, metrics::ListCounters};
use crate::core::upstreams::{ListedState, ListedUpstream};

/// Holds the descriptions of the entries that the last reading passed over, so that each is
/// logged once for as long as it stays on the list.
#[derive(Default)]
pub(super) struct PassedOverEntries {
    last: BTreeSet<String>,
}

/// The maximum number of entries that are logged for one reading.
const LINES_MAX: usize = 20;

impl PassedOverEntries {
    /// Counts the entries of one reading that could not be decoded and those whose id another
    /// entry has, and logs those that the last reading did not have.
    pub(super) fn record(
        &mut self,
        counters: &ListCounters,
        reading: &ListReading,
        repeated: &[ListedUpstream],
    ) {
        let count = |reason: &str, count: usize| {
            counters.passed_over.with_label_values(&[reason]).inc_by(count as u64);
        };
        count("undecodable", reading.undecodable_count);
        count("repeated_id", repeated.len());
        let current: BTreeSet<String> =
            reading.findings.iter().cloned().chain(repeated.iter().map(describe)).collect();
        let new: Vec<&String> = current.difference(&self.last).collect();
        for entry in new.iter().take(LINES_MAX) {
            warn!(entry, "passed over an entry of the list of upstreams");
        }
        if new.len() > LINES_MAX {
            let count = new.len() - LINES_MAX;
            warn!(count, "passed over more entries of the list of upstreams");
        }
        self.last = current;
    }
}

/// Describes an entry without the values that change from one reading to the next.
fn describe(entry: &ListedUpstream) -> String {
    let state = if entry.state == ListedState::Ready { "ready" } else { "leaving" };
    let start = entry.started_unix_ms.map(|ms| format!(", started at {ms} ms")).unwrap_or_default();
    format!(
        "`{}`: another entry with its id counts; this one is {state}, of {} at {} in {}{start}",
        entry.id, entry.service, entry.address, entry.zone
    )
}
