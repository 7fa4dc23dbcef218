//! Keeps the audit trail of operators' changes.

use serde::{Deserialize, Serialize};

use super::{ChangeId, Revision};

/// Records one accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRecord {
    /// The revision that the change made.
    pub revision: Revision,
    /// When the request arrived, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// Who asked.
    pub actor: String,
    /// The address that the request came from.
    pub origin: String,
    /// The change's id.
    pub change_id: ChangeId,
    /// The change's kind.
    pub kind: String,
    /// What the change is about.
    pub subject: String,
    /// What stood before, as JSON.
    pub before: String,
    /// What stands since, as JSON.
    pub after: String,
}

/// Selects records of the audit trail. An empty filter selects all.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct AuditFilter {
    /// Only changes of this operator.
    pub actor: Option<String>,
    /// Only changes of this kind.
    pub kind: Option<String>,
    /// Only changes of this subject.
    pub subject: Option<String>,
    /// Only the change with this id.
    pub change_id: Option<ChangeId>,
    /// Only changes after this revision.
    pub after_revision: Option<Revision>,
    /// At most this many, the newest ones.
    pub limit: Option<usize>,
}

impl AuditFilter {
    /// Returns the selected records, the oldest first.
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
        let same = |wanted: &Option<String>, held: &String| {
            wanted.as_ref().is_none_or(|wanted| wanted == held)
        };
        same(&self.actor, &record.actor)
            && same(&self.kind, &record.kind)
            && same(&self.subject, &record.subject)
            && same(&self.change_id, &record.change_id)
            && self.after_revision.is_none_or(|revision| record.revision > revision)
    }
}
