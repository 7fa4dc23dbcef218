//! Reads the regions, links, services and upstreams of a settings file.

use std::{collections::BTreeMap, time::Duration};

use jsonc_parser::{ast::Value, common::Ranged};

use super::{super::reader::Reader, DURATION_MAX_MS, unknown_name};
use crate::core::control::{Link, Region, RequestClass, Service, Topology, Upstream, Zone};

pub(super) fn read_regions(reader: &Reader<'_, '_>, topology: &mut Topology) {
    for value in reader.list("regions") {
        let Some(region) = Reader::new(value, "a region", reader.findings()) else { continue };
        let name = region.string("name");
        let zones = region.list("zones").iter().filter_map(|zone| {
            let name = zone.as_string_lit().map(|literal| literal.value.to_string());
            if name.is_none() {
                region
                    .findings()
                    .borrow_mut()
                    .add(zone.start(), "an availability zone must be a string");
            }
            Some((name?, zone.start()))
        });
        let zones: Vec<(String, usize)> = zones.collect();
        region.finish();
        let Some(name) = name else { continue };
        for (zone, offset) in &zones {
            let previous = topology.zones.insert(zone.clone(), Zone { region: name.clone() });
            if previous.is_some() {
                let text = format!("availability zone `{zone}` is named twice; keep one");
                reader.findings().borrow_mut().add(*offset, text);
            }
        }
        let parsed_region = Region { zones: zones.into_iter().map(|(zone, _)| zone).collect() };
        if topology.regions.insert(name.clone(), parsed_region).is_some() {
            let text = format!("region `{name}` is named twice; keep one");
            reader.findings().borrow_mut().add(value.start(), text);
        }
    }
}

pub(super) fn read_links(reader: &Reader<'_, '_>, topology: &mut Topology) {
    for value in reader.optional_list("links") {
        let Some(link) = Reader::new(value, "a link", reader.findings()) else { continue };
        let ends = (link.string("from"), link.string("to"));
        let delay_ms = link.number("delay_ms", 0, 60_000);
        let cap_mbit = link.number("cap_mbit", 1, 1_000_000);
        let reserve_permille = link.number_or("reserve_permille", 100, 0, 999) as u32;
        let (Some(from), Some(to)) = ends else { continue };
        for (member, name) in [("from", &from), ("to", &to)] {
            if !topology.regions.contains_key(name) {
                link.add_finding(member, unknown_name("region", name));
            }
        }
        if from == to {
            link.add_finding("to", "a link must connect two different regions; name another one");
        }
        link.finish();
        let (Some(delay_ms), Some(cap_mbit)) = (delay_ms, cap_mbit) else { continue };
        let delay = Duration::from_millis(delay_ms);
        let parsed_link = Link { delay, cap_mbit, reserve_permille };
        if topology.links.insert((from.clone(), to.clone()), parsed_link).is_some() {
            let text = format!("the link from `{from}` to `{to}` is described twice; keep one");
            reader.findings().borrow_mut().add(value.start(), text);
        }
    }
}

pub(super) fn read_services(reader: &Reader<'_, '_>, topology: &mut Topology) {
    for value in reader.list("services") {
        let Some(service) = Reader::new(value, "a service", reader.findings()) else { continue };
        let name = service.string("name");
        let slots = service.number("slots", 1, 100_000).unwrap_or(1) as u32;
        let connections = service.number("connections", 1, 1_000_000).unwrap_or(1) as u32;
        if connections < slots {
            service
                .add_finding("connections", "fewer connections than slots; give at least as many");
        }
        let deadline_ms = service.number_or("deadline_ms", 10_000, 1, DURATION_MAX_MS);
        let wait_max_ms = service.number_or("wait_max_ms", deadline_ms / 20, 0, DURATION_MAX_MS);
        let mut parsed_service = Service {
            upstreams: BTreeMap::new(),
            request_timeout: Duration::from_millis(deadline_ms),
            wait_max: Duration::from_millis(wait_max_ms),
            queue_max: service.number_or("queue_max", 64, 0, 1_000_000) as usize,
            request_classes: read_request_classes(&service),
            body_max_bytes: service.number_or("body_max_bytes", 64 << 20, 0, 1 << 40),
            retry_percent: service.number_or("retry_percent", 10, 0, 100) as u32,
            shed_means_not_run: service.bool_or("shed_means_not_run", false),
        };
        for value in service.list("upstreams") {
            read_upstream(value, &service, topology, &mut parsed_service, slots, connections);
        }
        service.finish();
        let Some(name) = name else { continue };
        if topology.services.insert(name.clone(), parsed_service).is_some() {
            let text = format!("service `{name}` is described twice; keep one");
            reader.findings().borrow_mut().add(value.start(), text);
        }
    }
}

/// Reads the request classes of a service by path prefix, from the longest prefix to the
/// shortest.
fn read_request_classes(service: &Reader<'_, '_>) -> Vec<(String, RequestClass)> {
    let mut routes = Vec::new();
    for value in service.optional_list("routes") {
        let Some(route) = Reader::new(value, "a route", service.findings()) else { continue };
        let prefix = route.string("prefix");
        let class = route.string("class");
        let parsed_class = class
            .as_ref()
            .and_then(|name| RequestClass::ALL.into_iter().find(|class| class.name() == name));
        if let (Some(name), None) = (&class, parsed_class) {
            let known_classes = RequestClass::ALL.map(RequestClass::name).join(", ");
            route
                .add_finding("class", format!("`{name}` is no class; use one of: {known_classes}"));
        }
        route.finish();
        routes.extend(prefix.zip(parsed_class));
    }
    routes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
    routes
}

fn read_upstream(
    value: &Value<'_>,
    service: &Reader<'_, '_>,
    topology: &Topology,
    parsed_service: &mut Service,
    slots: u32,
    connections: u32,
) {
    let Some(reader) = Reader::new(value, "an upstream", service.findings()) else { return };
    let name = reader.string("name");
    let address = reader.parse("address", "an address and port, as in 10.0.0.7:8080");
    let zone = reader.string("zone");
    if let Some(zone) = zone.as_ref().filter(|zone| !topology.zones.contains_key(*zone)) {
        reader.add_finding("zone", unknown_name("availability zone", zone));
    }
    let is_taken = |name: &String| {
        parsed_service.upstreams.contains_key(name) || topology.upstream(name).is_some()
    };
    if let Some(name) = name.as_ref().filter(|name| is_taken(name)) {
        reader.add_finding("name", format!("upstream `{name}` is described twice; rename one"));
    }
    reader.finish();
    if let (Some(name), Some(address), Some(zone)) = (name, address, zone) {
        parsed_service
            .upstreams
            .insert(name, Upstream { address, zone, slots, connections_max: connections });
    }
}
