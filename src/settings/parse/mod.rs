//! Parses a settings file into [`Settings`].

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
    time::Duration,
};

use ipnet::IpNet;
use jsonc_parser::{CollectOptions, ParseOptions, ast::Value, common::Ranged, parse_to_ast};

mod topology;

use self::topology::{read_links, read_regions, read_services};
use super::{
    Finding, Findings, InstanceResources, InstanceSettings, PlatformListSource, Settings, Timing,
    check,
    finding::FindingCollector,
    reader::{Reader, members},
};
use crate::core::control::{Preset, RegionName, ShiftRule, Topology};

/// The maximum size of a settings file.
const FILE_MAX_BYTES: usize = 64 * 1024 * 1024;
/// The maximum duration in settings: one day.
const DURATION_MAX_MS: u64 = 24 * 60 * 60 * 1000;
/// The largest memory and number of descriptors of an instance.
const MEMORY_MAX_MIB: u64 = 1024 * 1024;
const DESCRIPTORS_MAX: u64 = 1024 * 1024;

/// Loads and validates a settings file. Paths in it are relative to its folder.
///
/// # Errors
///
/// Returns all findings if the file can't be read or is not valid.
pub fn load(path: &Path) -> Result<Settings, Findings> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| {
        let text = format!("can't be read: {error}; give the path of a readable settings file");
        Findings { file: file.clone(), list: vec![Finding { line: 1, column: 1, text }] }
    })?;
    let folder = path.parent().unwrap_or(Path::new("")).to_owned();
    // Some editors write a byte order mark at the start.
    let text = text.strip_prefix('\u{feff}').unwrap_or(&text);
    parse(&file, text, &folder)
}

/// Parses and validates the text of a settings file. Findings use `file` as the
/// file name; paths in the settings are relative to `folder`.
///
/// # Errors
///
/// Returns all findings if the text is not valid.
pub fn parse(file: &str, text: &str, folder: &Path) -> Result<Settings, Findings> {
    if text.len() > FILE_MAX_BYTES {
        let text = format!(
            "the file has over {FILE_MAX_BYTES} bytes; add client blocks with the `blocks` command \
             instead"
        );
        let finding = Finding { line: 1, column: 1, text };
        return Err(Findings { file: file.to_owned(), list: vec![finding] });
    }
    let collector = RefCell::new(FindingCollector::default());
    let parsed = parse_to_ast(text, &CollectOptions::default(), &jsonc_options());
    let settings = match &parsed {
        Ok(parsed) => match &parsed.value {
            Some(value) => read_settings(value, folder, &collector),
            None => {
                collector
                    .borrow_mut()
                    .add(0, "the file is empty; see examples/ for a complete one");
                None
            }
        },
        Err(error) => {
            let text = format!("not JSON with comments: {}; mend the syntax here", error.kind());
            collector.borrow_mut().add(error.range().start, text);
            None
        }
    };
    let collector = collector.into_inner();
    match settings {
        Some(settings) if collector.is_empty() => Ok(settings),
        _ => Err(collector.into_findings(file, text)),
    }
}

fn jsonc_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn read_settings(
    value: &Value<'_>,
    folder: &Path,
    findings: &RefCell<FindingCollector>,
) -> Option<Settings> {
    let reader = Reader::new(value, "the file", findings)?;
    let timing_value = reader.optional("timing");
    let (timing, mut topology) = read_timing(timing_value, findings);
    read_regions(&reader, &mut topology);
    read_links(&reader, &mut topology);
    read_services(&reader, &mut topology);
    let instances = read_instances(&reader, &mut topology, folder);
    let blocks = read_blocks(&reader, &topology);
    let presets = read_presets(&reader, &topology);
    let first_preset = reader.string("first_preset");
    let default_region = reader.string("default_region");
    let cluster_key_file = reader.string("cluster_key_file").map(|path| folder.join(path));
    let operator_tokens = read_tokens(&reader, folder);
    let platform =
        reader.optional("platform").and_then(|value| read_platform(value, folder, findings));
    let resources = reader
        .optional("resources")
        .and_then(|value| read_resources(value, findings))
        .unwrap_or_default();
    if let Some(name) = first_preset.as_ref().filter(|name| !presets.contains_key(*name)) {
        reader.add_finding(
            "first_preset",
            format!("there is no preset `{name}`; use one of `presets`"),
        );
    }
    if let Some(name) = default_region.as_ref().filter(|n| !topology.regions.contains_key(*n)) {
        reader.add_finding("default_region", unknown_name("region", name));
    }
    check::check_settings(&reader, &topology, &instances, timing);
    reader.finish();
    Some(Settings {
        cluster_key_file: cluster_key_file?,
        operator_tokens,
        instances,
        topology,
        default_region: default_region?,
        blocks,
        presets,
        first_preset: first_preset?,
        platform,
        timing,
        resources,
    })
}

fn read_resources(
    value: &Value<'_>,
    findings: &RefCell<FindingCollector>,
) -> Option<InstanceResources> {
    let reader = Reader::new(value, "`resources`", findings)?;
    let default = InstanceResources::default();
    let resources = InstanceResources {
        memory_mib: reader.number_or("memory_mib", default.memory_mib, 64, MEMORY_MAX_MIB),
        descriptors: reader.number_or("descriptors", default.descriptors, 512, DESCRIPTORS_MAX),
    };
    reader.finish();
    Some(resources)
}

/// Returns the text of the finding for a name that the settings file does not define.
fn unknown_name(kind: &str, name: &str) -> String {
    format!("`{name}` is no {kind} of this file; name one that is")
}

fn read_timing(
    value: Option<&Value<'_>>,
    findings: &RefCell<FindingCollector>,
) -> (Timing, Topology) {
    let empty = Value::Object(jsonc_parser::ast::Object {
        range: jsonc_parser::common::Range::new(0, 0),
        properties: Vec::new(),
    });
    let reader = Reader::new(value.unwrap_or(&empty), "`timing`", findings)
        .or_else(|| Reader::new(&empty, "`timing`", findings));
    let millis = |name: &'static str, default: u64| {
        let value =
            reader.as_ref().map(|reader| reader.number_or(name, default, 1, DURATION_MAX_MS));
        Duration::from_millis(value.unwrap_or(default))
    };
    let timing = Timing {
        lease: millis("lease_ms", 3_000),
        drift_margin: millis("drift_margin_ms", 300),
        election: millis("election_ms", 1_000),
        heartbeat: millis("heartbeat_ms", 200),
        watch_hold: millis("watch_hold_ms", 750),
        platform_interval: millis("platform_interval_ms", 1_000),
        stop_timeout: millis("stop_limit_ms", 300_000),
        cancel_hold: millis("cancel_hold_ms", 250),
    };
    let topology = Topology {
        look_up_ttl: millis("look_up_ttl_ms", 5_000),
        claim_epoch_duration: millis("claim_epoch_ms", 600_000),
        suspect_retention: millis("suspect_kept_ms", 600_000),
        ..Topology::default()
    };
    if let Some(reader) = reader {
        reader.finish();
    }
    (timing, topology)
}

fn read_instances(
    reader: &Reader<'_, '_>,
    topology: &mut Topology,
    folder: &Path,
) -> BTreeMap<String, InstanceSettings> {
    let mut instances = BTreeMap::new();
    for value in reader.list("instances") {
        let Some(instance) = Reader::new(value, "an instance", reader.findings()) else { continue };
        let syntax = "an address and port, as in 10.0.0.7:8080";
        let name = instance.string("name");
        let zone = instance.string("zone");
        let caller_address = instance.parse("callers", syntax);
        let operator_address = instance.parse("operators", syntax);
        let cluster_address = instance.parse("cluster", syntax);
        let forward_address = instance.parse("forward", syntax);
        let data_folder = instance.optional_string("data_folder").map(|path| folder.join(path));
        if let Some(zone) = zone.as_ref().filter(|zone| !topology.zones.contains_key(*zone)) {
            instance.add_finding("zone", unknown_name("availability zone", zone));
        }
        instance.finish();
        let (Some(name), Some(zone)) = (name, zone) else { continue };
        topology.instance_zones.insert(name.clone(), zone.clone());
        let (Some(caller_address), Some(operator_address)) = (caller_address, operator_address)
        else {
            continue;
        };
        let (Some(cluster_address), Some(forward_address)) = (cluster_address, forward_address)
        else {
            continue;
        };
        let parsed_instance = InstanceSettings {
            zone,
            caller_address,
            operator_address,
            cluster_address,
            forward_address,
            data_folder,
        };
        if instances.insert(name.clone(), parsed_instance).is_some() {
            let text = format!("instance `{name}` is described twice; rename one");
            reader.findings().borrow_mut().add(value.start(), text);
        }
    }
    instances
}

fn read_blocks(reader: &Reader<'_, '_>, topology: &Topology) -> BTreeMap<IpNet, RegionName> {
    let mut blocks = BTreeMap::new();
    for value in reader.optional_list("blocks") {
        let Some(block) = Reader::new(value, "a block", reader.findings()) else { continue };
        let net: Option<IpNet> = block.parse("block", "a network, as in 10.1.0.0/16");
        let region = block.string("region");
        if let Some(name) = region.as_ref().filter(|name| !topology.regions.contains_key(*name)) {
            block.add_finding("region", unknown_name("region", name));
        }
        if let Some(net) = net.filter(|net| net.trunc() != *net) {
            let text = format!("`{net}` has bits beyond its prefix; write {}", net.trunc());
            block.add_finding("block", text);
        }
        if let (Some(net), Some(region)) = (net, &region)
            && blocks.insert(net.trunc(), region.clone()).is_some()
        {
            block.add_finding("block", format!("block `{net}` stands here twice; keep one"));
        }
        block.finish();
    }
    blocks
}

fn read_presets(reader: &Reader<'_, '_>, topology: &Topology) -> BTreeMap<String, Preset> {
    let regions: Vec<RegionName> = topology.regions.keys().cloned().collect();
    let mut presets = BTreeMap::new();
    for (name, value) in reader.map("presets") {
        let Some(preset) = Reader::new(value, "a preset", reader.findings()) else { continue };
        let mut shares = BTreeMap::new();
        for (home, row) in preset.map("shares") {
            let shares_by_region =
                members(row, &home, reader.findings()).into_iter().filter_map(|(to, share)| {
                    let number =
                        share.as_number_lit().and_then(|literal| literal.value.parse().ok());
                    if number.is_none() {
                        let text =
                            format!("the share of `{to}` must be a whole number of permille");
                        reader.findings().borrow_mut().add(share.start(), text);
                    }
                    Some((to, number?))
                });
            shares.insert(home, shares_by_region.collect());
        }
        let shift = preset
            .value("shift")
            .and_then(|value| Reader::new(value, "a shift", reader.findings()));
        let rule = shift.as_ref().map(|shift| ShiftRule {
            cap_permille: shift.number("cap_permille", 1, 1000).unwrap_or(1) as u32,
            interval_ms: shift.number("interval_ms", 1, DURATION_MAX_MS).unwrap_or(DURATION_MAX_MS),
            headroom_permille: shift.number_or("headroom_permille", 100, 0, 999) as u32,
        });
        if let Some(shift) = shift {
            shift.finish();
        }
        let offset = preset.offset_of("shares");
        preset.finish();
        let Some(rule) = rule else { continue };
        let parsed_preset = Preset { shares, shift: rule };
        for text in parsed_preset.findings(&regions, topology.look_up_ttl) {
            reader.findings().borrow_mut().add(offset, format!("preset `{name}`: {text}"));
        }
        presets.insert(name, parsed_preset);
    }
    presets
}

fn read_tokens(reader: &Reader<'_, '_>, folder: &Path) -> BTreeMap<String, PathBuf> {
    let mut tokens = BTreeMap::new();
    let mut used_paths = BTreeSet::new();
    for (name, value) in reader.map("operator_token_files") {
        let Some(path) = value.as_string_lit() else {
            reader
                .findings()
                .borrow_mut()
                .add(value.start(), "must be the path of a token file, as in \"…\"");
            continue;
        };
        if !used_paths.insert(path.value.to_string()) {
            let text = "two operators share a token file, so the audit trail can't tell \
                        them apart; give each its own";
            reader.findings().borrow_mut().add(value.start(), text);
        }
        tokens.insert(name, folder.join(path.value.as_ref()));
    }
    tokens
}

fn read_platform(
    value: &Value<'_>,
    folder: &Path,
    findings: &RefCell<FindingCollector>,
) -> Option<PlatformListSource> {
    let reader = Reader::new(value, "`platform`", findings)?;
    let file =
        reader.optional_string("file").map(|path| PlatformListSource::File(folder.join(path)));
    let http = reader.optional_string("url").map(PlatformListSource::Http);
    if file.is_some() == http.is_some() {
        reader.add_finding("file", "`platform` takes `file` or `url`; give exactly one of them");
    }
    reader.finish();
    file.or(http)
}
