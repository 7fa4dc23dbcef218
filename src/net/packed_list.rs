//! Encodes changes of the list of upstreams in a compact form.
//!
//! The list is by far the largest message to an entry instance, whose link may be
//! narrow. Upstreams of the same service, availability zone and version share these
//! names, and the other fields are sent without names.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::core::{
    MapDelta,
    upstreams::{ListedState, ListedUpstream, UpstreamId},
};

type Delta = MapDelta<UpstreamId, ListedUpstream>;

#[derive(Deserialize, Serialize)]
struct PackedDelta {
    version: u64,
    is_full: bool,
    groups: Vec<Group>,
    removed: Vec<UpstreamId>,
}

/// The upstreams that have a service, an availability zone and a version in common.
#[derive(Deserialize, Serialize)]
struct Group {
    service: String,
    zone: String,
    version: String,
    upstreams: Vec<PackedUpstream>,
}

/// The id, address, slots, whether it takes new work, how much longer it stays cold in
/// milliseconds, and when it started.
type PackedUpstream = (UpstreamId, SocketAddr, u32, bool, u64, Option<u64>);

/// Serializes changes of the list.
///
/// # Errors
///
/// Returns an error if the serializer fails.
pub(super) fn serialize<S: Serializer>(delta: &Delta, serializer: S) -> Result<S::Ok, S::Error> {
    let mut groups: BTreeMap<(&str, &str, &str), Vec<PackedUpstream>> = BTreeMap::new();
    for (_, listed) in &delta.put {
        let names = (listed.service.as_str(), listed.zone.as_str(), listed.version.as_str());
        groups.entry(names).or_default().push(pack(listed));
    }
    let groups = groups.into_iter().map(|((service, zone, version), upstreams)| Group {
        service: service.to_owned(),
        zone: zone.to_owned(),
        version: version.to_owned(),
        upstreams,
    });
    let packed = PackedDelta {
        version: delta.version,
        is_full: delta.is_full,
        groups: groups.collect(),
        removed: delta.removed.clone(),
    };
    packed.serialize(serializer)
}

/// Deserializes changes of the list.
///
/// # Errors
///
/// Returns an error if the input is not what [`serialize`] writes.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Delta, D::Error> {
    let PackedDelta { version, is_full, groups, removed } = PackedDelta::deserialize(deserializer)?;
    let mut put = Vec::new();
    for Group { service, zone, version, upstreams } in groups {
        for packed in upstreams {
            let listed = unpack(&service, &zone, &version, packed);
            put.push((listed.id.clone(), listed));
        }
    }
    Ok(MapDelta { version, is_full, put, removed })
}

fn pack(listed: &ListedUpstream) -> PackedUpstream {
    let is_ready = listed.state == ListedState::Ready;
    // Rounded up: a cold upstream must not be taken for a warm one.
    let cold_left_ms = listed.cold_left.as_micros().div_ceil(1000) as u64;
    let (address, started) = (listed.address, listed.started_unix_ms);
    (listed.id.clone(), address, listed.slots, is_ready, cold_left_ms, started)
}

fn unpack(service: &str, zone: &str, version: &str, packed: PackedUpstream) -> ListedUpstream {
    let (id, address, slots, is_ready, cold_left_ms, started_unix_ms) = packed;
    ListedUpstream {
        id,
        service: service.to_owned(),
        address,
        zone: zone.to_owned(),
        version: version.to_owned(),
        slots,
        state: if is_ready { ListedState::Ready } else { ListedState::Leaving },
        cold_left: Duration::from_millis(cold_left_ms),
        started_unix_ms,
    }
}
