//! The replicated state machine, which applies committed commands.

mod changes;
mod deltas;

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use self::{changes::RecordedOutcome, deltas::RecentDeltas};
use super::{
    Assignment, AssignmentAction, AuditRecord, ChangeId, Command, EvacuationOrders, Fingerprint,
    Holder, InitialPolicy, InstanceName, InstanceState, Outcome, OwnerEpoch, Ownership, Policy,
    PolicyDelta, PolicyEdit, PresetName, RegionName, Suspect, Topology, UpstreamName, Version,
    ZoneName,
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
    recent_deltas: RecentDeltas,
}

/// Limits what a [`ControlState`] keeps. All replicas must use the same limits, apart from that of
/// the deltas, which are no part of the replicated state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ControlLimits {
    /// The maximum number of changes whose outcome is kept for resent requests.
    pub outcomes_max: usize,
    /// The maximum number of records in the audit trail.
    pub audit_max: usize,
    /// The maximum encoded length of the deltas kept for instances that are behind.
    pub deltas_max_bytes: usize,
    /// The limits of the claims.
    pub claims: ClaimLimits,
}

impl Default for ControlLimits {
    fn default() -> Self {
        Self {
            outcomes_max: 10_000,
            audit_max: 20_000,
            deltas_max_bytes: 4 * 1024 * 1024,
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
        self.policy.revision > 0
    }

    /// Returns the number of evacuation orders accepted for a zone.
    pub fn evacuation_orders(&self, zone: &str) -> EvacuationOrders {
        self.evacuation_orders.get(zone).copied().unwrap_or_default()
    }

    /// Returns the deltas after `version`, or `None` if some of them are no longer
    /// kept or the whole policy is shorter when encoded.
    pub fn deltas_after(&mut self, version: Version) -> Option<Vec<PolicyDelta>> {
        self.recent_deltas.after(version, &self.policy)
    }

    /// Returns the encoded length of the deltas that are kept.
    pub fn deltas_bytes(&self) -> usize {
        self.recent_deltas.bytes()
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
        self.recent_deltas.push(delta, limits.deltas_max_bytes);
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
