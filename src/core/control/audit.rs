//! Records and filters of the audit trail of operators' changes.

use serde::{Deserialize, Serialize};

use super::{ChangeId, Revision};

/// Represents one accepted change in the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRecord {
    /// The revision that the change produced.
    pub revision: Revision,
    /// When the request arrived, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// The operator who made the change.
    pub actor: String,
    /// The address that the request came from.
    pub origin: String,
    /// The change's id.
    pub change_id: ChangeId,
    /// The kind of change, as [`Change::kind`](super::Change::kind) returns it.
    pub kind: String,
    /// The preset, upstream or instance that changed, or the number of blocks.
    pub subject: String,
    /// The subject's value before the change, as JSON.
    pub before: String,
    /// The subject's value after the change, as JSON.
    pub after: String,
}

/// Selects records of the audit trail. The default filter selects all.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct AuditFilter {
    /// Selects only changes made by this operator.
    pub actor: Option<String>,
    /// Selects only changes of this kind.
    pub kind: Option<String>,
    /// Selects only changes of this subject.
    pub subject: Option<String>,
    /// Selects only the change with this id.
    pub change_id: Option<ChangeId>,
    /// Selects only changes after this revision.
    pub after_revision: Option<Revision>,
    /// Selects at most this many records, the newest ones.
    pub limit: Option<usize>,
}

impl AuditFilter {
    /// Returns the selected records, the oldest first. `records` must be in the
    /// same order.
    pub fn select<'a>(
        &self,
        records: impl DoubleEndedIterator<Item = &'a AuditRecord>,
    ) -> Vec<AuditRecord> {
        let limit = self.limit.unwrap_or(usize::MAX);
        let matching = records.rev().filter(|record| self.matches(record));
        let mut selected: Vec<AuditRecord> = matching.take(limit).cloned().collect();
        selected.reverse();
        selected
    }

    fn matches(&self, record: &AuditRecord) -> bool {
        let is_match = |expected: &Option<String>, actual: &String| {
            expected.as_ref().is_none_or(|expected| expected == actual)
        };
        is_match(&self.actor, &record.actor)
            && is_match(&self.kind, &record.kind)
            && is_match(&self.subject, &record.subject)
            && is_match(&self.change_id, &record.change_id)
            && self.after_revision.is_none_or(|revision| record.revision > revision)
    }
}
