//! Chooses the owners that a request is offered to.

use std::{collections::BTreeMap, time::Duration};

use crate::core::control::{
    Holder, InstanceName, LoadReport, Policy, RegionName, ServiceName, SlotLoad, Topology,
};

/// Names an instance that owns upstreams of the wanted service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerCandidate {
    /// The owner.
    pub holder: Holder,
    /// The region that the owner is in.
    pub region: RegionName,
    /// The slots that it owns.
    pub slots: u32,
    /// The delay one way to it.
    pub delay: Duration,
}

/// Lists the owners of a service's upstreams in the order in which a request
/// is offered to them.
///
/// The order goes by the expected wait: requests ahead for each owned slot,
/// by the last report, which may be old, plus what this instance sent there
/// since (`sent`). Only the owner's own count decides whether a slot is free;
/// a wrong order costs a hop, never a slot. Owners in the wanted region come
/// first, and of equals this instance itself.
pub fn rank_owners(
    local_id: &Holder,
    policy: &Policy,
    topology: &Topology,
    service: &ServiceName,
    region: &RegionName,
    loads: &BTreeMap<InstanceName, LoadReport>,
    sent: &BTreeMap<InstanceName, u32>,
) -> Vec<OwnerCandidate> {
    let mut candidates = owners_of(policy, topology, service, region);
    let owner_load = |candidate: &OwnerCandidate| {
        let name = &candidate.holder.instance;
        let load = loads.get(name).and_then(|report| report.services.get(service));
        let load = load.copied().unwrap_or_default();
        let sent = sent.get(name).copied().unwrap_or(0);
        let owner_load = load_permille(load, candidate.slots, sent);
        // A free slot of this instance's own was tried before, so whatever
        // its last report says, there is none.
        if candidate.holder == *local_id { owner_load.max(FULL_LOAD_PERMILLE) } else { owner_load }
    };
    candidates.sort_by_cached_key(|candidate| {
        (
            candidate.region != *region,
            owner_load(candidate),
            candidate.holder != *local_id,
            candidate.delay,
            candidate.holder.clone(),
        )
    });
    candidates
}

/// Rates how busy an owner is. Below 1000 it expects a free slot, and owners
/// that expect one count as equal but for the steps of a quarter.
fn load_permille(load: SlotLoad, slots: u32, sent: u32) -> u32 {
    let ahead = load.used_slots + load.waiting + sent;
    let permille = FULL_LOAD_PERMILLE * ahead / slots.max(1);
    if permille < FULL_LOAD_PERMILLE { permille / 250 * 250 } else { permille }
}

/// The load of an owner all of whose slots are taken.
const FULL_LOAD_PERMILLE: u32 = 1000;

fn owners_of(
    policy: &Policy,
    topology: &Topology,
    service: &ServiceName,
    region: &RegionName,
) -> Vec<OwnerCandidate> {
    let Some(definition) = topology.services.get(service) else { return Vec::new() };
    let mut by_holder: BTreeMap<Holder, OwnerCandidate> = BTreeMap::new();
    for (name, upstream) in &definition.upstreams {
        let owner = policy.owners.get(name).and_then(|ownership| ownership.owner.clone());
        let Some(holder) = owner.filter(|_| !policy.drained.contains(name)) else { continue };
        let Some(owner_region) = topology.region_of_instance(&holder.instance) else { continue };
        let delay = topology
            .links
            .get(&(region.clone(), owner_region.clone()))
            .map_or(Duration::ZERO, |link| link.delay);
        let candidate = by_holder.entry(holder.clone()).or_insert_with(|| OwnerCandidate {
            holder,
            region: owner_region.clone(),
            slots: 0,
            delay,
        });
        candidate.slots += upstream.slots;
    }
    by_holder.into_values().collect()
}
