//! Checks the rules that concern several parts of a settings file.

use std::{collections::BTreeMap, net::SocketAddr};

use jsonc_parser::{ast::Value, common::Ranged};

use super::{InstanceSettings, Timing, reader::Reader};
use crate::core::control::Topology;

/// Reports violations of the rules that concern several parts of a settings file.
pub(super) fn check_settings(
    reader: &Reader<'_, '_>,
    topology: &Topology,
    instances: &BTreeMap<String, InstanceSettings>,
    timing: Timing,
) {
    check_replicas(reader, instances);
    check_addresses(reader);
    check_regions(reader, topology);
    check_timing(reader, timing);
}

fn check_replicas(reader: &Reader<'_, '_>, instances: &BTreeMap<String, InstanceSettings>) {
    let replicas = instances.values().filter(|instance| instance.data_folder.is_some()).count();
    if !matches!(replicas, 1 | 3 | 5) {
        let text = format!(
            "{replicas} instances have a `data_folder`; give one to 3 or 5 (or 1 for a trial)"
        );
        reader.add_finding("instances", text);
    }
}

/// Reports addresses that two listeners or upstreams share.
fn check_addresses(reader: &Reader<'_, '_>) {
    let mut used_addresses: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    let mut addresses: Vec<(&Value<'_>, &str)> = Vec::new();
    for instance in reader.optional_list("instances") {
        for member in ["callers", "operators", "cluster", "forward"] {
            addresses.extend(member_of(instance, member).map(|value| (value, member)));
        }
    }
    for service in reader.optional_list("services") {
        let upstreams = member_of(service, "upstreams").and_then(Value::as_array);
        for upstream in upstreams.map_or(&[][..], |list| &list.elements) {
            addresses.extend(member_of(upstream, "address").map(|value| (value, "address")));
        }
    }
    for (value, member) in addresses {
        let address = value.as_string_lit().and_then(|literal| literal.value.parse().ok());
        let Some(address) = address else { continue };
        if used_addresses.insert(address, value.start()).is_some() {
            let text = format!("`{member}` {address} is in use above; give another address");
            reader.findings().borrow_mut().add(value.start(), text);
        }
    }
}

fn member_of<'a, 'b>(value: &'b Value<'a>, name: &str) -> Option<&'b Value<'a>> {
    value.as_object().and_then(|object| object.get(name)).map(|prop| &prop.value)
}

fn check_regions(reader: &Reader<'_, '_>, topology: &Topology) {
    for region in topology.regions.keys() {
        if topology.instances_in(region) == 0 {
            let text = format!("region `{region}` has no instance; add one or remove the region");
            reader.add_finding("regions", text);
        }
        for other in topology.regions.keys().filter(|other| *other != region) {
            if !topology.links.contains_key(&(region.clone(), other.clone())) {
                let text = format!("there is no link from `{region}` to `{other}`; describe it");
                reader.add_finding("links", text);
            }
        }
    }
}

fn check_timing(reader: &Reader<'_, '_>, timing: Timing) {
    if timing.heartbeat * 3 > timing.election {
        let text = "`heartbeat_ms` must be at most a third of `election_ms`";
        reader.add_finding("timing", text);
    }
    if timing.watch_hold * 2 > timing.lease {
        let text = "`watch_hold_ms` must be at most half of `lease_ms`, \
                    or leases expire between renewals";
        reader.add_finding("timing", text);
    }
}
