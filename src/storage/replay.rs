//! The items of the log file, and how the state is read back from them.

use std::path::Path;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{
    StoreError,
    record::{self, Parsed},
};
use crate::core::replication::{Ballot, DurableState, Entry, LogIndex, Members, Snapshot, Term};

/// Represents an item of the log. Each record of the log file holds the items of
/// one save; a rewritten file begins with a record of its whole state.
#[derive(Deserialize, Serialize)]
pub(super) enum LogItem<C> {
    /// The snapshot at which the log begins. Its data is in the snapshot file.
    Base { index: LogIndex, term: Term, members: Members },
    /// The current term and vote.
    Ballot(Ballot),
    /// An entry, which replaces any entries from its index on.
    Entry(Entry<C>),
    /// The commit index.
    Committed(LogIndex),
}

/// Returns the state that the log and the snapshot file hold.
///
/// # Errors
///
/// Returns an error if the log is damaged other than by an interrupted last write, or if it
/// doesn't belong to the snapshot.
pub(super) fn replay<C>(
    path: &Path,
    bytes: &[u8],
    snapshot: Option<Snapshot>,
) -> Result<DurableState<C>, StoreError>
where
    C: Clone + DeserializeOwned,
{
    let mut durable = DurableState::new(Members::default());
    let mut offset = 0;
    loop {
        let damaged = |reason: &str| Err(StoreError::damaged(path, offset as u64, reason));
        match record::parse(bytes, offset) {
            Parsed::Record { body, next } => {
                let batch: Vec<LogItem<C>> = record::decode(body)
                    .map_err(|reason| StoreError::damaged(path, offset as u64, reason))?;
                for item in batch {
                    replay_item(&mut durable, item, snapshot.as_ref())
                        .map_err(|reason| StoreError::damaged(path, offset as u64, reason))?;
                }
                offset = next;
            }
            // The file is renamed into place with its first record, so a crash
            // never leaves that record incomplete.
            Parsed::Incomplete | Parsed::End if offset == 0 => {
                return damaged("the first record of the log is missing or incomplete");
            }
            Parsed::End | Parsed::Incomplete => break,
            Parsed::Damaged(_) if offset > 0 && !record::has_record_after(bytes, offset) => break,
            Parsed::Damaged(reason) => return damaged(reason),
        }
    }
    compact_to(&mut durable, snapshot).map_err(|reason| StoreError::damaged(path, 0, reason))?;
    Ok(durable)
}

fn replay_item<C: Clone>(
    durable: &mut DurableState<C>,
    item: LogItem<C>,
    snapshot: Option<&Snapshot>,
) -> Result<(), String> {
    match item {
        LogItem::Base { index, term, members } => {
            durable.snapshot = Snapshot { index, term, members, data: Vec::new() };
        }
        LogItem::Ballot(ballot) => durable.ballot = ballot,
        LogItem::Entry(entry) => {
            let is_gap = entry.index > durable.last_index() + 1;
            // Earlier versions went on in a log that ends before the snapshot.
            if let Some(snapshot) = snapshot.filter(|s| is_gap && s.index + 1 == entry.index) {
                durable.compact(snapshot.clone());
            } else if is_gap || entry.index <= durable.snapshot.index {
                let (first, last) = (durable.snapshot.index + 1, durable.last_index());
                return Err(format!(
                    "entry {} doesn't follow on the entries {first} to {last}",
                    entry.index
                ));
            }
            durable.truncate_and_push(entry);
        }
        LogItem::Committed(index) => durable.commit_index = index,
    }
    Ok(())
}

/// Compacts the state read from the log to the snapshot file, which is newer if a crash came
/// between the writes of the two.
fn compact_to<C: Clone>(
    durable: &mut DurableState<C>,
    snapshot: Option<Snapshot>,
) -> Result<(), String> {
    let (base_index, base_term) = (durable.snapshot.index, durable.snapshot.term);
    match snapshot {
        Some(snapshot) if snapshot.index > base_index => durable.compact(snapshot),
        Some(snapshot) if (snapshot.index, snapshot.term) == (base_index, base_term) => {
            durable.snapshot.data = snapshot.data;
        }
        Some(snapshot) => {
            return Err(format!(
                "the log begins at index {base_index} of term {base_term}, but the snapshot file \
                 has index {} of term {}",
                snapshot.index, snapshot.term
            ));
        }
        None if base_index > 0 => {
            let reason = "the log begins at a snapshot, but the snapshot file is missing";
            return Err(reason.to_owned());
        }
        None => {}
    }
    Ok(())
}
