//! The order in which a request is offered to the owners of upstreams.

use std::{collections::BTreeMap, time::Duration};

use crate::core::control::{
    Holder, InstanceName, LoadReport, Policy, RegionName, ServiceName, SlotLoad, Topology,
};

/// Represents an owner of upstreams of the requested service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerCandidate {
    /// The owner.
    pub holder: Holder,
    /// The region that the owner is in.
    pub region: RegionName,
    /// The number of slots of its upstreams.
    pub slots: u32,
    /// The one-way delay to it.
    pub delay: Duration,
}

/// Returns the owners of a service's upstreams in the order in which a request
/// is offered to them.
///
/// Owners in `region` come first. Within a region, they are ordered by the
/// expected wait: the number of requests per owned slot. The requests are the running
/// and waiting ones of the last load report, which may be outdated, plus those that
/// this instance has forwarded to the owner and whose response has not begun
/// (`forwarded`). On a tie, this instance (`local_id`) comes first. The owner
/// itself decides whether a slot is free, so a wrong order costs an additional hop but
/// never overloads an upstream.
pub fn rank_owners(
    local_id: &Holder,
    policy: &Policy,
    topology: &Topology,
    service: &ServiceName,
    region: &RegionName,
    loads: &BTreeMap<InstanceName, LoadReport>,
    forwarded: &BTreeMap<InstanceName, u32>,
) -> Vec<OwnerCandidate> {
    let mut candidates = owners_of(policy, topology, service, region);
    let expected_load = |candidate: &OwnerCandidate| {
        let name = &candidate.holder.instance;
        let load = loads.get(name).and_then(|report| report.services.get(service));
        let load = load.copied().unwrap_or_default();
        let forwarded = forwarded.get(name).copied().unwrap_or(0);
        let owner_load = load_permille(load, candidate.slots, forwarded);
        // This instance has already tried its own slots, so none is free,
        // even if its last report says otherwise.
        if candidate.holder == *local_id { owner_load.max(FULL_LOAD_PERMILLE) } else { owner_load }
    };
    candidates.sort_by_cached_key(|candidate| {
        (
            candidate.region != *region,
            expected_load(candidate),
            candidate.holder != *local_id,
            candidate.delay,
            candidate.holder.clone(),
        )
    });
    candidates
}

/// Returns the expected load of an owner, in permille of its slots. Below 1000 a
/// free slot is expected; such loads are rounded down to quarters, so that
/// owners with a similar load count as equal.
fn load_permille(load: SlotLoad, slots: u32, forwarded: u32) -> u32 {
    let requests = load.used_slots + load.waiting + forwarded;
    let permille = FULL_LOAD_PERMILLE * requests / slots.max(1);
    if permille < FULL_LOAD_PERMILLE { permille / 250 * 250 } else { permille }
}

/// The load of an owner whose slots are all in use.
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
