//! Plans the commands that the leader initiates itself.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Assignment, AssignmentAction, Command, ControlState, Holder, InstanceName, InstanceState,
    Ownership, RegionName, Sessions, Topology, Upstream, UpstreamName,
};
use crate::core::{
    claims::ClaimCommand,
    steering::{ShiftInputs, next_shift_step, reachable_shares},
};

/// The inputs of [`plan()`].
#[derive(Clone, Copy, Debug)]
pub struct PlanInputs<'a> {
    /// The control state after the commands applied so far.
    pub state: &'a ControlState,
    /// The configured deployment.
    pub topology: &'a Topology,
    /// The instances' leases and reports.
    pub sessions: &'a Sessions,
    /// The current time, measured from the driver's origin.
    pub now: Duration,
    /// The current time in milliseconds since 1970.
    pub unix_ms: u64,
    /// When this leader last committed a step of a shift, or became leader.
    pub last_shift_at: Duration,
}

/// Returns the commands that the leader should propose now.
///
/// The commands are checked again when they are applied, so a plan made from
/// an outdated state is safe.
pub fn plan(inputs: &PlanInputs<'_>) -> Vec<Command> {
    let mut commands = Vec::new();
    commands.extend(plan_instances(inputs));
    commands.extend(plan_owners(inputs));
    commands.extend(plan_shift(inputs));
    commands.extend(plan_claim_epoch(inputs));
    commands.extend(plan_suspect_removal(inputs));
    commands
}

fn plan_instances(inputs: &PlanInputs<'_>) -> Option<Command> {
    let policy = inputs.state.policy();
    let mut newest_sessions: BTreeMap<&InstanceName, (Duration, InstanceState)> = BTreeMap::new();
    for (holder, session) in inputs.sessions.live(inputs.now) {
        let incarnation = holder.incarnation;
        let state = if session.stopping {
            InstanceState::Stopping { incarnation }
        } else {
            InstanceState::Live { incarnation }
        };
        let newest_grant = newest_sessions.get(&holder.instance).map(|(granted_at, _)| *granted_at);
        if newest_grant.is_none_or(|granted_at| session.granted_at > granted_at) {
            newest_sessions.insert(&holder.instance, (session.granted_at, state));
        }
    }
    let mut state_changes: Vec<(InstanceName, InstanceState)> = newest_sessions
        .iter()
        .filter(|(name, (_, state))| policy.instances.get(**name) != Some(state))
        .map(|(name, (_, state))| ((*name).clone(), state.clone()))
        .collect();
    if inputs.sessions.earlier_leases_expired(inputs.now) {
        let expired = policy.instances.iter().filter(|(name, state)| {
            **state != InstanceState::Down && !newest_sessions.contains_key(*name)
        });
        state_changes.extend(expired.map(|(name, _)| (name.clone(), InstanceState::Down)));
    }
    (!state_changes.is_empty()).then_some(Command::Instances(state_changes))
}

/// The number of upstreams of one service that each candidate owns or is about
/// to own.
type OwnedCounts<'a> = BTreeMap<&'a Holder, usize>;

fn plan_owners(inputs: &PlanInputs<'_>) -> Option<Command> {
    let mut assignments = Vec::new();
    for service in inputs.topology.services.values() {
        for region in inputs.topology.regions.keys() {
            let upstreams: BTreeMap<&UpstreamName, &Upstream> = service
                .upstreams
                .iter()
                .filter(|(_, u)| inputs.topology.region_of_zone(&u.zone) == Some(region))
                .collect();
            assignments.extend(plan_region_owners(inputs, region, &upstreams));
        }
    }
    (!assignments.is_empty()).then_some(Command::Assign(assignments))
}

/// Plans the owners of a service's upstreams in one region.
fn plan_region_owners(
    inputs: &PlanInputs<'_>,
    region: &RegionName,
    upstreams: &BTreeMap<&UpstreamName, &Upstream>,
) -> Vec<Assignment> {
    let policy = inputs.state.policy();
    let candidates = candidates(inputs, region);
    let mut counts: OwnedCounts<'_> = candidates.iter().map(|holder| (*holder, 0)).collect();
    for name in upstreams.keys() {
        let ownership = policy.owners.get(*name);
        let next_owner = ownership.and_then(|o| o.handover.as_ref().or(o.owner.as_ref()));
        if let Some(count) = next_owner.and_then(|holder| counts.get_mut(holder)) {
            *count += 1;
        }
    }
    let mut assignments = Vec::new();
    for (name, upstream) in upstreams {
        let ownership = policy.owners.get(*name);
        let Some(action) = needed_action(inputs, ownership, &candidates) else { continue };
        let Some(target) = least_loaded(inputs, &counts, upstream) else { continue };
        let target = target.clone();
        if let Some((_, count)) = counts.iter_mut().find(|(holder, _)| ***holder == target) {
            *count += 1;
        }
        assignments.push(assignment(name, ownership, action(target)));
    }
    if assignments.is_empty() {
        assignments.extend(rebalance(inputs, upstreams, &counts));
    }
    assignments
}

type ActionConstructor = fn(Holder) -> AssignmentAction;

/// Returns the change of ownership that an upstream needs, if any: a new owner if
/// it has none or the owner's lease has expired, or a handover if the owner, or the
/// process that it hands over to, is no longer a candidate.
fn needed_action(
    inputs: &PlanInputs<'_>,
    ownership: Option<&Ownership>,
    candidates: &[&Holder],
) -> Option<ActionConstructor> {
    let owner = ownership.and_then(|ownership| ownership.owner.as_ref());
    let Some(owner) = owner else { return Some(AssignmentAction::Give) };
    if inputs.sessions.is_expired(owner, inputs.now) {
        return Some(AssignmentAction::Give);
    }
    if candidates.contains(&owner) {
        // If the next owner is no longer available, another one is chosen.
        let next_owner = ownership.and_then(|ownership| ownership.handover.as_ref());
        let is_unavailable = next_owner.is_some_and(|next_owner| !candidates.contains(&next_owner));
        return is_unavailable.then_some(AssignmentAction::HandOver);
    }
    let next_owner = ownership.and_then(|ownership| ownership.handover.as_ref());
    let is_handing_over = next_owner.is_some_and(|next_owner| candidates.contains(&next_owner));
    (!is_handing_over).then_some(AssignmentAction::HandOver)
}

/// Returns the processes in a region that may own upstreams.
fn candidates<'a>(inputs: &PlanInputs<'a>, region: &RegionName) -> Vec<&'a Holder> {
    let policy = inputs.state.policy();
    let is_eligible = |holder: &Holder| {
        let live_state = InstanceState::Live { incarnation: holder.incarnation };
        policy.instances.get(&holder.instance) == Some(&live_state)
            && !policy.leaving.contains(&holder.instance)
            && inputs.topology.region_of_instance(&holder.instance) == Some(region)
    };
    inputs
        .sessions
        .live(inputs.now)
        .filter(|(holder, session)| !session.stopping && is_eligible(holder))
        .map(|(holder, _)| holder)
        .collect()
}

/// Returns the candidate with the fewest upstreams among those in the
/// upstream's availability zone, or among all when there is none in that zone.
///
/// A slot is occupied while a request and its response are in transit, so an
/// owner in another availability zone costs slot time on every request.
fn least_loaded<'a>(
    inputs: &PlanInputs<'_>,
    counts: &OwnedCounts<'a>,
    upstream: &Upstream,
) -> Option<&'a Holder> {
    let is_remote = |holder: &Holder| is_in_other_zone(inputs, holder, upstream);
    counts
        .iter()
        .min_by_key(|(holder, count)| (is_remote(holder), **count))
        .map(|(holder, _)| *holder)
}

fn is_in_other_zone(inputs: &PlanInputs<'_>, holder: &Holder, upstream: &Upstream) -> bool {
    inputs.topology.instance_zones.get(&holder.instance) != Some(&upstream.zone)
}

fn assignment(
    name: &UpstreamName,
    ownership: Option<&Ownership>,
    action: AssignmentAction,
) -> Assignment {
    let expected_epoch = ownership.map_or(0, |ownership| ownership.epoch);
    Assignment { upstream: name.clone(), expected_epoch, action }
}

/// Moves at most one upstream to a better owner: one in its availability zone if the
/// current owner is in another zone, or otherwise one at the same distance that owns at
/// least two upstreams fewer.
fn rebalance(
    inputs: &PlanInputs<'_>,
    upstreams: &BTreeMap<&UpstreamName, &Upstream>,
    counts: &OwnedCounts<'_>,
) -> Option<Assignment> {
    let policy = inputs.state.policy();
    upstreams.iter().find_map(|(name, upstream)| {
        let ownership = policy.owners.get(*name).filter(|o| o.handover.is_none())?;
        let owner = ownership.owner.as_ref()?;
        let owned = *counts.get(owner)?;
        let (best, fewest) = counts
            .iter()
            .min_by_key(|(holder, count)| (is_in_other_zone(inputs, holder, upstream), **count))?;
        let (is_remote, best_is_remote) =
            (is_in_other_zone(inputs, owner, upstream), is_in_other_zone(inputs, best, upstream));
        let is_better =
            (is_remote && !best_is_remote) || (best_is_remote == is_remote && owned >= *fewest + 2);
        let action = AssignmentAction::HandOver((*best).clone());
        is_better.then(|| assignment(name, Some(ownership), action))
    })
}

fn plan_shift(inputs: &PlanInputs<'_>) -> Option<Command> {
    let policy = inputs.state.policy();
    let preset = policy.preset_in_force()?;
    let leases_expired = inputs.sessions.earlier_leases_expired(inputs.now);
    if !leases_expired || inputs.now < inputs.last_shift_at + preset.shift.interval() {
        return None;
    }
    let region_of = |name: &InstanceName| inputs.topology.region_of_instance(name).cloned();
    let instances = policy.instances.keys().filter(|name| policy.is_available(name));
    let available_regions: BTreeSet<RegionName> = instances.filter_map(region_of).collect();
    let target = reachable_shares(&preset.shares, &available_regions);
    let is_reached = |(home, row): (&RegionName, &BTreeMap<RegionName, u32>)| {
        policy.layouts.get(home).is_some_and(|layout| layout.shares() == nonzero_shares(row))
    };
    if target.iter().all(is_reached) {
        return None;
    }
    let mut block_counts: BTreeMap<RegionName, u32> = BTreeMap::new();
    for home in policy.blocks.values() {
        *block_counts.entry(home.clone()).or_insert(0) += 1;
    }
    let rows = next_shift_step(&ShiftInputs {
        layouts: &policy.layouts,
        target: &target,
        rule: preset.shift,
        region_loads: &inputs.sessions.region_loads(inputs.now, region_of),
        slot_counts: &inputs.topology.slots_by_region(),
        block_counts: &block_counts,
    });
    let step = policy.shift_step + 1;
    let in_force = policy.in_force.clone();
    (!rows.is_empty()).then_some(Command::Shift { step, in_force, rows })
}

fn nonzero_shares(row: &BTreeMap<RegionName, u32>) -> BTreeMap<RegionName, u32> {
    let nonzero = row.iter().filter(|(_, share)| **share > 0);
    nonzero.map(|(region, share)| (region.clone(), *share)).collect()
}

fn plan_claim_epoch(inputs: &PlanInputs<'_>) -> Option<Command> {
    // A duration of zero disables epochs and thereby claims.
    if inputs.topology.claim_epoch_duration.is_zero() {
        return None;
    }
    let claims = inputs.state.claims();
    let due_unix_ms =
        claims.epoch_began_unix_ms() + inputs.topology.claim_epoch_duration.as_millis() as u64;
    let begin_epoch =
        ClaimCommand::BeginEpoch { epoch: claims.epoch() + 1, at_unix_ms: inputs.unix_ms };
    (claims.epoch() == 0 || inputs.unix_ms >= due_unix_ms).then_some(Command::Claim(begin_epoch))
}

fn plan_suspect_removal(inputs: &PlanInputs<'_>) -> Option<Command> {
    let retention_ms = inputs.topology.suspect_retention.as_millis() as u64;
    let before_unix_ms = inputs.unix_ms.saturating_sub(retention_ms);
    let policy = inputs.state.policy();
    let any_expired = policy.suspects.values().any(|suspect| suspect.at_unix_ms < before_unix_ms);
    any_expired.then_some(Command::ForgetSuspects { before_unix_ms })
}
