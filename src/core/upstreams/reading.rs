//! Selects among the entries of one reading of the list.

use std::collections::{BTreeMap, BTreeSet};

use super::{ListedState, ListedUpstream, ListedUpstreams, UpstreamId, UpstreamList};
use crate::core::control::ServiceName;

/// Returns whether several entries have the same id.
pub fn has_repeated_ids(entries: &[ListedUpstream]) -> bool {
    let ids: BTreeSet<&UpstreamId> = entries.iter().map(|entry| &entry.id).collect();
    ids.len() < entries.len()
}

/// Selects one entry for each id, and returns these and the others.
///
/// Of several entries with one id, one of a service for which `is_named` holds counts before
/// others; then one with the service, address, zone and start that the last list has; then one
/// with that service, address and zone; then one that started later, of which one without a start
/// is the earliest; then the first. The upstream leaves if any entry that may be of the same
/// start says so.
pub fn select_entries(
    entries: Vec<ListedUpstream>,
    last: &UpstreamList,
    is_named: impl Fn(&ServiceName) -> bool,
) -> (ListedUpstreams, Vec<ListedUpstream>) {
    let mut by_id: BTreeMap<UpstreamId, Vec<ListedUpstream>> = BTreeMap::new();
    for entry in entries {
        by_id.entry(entry.id.clone()).or_default().push(entry);
    }
    let (mut selected, mut passed_over) = (ListedUpstreams::new(), Vec::new());
    for (id, mut entries) in by_id {
        let known = last.get(&id);
        let rank = |entry: &ListedUpstream| {
            let is_known_place = known.is_some_and(|known| is_same_place(known, entry));
            let is_known_start =
                known.is_some_and(|known| known.started_unix_ms == entry.started_unix_ms);
            let is_known = is_known_place && is_known_start;
            (is_named(&entry.service), is_known, is_known_place, entry.started_unix_ms)
        };
        // Of equal entries, `max_by_key` returns the last.
        let best = (0..entries.len()).rev().max_by_key(|index| rank(&entries[*index]));
        let mut entry = entries.remove(best.unwrap_or_default());
        if entries.iter().any(|other| other.state == ListedState::Leaving && is_same(other, &entry))
        {
            entry.state = ListedState::Leaving;
        }
        selected.insert(id, entry);
        passed_over.extend(entries);
    }
    (selected, passed_over)
}

fn is_same_place(one: &ListedUpstream, other: &ListedUpstream) -> bool {
    (&one.service, one.address, &one.zone) == (&other.service, other.address, &other.zone)
}

/// Returns whether two entries with one id may be of the same start of an upstream.
fn is_same(one: &ListedUpstream, other: &ListedUpstream) -> bool {
    let is_other_start = matches!(
        (one.started_unix_ms, other.started_unix_ms),
        (Some(one), Some(other)) if one != other
    );
    is_same_place(one, other) && !is_other_start
}
