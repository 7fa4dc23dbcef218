//! Applies operators' changes, and records their outcomes and the audit trail.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{ControlLimits, ControlState};
use crate::core::control::{
    AuditRecord, Change, ChangeId, ChangeMeta, ChangeOutcome, ChangeRequest, PolicyEdit,
    RegionName, Revision, Topology,
};

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct RecordedOutcome {
    /// The digest of the change and its expected revision.
    digest: String,
    outcome: ChangeOutcome,
}

impl ControlState {
    pub(super) fn apply_change(
        &mut self,
        request: ChangeRequest,
        topology: &Topology,
        limits: &ControlLimits,
    ) -> ChangeOutcome {
        if !self.has_initial_policy() {
            // Not recorded, so that the change can be sent again.
            let finding = "the initial policy is not set yet; send the change again".to_owned();
            return ChangeOutcome::Rejected { revision: 0, findings: vec![finding] };
        }
        let digest = digest_of(&request.change, request.meta.expected_revision);
        if let Some(recorded) = self.answers.get(&request.meta.change_id) {
            return self.resent_change_outcome(recorded, &digest);
        }
        let id = request.meta.change_id.clone();
        let outcome = self.apply_new_change(request, topology, limits);
        self.record_outcome(id, RecordedOutcome { digest, outcome: outcome.clone() }, limits);
        outcome
    }

    fn resent_change_outcome(&self, recorded: &RecordedOutcome, digest: &str) -> ChangeOutcome {
        if recorded.digest == digest {
            return recorded.outcome.clone();
        }
        let finding = "the change id was used for another change; choose a new one".to_owned();
        ChangeOutcome::Rejected { revision: self.policy.revision, findings: vec![finding] }
    }

    fn record_outcome(&mut self, id: ChangeId, recorded: RecordedOutcome, limits: &ControlLimits) {
        self.answers.insert(id.clone(), recorded);
        self.answer_order.push_back(id);
        while self.answer_order.len() > limits.outcomes_max {
            if let Some(oldest) = self.answer_order.pop_front() {
                self.answers.remove(&oldest);
            }
        }
    }

    fn apply_new_change(
        &mut self,
        request: ChangeRequest,
        topology: &Topology,
        limits: &ControlLimits,
    ) -> ChangeOutcome {
        let revision = self.policy.revision;
        let ChangeRequest { change, meta } = request;
        if meta.expected_revision != revision {
            return self.conflict(meta.expected_revision);
        }
        let findings = self.findings(&change, topology);
        if !findings.is_empty() {
            return ChangeOutcome::Rejected { revision, findings };
        }
        let before = self.audit_value(&change);
        let kind = change.kind().to_owned();
        let subject = change.subject();
        let mut edits = edits_of(change.clone());
        edits.push(PolicyEdit::Revision(revision + 1));
        self.apply_edits(edits, limits);
        let after = self.audit_value(&change);
        self.record_audit(meta, kind, subject, before, after, limits);
        ChangeOutcome::Accepted { revision: revision + 1, version: self.policy.version }
    }

    /// Returns a conflict with the accepted change that was based on the expected
    /// revision.
    fn conflict(&self, expected: Revision) -> ChangeOutcome {
        let revision = self.policy.revision;
        let winner = self.audit.iter().find(|record| record.revision == expected + 1);
        let (winner, winner_actor) = winner.map_or_else(
            || ("unknown".to_owned(), "unknown".to_owned()),
            |record| (record.change_id.clone(), record.actor.clone()),
        );
        ChangeOutcome::Conflict { revision, winner, winner_actor }
    }

    fn findings(&self, change: &Change, topology: &Topology) -> Vec<String> {
        let finding_if_unknown = |is_known: bool, what: &str, name: &str| {
            if is_known { Vec::new() } else { vec![format!("there is no {what} `{name}`")] }
        };
        match change {
            Change::PutPreset { preset, .. } => {
                let regions: Vec<RegionName> = topology.regions.keys().cloned().collect();
                preset.findings(&regions, topology.look_up_ttl)
            }
            Change::UsePreset { name } => {
                finding_if_unknown(self.policy.presets.contains_key(name), "preset", name)
            }
            Change::DrainUpstream { upstream } | Change::RestoreUpstream { upstream } => {
                finding_if_unknown(topology.upstream(upstream).is_some(), "upstream", upstream)
            }
            Change::LeaveInstance { instance } | Change::JoinInstance { instance } => {
                finding_if_unknown(
                    topology.instance_zones.contains_key(instance),
                    "instance",
                    instance,
                )
            }
            Change::PutBlocks { blocks } => blocks
                .iter()
                .flat_map(|(_, region)| {
                    finding_if_unknown(topology.regions.contains_key(region), "region", region)
                })
                .collect(),
        }
    }

    /// Returns the current value of a change's subject as JSON, for the audit
    /// trail.
    fn audit_value(&self, change: &Change) -> String {
        let policy = &self.policy;
        let value = match change {
            Change::PutPreset { name, .. } => serde_json::to_value(policy.presets.get(name)),
            Change::UsePreset { .. } => serde_json::to_value(&policy.in_force),
            Change::DrainUpstream { upstream } | Change::RestoreUpstream { upstream } => {
                serde_json::to_value(policy.drained.contains(upstream))
            }
            Change::LeaveInstance { instance } | Change::JoinInstance { instance } => {
                serde_json::to_value(policy.leaving.contains(instance))
            }
            Change::PutBlocks { blocks } => {
                let home_regions: BTreeMap<String, Option<&RegionName>> = blocks
                    .iter()
                    .take(AUDITED_BLOCKS_MAX)
                    .map(|(block, _)| (block.to_string(), policy.blocks.get(block)))
                    .collect();
                serde_json::to_value(home_regions)
            }
        };
        value.map(|value| value.to_string()).unwrap_or_default()
    }

    fn record_audit(
        &mut self,
        meta: ChangeMeta,
        kind: String,
        subject: String,
        before: String,
        after: String,
        limits: &ControlLimits,
    ) {
        self.audit.push_back(AuditRecord {
            revision: self.policy.revision,
            at_unix_ms: meta.at_unix_ms,
            actor: meta.actor,
            origin: meta.origin,
            change_id: meta.change_id,
            kind,
            subject,
            before,
            after,
        });
        while self.audit.len() > limits.audit_max {
            self.audit.pop_front();
        }
    }
}

/// The maximum number of blocks of one change whose home regions the audit trail
/// shows.
const AUDITED_BLOCKS_MAX: usize = 100;

fn edits_of(change: Change) -> Vec<PolicyEdit> {
    let edit = match change {
        Change::PutPreset { name, preset } => PolicyEdit::Preset(name, preset),
        Change::UsePreset { name } => PolicyEdit::InForce(name),
        Change::DrainUpstream { upstream } => PolicyEdit::Drained(upstream, true),
        Change::RestoreUpstream { upstream } => PolicyEdit::Drained(upstream, false),
        Change::LeaveInstance { instance } => PolicyEdit::Leaving(instance, true),
        Change::JoinInstance { instance } => PolicyEdit::Leaving(instance, false),
        Change::PutBlocks { blocks } => PolicyEdit::Blocks(blocks),
    };
    vec![edit]
}

fn digest_of(change: &Change, expected_revision: Revision) -> String {
    let encoded = serde_json::to_vec(&(change, expected_revision)).unwrap_or_default();
    Sha256::digest(&encoded).iter().take(16).map(|byte| format!("{byte:02x}")).collect()
}
