//! Chooses the owners that a request is offered to.

use std::{collections::BTreeMap, time::Duration};

use crate::core::control::{
    Holder, InstanceName, LoadReport, Policy, RegionLoad, RegionName, ServiceName, Topology,
};

/// Names an instance that owns upstreams of the wanted service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerChoice {
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
pub fn choose_owners(
    me: &Holder,
    policy: &Policy,
    topology: &Topology,
    service: &ServiceName,
    region: &RegionName,
    loads: &BTreeMap<InstanceName, LoadReport>,
    sent: &BTreeMap<InstanceName, u32>,
) -> Vec<OwnerChoice> {
    let mut choices = owners_of(policy, topology, service, region);
    let pressure = |choice: &OwnerChoice| {
        let name = &choice.holder.instance;
        let load = loads.get(name).and_then(|report| report.services.get(service));
        let load = load.copied().unwrap_or_default();
        let sent = sent.get(name).copied().unwrap_or(0);
        let pressure = pressure_permille(load, choice.slots, sent);
        // A free slot of this instance's own was tried before, so whatever
        // its last report says, there is none.
        if choice.holder == *me { pressure.max(FULL_PERMILLE) } else { pressure }
    };
    choices.sort_by_cached_key(|choice| {
        (
            choice.region != *region,
            pressure(choice),
            choice.holder != *me,
            choice.delay,
            choice.holder.clone(),
        )
    });
    choices
}

/// Rates how busy an owner is. Below 1000 it expects a free slot, and owners
/// that expect one count as equal but for the steps of a quarter.
fn pressure_permille(load: RegionLoad, slots: u32, sent: u32) -> u32 {
    let ahead = load.used_slots + load.waiting + sent;
    let permille = FULL_PERMILLE * ahead / slots.max(1);
    if permille < FULL_PERMILLE { permille / 250 * 250 } else { permille }
}

/// The pressure of an owner all of whose slots are taken.
const FULL_PERMILLE: u32 = 1000;

fn owners_of(
    policy: &Policy,
    topology: &Topology,
    service: &ServiceName,
    region: &RegionName,
) -> Vec<OwnerChoice> {
    let Some(described) = topology.services.get(service) else { return Vec::new() };
    let mut by_holder: BTreeMap<Holder, OwnerChoice> = BTreeMap::new();
    for (name, upstream) in &described.upstreams {
        let owner = policy.owners.get(name).and_then(|ownership| ownership.owner.clone());
        let Some(holder) = owner.filter(|_| !policy.drained.contains(name)) else { continue };
        let Some(owner_region) = topology.region_of_instance(&holder.instance) else { continue };
        let delay = topology
            .links
            .get(&(region.clone(), owner_region.clone()))
            .map_or(Duration::ZERO, |link| link.delay);
        let choice = by_holder.entry(holder.clone()).or_insert_with(|| OwnerChoice {
            holder,
            region: owner_region.clone(),
            slots: 0,
            delay,
        });
        choice.slots += upstream.slots;
    }
    by_holder.into_values().collect()
}
