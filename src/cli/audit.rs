//! Implements the `audit` command.

use super::{
    CommandResult,
    client::{operator_command, print_json},
};
use crate::core::control::{AuditFilter, AuditRecord};

operator_command! {
    /// Shows the accepted changes: who, when, from where, before and after.
    AuditFlags as "audit" {
        /// only changes of this operator
        #[argh(option)]
        actor: Option<String>,
        /// only changes of this kind, as in use_preset
        #[argh(option)]
        kind: Option<String>,
        /// only changes of this preset, upstream or instance
        #[argh(option)]
        subject: Option<String>,
        /// only the change with this id
        #[argh(option)]
        change_id: Option<String>,
        /// only changes after this revision
        #[argh(option)]
        after_revision: Option<u64>,
        /// at most this many, the newest ones
        #[argh(option)]
        limit: Option<usize>,
    }
}

impl AuditFlags {
    pub(super) async fn run(self) -> CommandResult {
        let filter = AuditFilter {
            actor: self.actor.clone(),
            kind: self.kind.clone(),
            subject: self.subject.clone(),
            change_id: self.change_id.clone(),
            after_revision: self.after_revision,
            limit: self.limit,
        };
        let path = format!("/v1/audit?{}", query_string(&filter));
        let records: Vec<AuditRecord> = self.client()?.get(&path).await?;
        if self.json {
            return Ok(print_json(&records)?);
        }
        for record in &records {
            println!(
                "{:6}  {}  {} from {}  {} {}  (change id {})",
                record.revision,
                record.at_unix_ms,
                record.actor,
                record.origin,
                record.kind,
                record.subject,
                record.change_id
            );
            println!("        before {}\n        after  {}", record.before, record.after);
        }
        Ok(())
    }
}

fn query_string(filter: &AuditFilter) -> String {
    let mut url = reqwest::Url::parse("http://localhost/").unwrap_or_else(|_| unreachable!());
    {
        let mut pairs = url.query_pairs_mut();
        let parameters = [
            ("actor", filter.actor.clone()),
            ("kind", filter.kind.clone()),
            ("subject", filter.subject.clone()),
            ("change_id", filter.change_id.clone()),
            ("after_revision", filter.after_revision.map(|number| number.to_string())),
            ("limit", filter.limit.map(|number| number.to_string())),
        ];
        for (name, value) in parameters {
            if let Some(value) = value {
                pairs.append_pair(name, &value);
            }
        }
    }
    url.query().unwrap_or_default().to_owned()
}
