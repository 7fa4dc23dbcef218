//! The replicated state machine, which applies committed commands.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{
    Assignment, AssignmentAction, AuditRecord, Change, ChangeId, ChangeMeta, ChangeOutcome,
    ChangeRequest, Command, EvacuationOrders, Fingerprint, Holder, InitialPolicy, InstanceName,
    InstanceState, Outcome, OwnerEpoch, Ownership, Policy, PolicyDelta, PolicyEdit, PresetName,
    RegionName, Revision, Suspect, Topology, UpstreamName, Version, ZoneName,
};
use crate::core::{
    claims::{ClaimLimits, ClaimTable},
    routing::RoutingTable,
    steering::Layout,
};

/// Holds the replicated control state.
///
/// Replicas that apply the same commands hold the same state. Therefore nothing
/// here reads a clock, a setting that may differ between replicas, or a random
/// number.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ControlState {
    policy: Policy,
    claims: ClaimTable,
    /// The outcomes of the latest changes, which are returned again when a request is
    /// resent.
    answers: BTreeMap<ChangeId, RecordedOutcome>,
    /// The keys of `answers`, the oldest first.
    answer_order: VecDeque<ChangeId>,
    audit: VecDeque<AuditRecord>,
    /// The number of accepted evacuation orders of each zone.
    #[serde(default)]
    evacuation_orders: BTreeMap<ZoneName, EvacuationOrders>,
    /// The newest deltas, for instances whose policy is a few versions old.
    #[serde(skip)]
    recent_deltas: VecDeque<PolicyDelta>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct RecordedOutcome {
    /// The digest of the change and its expected revision.
    digest: String,
    outcome: ChangeOutcome,
}

/// Limits what a [`ControlState`] keeps. All replicas must use the same limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ControlLimits {
    /// The maximum number of changes whose outcome is kept for resent requests.
    pub outcomes_max: usize,
    /// The maximum number of records in the audit trail.
    pub audit_max: usize,
    /// The maximum number of deltas kept for instances that are behind.
    pub deltas_max: usize,
    /// The limits of the claims.
    pub claims: ClaimLimits,
}

impl Default for ControlLimits {
    fn default() -> Self {
        Self {
            outcomes_max: 10_000,
            audit_max: 20_000,
            deltas_max: 2_000,
            claims: ClaimLimits { epochs_kept: 3, claims_max: 200_000 },
        }
    }
}

impl ControlState {
    /// Creates the state of a deployment that has no policy yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the policy that every instance applies.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Returns the claims.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Iterates over the audit trail, the oldest record first.
    pub fn audit(&self) -> impl DoubleEndedIterator<Item = &AuditRecord> {
        self.audit.iter()
    }

    /// Returns whether the deployment has its initial policy.
    pub fn has_initial_policy(&self) -> bool {
        self.policy.version > 0
    }

    /// Returns the number of evacuation orders accepted for a zone.
    pub fn evacuation_orders(&self, zone: &str) -> EvacuationOrders {
        self.evacuation_orders.get(zone).copied().unwrap_or_default()
    }

    /// Returns the deltas after `version`, or `None` if some of them are no longer
    /// kept.
    pub fn deltas_after(&self, version: Version) -> Option<Vec<PolicyDelta>> {
        if version == self.policy.version {
            return Some(Vec::new());
        }
        let oldest = self.recent_deltas.front()?.version;
        if version + 1 < oldest || version > self.policy.version {
            return None;
        }
        Some(self.recent_deltas.iter().filter(|delta| delta.version > version).cloned().collect())
    }

    /// Applies one committed command.
    pub fn apply(
        &mut self,
        command: Command,
        topology: &Topology,
        limits: &ControlLimits,
    ) -> Outcome {
        match command {
            Command::Seed(initial) => self.set_initial_policy(initial, limits),
            Command::Change(request) => {
                return Outcome::Change(self.apply_change(request, topology, limits));
            }
            Command::Instances(states) => self.set_instances(states, limits),
            Command::Assign(assignments) => self.assign(assignments, limits),
            Command::Release { upstream, epoch } => self.release(upstream, epoch, limits),
            Command::Shift { step, in_force, rows } => {
                self.apply_shift(step, &in_force, rows, limits)
            }
            Command::Suspect { fingerprint, upstream, at_unix_ms } => {
                self.record_suspect(fingerprint, upstream, at_unix_ms, limits);
                return Outcome::Suspected { version: self.policy.version };
            }
            Command::ForgetSuspects { before_unix_ms } => {
                self.forget_suspects(before_unix_ms, limits)
            }
            Command::Routing(table) => {
                self.set_routing(&table, limits);
                return Outcome::Routing { version: self.policy.routing.version };
            }
            Command::Place(change) => self.apply_edits(vec![PolicyEdit::Placed(change)], limits),
            Command::Evacuate { zone, evacuated, expected_orders } => {
                return self.set_evacuated(zone, evacuated, expected_orders, limits);
            }
            Command::Claim(command) => {
                let outcome = self.claims.apply(command, &limits.claims);
                self.update_claim_epoch(limits);
                return Outcome::Claim(outcome);
            }
        }
        Outcome::Done
    }

    /// Applies the edits as one version of the policy.
    fn apply_edits(&mut self, edits: Vec<PolicyEdit>, limits: &ControlLimits) {
        if edits.is_empty() {
            return;
        }
        let delta = PolicyDelta { version: self.policy.version + 1, edits };
        self.policy.apply_delta(&delta);
        self.recent_deltas.push_back(delta);
        while self.recent_deltas.len() > limits.deltas_max {
            self.recent_deltas.pop_front();
        }
    }

    fn set_initial_policy(&mut self, initial: InitialPolicy, limits: &ControlLimits) {
        if self.has_initial_policy() {
            return;
        }
        let initial_preset = initial.presets.iter().find(|(name, _)| *name == initial.in_force);
        let layouts: Vec<PolicyEdit> = initial_preset
            .iter()
            .flat_map(|(_, preset)| &preset.shares)
            .map(|(home, row)| PolicyEdit::Layout(home.clone(), Layout::new(row)))
            .collect();
        let mut edits: Vec<PolicyEdit> =
            initial.presets.into_iter().map(|(name, p)| PolicyEdit::Preset(name, p)).collect();
        edits.extend(layouts);
        edits.push(PolicyEdit::InForce(initial.in_force));
        edits.push(PolicyEdit::Blocks(initial.blocks));
        edits.push(PolicyEdit::Revision(1));
        self.apply_edits(edits, limits);
    }

    fn apply_change(
        &mut self,
        request: ChangeRequest,
        topology: &Topology,
        limits: &ControlLimits,
    ) -> ChangeOutcome {
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

    fn set_instances(
        &mut self,
        states: Vec<(InstanceName, InstanceState)>,
        limits: &ControlLimits,
    ) {
        let edits = states
            .into_iter()
            .filter(|(name, state)| self.policy.instances.get(name) != Some(state))
            .map(|(name, state)| PolicyEdit::Instance(name, state))
            .collect();
        self.apply_edits(edits, limits);
    }

    fn assign(&mut self, assignments: Vec<Assignment>, limits: &ControlLimits) {
        let edits = assignments.into_iter().filter_map(|a| self.assignment_edit(a)).collect();
        self.apply_edits(edits, limits);
    }

    fn assignment_edit(&self, assignment: Assignment) -> Option<PolicyEdit> {
        let ownership = self.policy.owners.get(&assignment.upstream);
        if ownership.map_or(0, |ownership| ownership.epoch) != assignment.expected_epoch {
            return None;
        }
        let new_ownership = match assignment.action {
            AssignmentAction::Give(owner) => {
                let unsettled = ownership.is_some_and(|o| o.owner.is_some() || o.unsettled);
                let epoch = assignment.expected_epoch + 1;
                Ownership { owner: Some(owner), epoch, unsettled, handover: None }
            }
            AssignmentAction::HandOver(next) => {
                Ownership { handover: Some(next), ..ownership?.clone() }
            }
        };
        Some(PolicyEdit::Owner(assignment.upstream, new_ownership))
    }

    fn release(&mut self, upstream: UpstreamName, epoch: OwnerEpoch, limits: &ControlLimits) {
        let current = self.policy.owners.get(&upstream).filter(|o| o.epoch == epoch);
        let Some(current) = current else { return };
        let owner: Option<Holder> = current.handover.clone();
        let released = Ownership { owner, epoch: epoch + 1, unsettled: false, handover: None };
        self.apply_edits(vec![PolicyEdit::Owner(upstream, released)], limits);
    }

    fn apply_shift(
        &mut self,
        step: u64,
        in_force: &PresetName,
        rows: BTreeMap<RegionName, Layout>,
        limits: &ControlLimits,
    ) {
        let policy = &self.policy;
        let Some(rule) = policy.preset_in_force().map(|preset| preset.shift) else { return };
        let is_within_cap = rows.iter().all(|(home, row)| {
            let current = policy.layouts.get(home);
            current.is_some_and(|current| current.distance(row) <= rule.cap_permille)
        });
        if step != policy.shift_step + 1 || policy.in_force != *in_force || !is_within_cap {
            return;
        }
        let mut edits: Vec<PolicyEdit> =
            rows.into_iter().map(|(home, row)| PolicyEdit::Layout(home, row)).collect();
        edits.push(PolicyEdit::ShiftStep(step));
        self.apply_edits(edits, limits);
    }

    fn record_suspect(
        &mut self,
        fingerprint: Fingerprint,
        upstream: UpstreamName,
        at_unix_ms: u64,
        limits: &ControlLimits,
    ) {
        let existing = self.policy.suspects.get(&fingerprint).cloned();
        let mut suspect =
            existing.unwrap_or_else(|| Suspect { crashed: Default::default(), at_unix_ms });
        suspect.crashed.insert(upstream);
        suspect.at_unix_ms = suspect.at_unix_ms.max(at_unix_ms);
        self.apply_edits(vec![PolicyEdit::Suspect(fingerprint, Some(suspect))], limits);
    }

    fn forget_suspects(&mut self, before_unix_ms: u64, limits: &ControlLimits) {
        let expired = self.policy.suspects.iter().filter(|(_, s)| s.at_unix_ms < before_unix_ms);
        let edits = expired.map(|(name, _)| PolicyEdit::Suspect(name.clone(), None)).collect();
        self.apply_edits(edits, limits);
    }

    fn set_routing(&mut self, table: &RoutingTable, limits: &ControlLimits) {
        let current = &self.policy.routing;
        if table.version <= current.version {
            return;
        }
        let delta = current.delta_to(table);
        self.apply_edits(vec![PolicyEdit::Routing(delta)], limits);
    }

    fn set_evacuated(
        &mut self,
        zone: ZoneName,
        evacuated: bool,
        expected_orders: Option<EvacuationOrders>,
        limits: &ControlLimits,
    ) -> Outcome {
        let orders = self.evacuation_orders(&zone);
        let is_in_force = self.policy.evacuated.contains(&zone) == evacuated;
        if !is_in_force && expected_orders.is_some_and(|expected| expected != orders) {
            return Outcome::Evacuation { accepted: false, orders };
        }
        // Also counted if nothing changes, so that a delayed contrary order is recognized.
        self.evacuation_orders.insert(zone.clone(), orders + 1);
        if !is_in_force {
            self.apply_edits(vec![PolicyEdit::Evacuated(zone, evacuated)], limits);
        }
        Outcome::Evacuation { accepted: true, orders: orders + 1 }
    }

    fn update_claim_epoch(&mut self, limits: &ControlLimits) {
        let epoch = self.claims.epoch();
        if epoch != self.policy.claim_epoch {
            self.apply_edits(vec![PolicyEdit::ClaimEpoch(epoch)], limits);
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
