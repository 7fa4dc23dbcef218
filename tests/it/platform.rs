//! Tests of the adapter with valid, invalid and truncated input from the platform.

use std::time::Duration;

use bulrushspan::platform::{configuration, listing, node_file};

#[test]
fn invalid_list_entries_are_reported_and_the_others_are_kept() {
    let page = br#"{"instances": [
        {"id": "i-1", "service": "s", "addr": "10.0.0.1:80", "zone": "a", "version": "v1",
         "slots": 4, "state": "ready", "cold_left_s": 1.5, "born": 7, "unheard": {}},
        {"id": "i-2", "service": "s", "addr": "10.0.0.2:80", "zone": "a", "version": "v1",
         "slots": "4", "state": "ready", "cold_left_s": 0},
        {"id": "i-3", "service": "s", "addr": "10.0.0.3:80", "zone": "a", "version": "v1",
         "slots": 4, "state": "asleep", "cold_left_s": 0},
        17,
        {"id": "i-5", "service": "s", "addr": "10.0.0.5:80", "zone": "b", "version": "v1",
         "slots": 4, "state": "draining", "cold_left_s": -1}
    ], "next_token": "p 2"}"#;
    let page = listing::decode_page(page).unwrap();
    insta::assert_debug_snapshot!("listing_page", page);
    let next = page.next.as_deref();
    let targets = [None, Some("a b")].map(|zone| listing::page_target(zone, next));
    assert_eq!(targets, ["/instances?page_token=p+2", "/instances?zone=a+b&page_token=p+2"]);
    assert_eq!(listing::page_target(None, None), "/instances");
}

/// Returns an entry that has all fields; `more` is added to it.
fn sound(id: u32, more: &str) -> String {
    format!(
        r#"{{"id": "i-{id}", "service": "s", "addr": "10.0.0.1:80", "zone": "a", "version": "v1",
        "slots": 4, "state": "ready", "cold_left_s": 0{more}}}"#
    )
}

/// Returns the ids on a page with these entries, and the number of findings.
fn decode_entries(entries: &[&[u8]]) -> (Vec<String>, usize) {
    let body = [br#"{"instances": ["#, entries.join(&b", "[..]).as_slice(), b"]}"].concat();
    let text = String::from_utf8_lossy(&body);
    let page = listing::decode_page(&body).unwrap_or_else(|error| panic!("{error}: {text}"));
    (page.upstreams.into_iter().map(|upstream| upstream.id).collect(), page.findings.len())
}

/// An entry of another writer without two of the fields replaced a draining upstream's own entry,
/// so that the upstream got requests until it ended (review/10).
#[test]
fn an_entry_with_a_field_missing_or_of_another_type_names_no_upstream() {
    let whole: serde_json::Value = serde_json::from_str(&sound(1, r#", "born": 7"#)).unwrap();
    let kept = sound(2, "");
    let mut wrong_entries = vec![sound(1, r#", "born": null"#)];
    for field in whole.as_object().unwrap().keys() {
        let mut missing = whole.clone();
        missing.as_object_mut().unwrap().remove(field);
        if field != "born" {
            wrong_entries.push(missing.to_string());
        }
        for value in [serde_json::Value::Null, serde_json::json!([]), serde_json::json!(true)] {
            let mut other_type = whole.clone();
            other_type[field] = value;
            wrong_entries.push(other_type.to_string());
        }
        if whole[field].is_string() && field != "version" {
            let mut empty = whole.clone();
            empty[field] = "".into();
            wrong_entries.push(empty.to_string());
        }
        if matches!(field.as_str(), "id" | "service" | "zone" | "version") {
            let mut long = whole.clone();
            long[field] = "n".repeat(300).into();
            wrong_entries.push(long.to_string());
        }
    }
    // The id is sent in a header field.
    wrong_entries.push(sound(1, "").replace("i-1", "i-1\\r\\nHost: b"));
    let accepted: Vec<&String> = wrong_entries
        .iter()
        .filter(|wrong| {
            let decoded = decode_entries(&[wrong.as_bytes(), kept.as_bytes()]);
            decoded != (vec!["i-2".to_owned()], 1)
        })
        .collect();
    assert!(accepted.is_empty(), "taken for entries of upstreams: {accepted:#?}");
}

/// One entry with bytes that are no UTF-8 made the whole list unreadable, so that a draining
/// upstream got requests and nothing was served after a restart (review/2).
#[test]
fn an_entry_that_is_no_text_or_no_json_does_not_hide_the_others() {
    let (first, last) = (sound(1, ""), sound(2, ""));
    let odd_entries: [&[u8]; 9] = [
        b"{\"service\":\"\xff\xfe\x80\",\"addr\":\"\xc3\x28\",\"zone\":\"a\",\"id\":\"\xa0\xa1\",\"slots\":4}",
        b"{\"id\": \"i-9\", \"more\": \"\xed\xa0\x80 \\\" ]},\"}",
        b"\xff\xfe\x80",
        b"{\"id\": \"i-9\", \"slots\": nine}",
        b"{\"id\": \"i-9\", \"slots\": }",
        b"{\"id\": \"line\nbreak\", \"\x00\": 1}",
        b"{\"id\": \"\\ud800\"}",
        b"{\"instances\": [], \"next_token\": \"p-9\"}",
        b"",
    ];
    for odd in odd_entries {
        for order in [[0, 1, 2], [1, 0, 2], [0, 2, 1]] {
            let entries = [first.as_bytes(), odd, last.as_bytes()];
            let (mut ids, findings) = decode_entries(&order.map(|index: usize| entries[index]));
            ids.sort();
            let text = String::from_utf8_lossy(odd);
            assert_eq!((ids, findings), (vec!["i-1".into(), "i-2".into()], 1), "{text}");
        }
    }
}

/// One odd entry of another writer made the whole list unreadable, so that it was followed no more.
#[test]
fn a_list_is_read_whatever_one_entry_holds() {
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    let odd_entries = [
        nested.clone(),
        sound(9, &format!(r#", "slots": {nested}"#)),
        r#"{"id": "i-9", "born": 1e999}"#.to_owned(),
        sound(9, r#", "born": 99999999999999999999999999"#),
        sound(9, "").replace(":80", ":65536"),
        sound(9, "").replace("\"cold_left_s\": 0", "\"cold_left_s\": 1e999"),
    ];
    for odd in odd_entries {
        let text = format!(r#"{{"instances": [{odd}, {}]}}"#, sound(1, ""));
        let page = listing::decode_page(text.as_bytes());
        let page = page.unwrap_or_else(|error| panic!("{error}: {}", &odd[..odd.len().min(90)]));
        let ids: Vec<&str> = page.upstreams.iter().map(|upstream| upstream.id.as_str()).collect();
        assert_eq!((ids, page.findings.len()), (vec!["i-1"], 1), "{:?}", page.findings);
        assert!(page.findings[0].len() < 200);
    }
    // The time is added to that of the reading.
    let long = sound(1, "").replace("\"cold_left_s\": 0", "\"cold_left_s\": 1.8446744e19");
    let text = format!(r#"{{"instances": [{long}]}}"#);
    let page = listing::decode_page(text.as_bytes()).unwrap();
    assert!(page.upstreams[0].cold_left <= Duration::from_secs(24 * 60 * 60));
}

#[test]
fn a_truncated_list_is_refused() {
    let page =
        format!(r#"{{"instances": [{}, {}], "next_token": "p"}}"#, sound(1, ""), sound(2, ""));
    for end in 0..page.len() {
        assert!(listing::decode_page(&page.as_bytes()[..end]).is_err(), "truncated at byte {end}");
    }
    let others: [&[u8]; 7] = [
        b"{\"instances\": []} {",
        b"{\"instances\": [], \"instances\": []}",
        b"{\"instances\": [], \"next_token\": null, \"next_token\": null}",
        b"{\"instances\": {}}",
        b"{\"next_token\": null}",
        b"{\"instances\": [], \"next_token\": 7}",
        b"{\"instances\": [], \"next_token\": \"\xff\"}",
    ];
    for other in others {
        let text = String::from_utf8_lossy(other);
        assert!(listing::decode_page(other).is_err(), "{text}");
    }
}

const SERVICE: &str = r#"{"type": "services", "meta": {"name": "s"}, "spec":
    {"health_path": "/h", "max_conns": 9, "protocol": "h1", "tls": false,
     "cold_start_s": 3.0, "cold_per_s": 7.8}}"#;

/// Returns the resource of a route as JSON; `other_fields` are added to its `spec`.
fn route(name: &str, host: &str, prefix: &str, other_fields: &str) -> String {
    format!(
        r#"{{"type": "routes", "meta": {{"name": "{name}"}}, "spec": {{"host": "{host}",
        "path_prefix": "{prefix}", "kind": "safe", "slo_s": 0.5, "priority": 2,
        "max_attempts": 2, {other_fields}}}}}"#
    )
}

fn configuration_json(routes: &[String]) -> String {
    let routes = routes.join(",");
    format!(r#"{{"version": "r7", "resources": [{SERVICE}, {routes}]}}"#)
}

#[test]
fn all_findings_of_a_configuration_are_reported_together() {
    let faulty_json = configuration_json(&[
        route("unknown", "a", "/x/", r#""timeout_s": 1, "service": "t""#),
        route("first", "b", "/x/", r#""timeout_s": 1, "service": "s""#),
        route("second", "b", "/x/", r#""timeout_s": 1, "service": "s""#),
        route("weight", "c", "/", r#""timeout_s": 1, "split": [{"service": "s", "weight": -1}]"#),
        route("timeout", "d", "/", r#""timeout_s": 0, "service": "s""#),
        route("prefix", "e", "x", r#""timeout_s": 1, "service": "s""#),
        route("host", "", "/", r#""timeout_s": 1, "service": "s""#),
    ]);
    let findings = match configuration::decode(faulty_json.as_bytes()) {
        Ok(table) => table.findings(),
        Err(findings) => findings,
    };
    insta::assert_debug_snapshot!("configuration_findings", findings);
}

#[test]
fn a_configuration_survives_a_round_trip_and_is_refused_when_truncated() {
    let json = configuration_json(&[
        route("one", "b", "/x/", r#""timeout_s": 1.5, "service": "s", "home_regions": ["r"]"#),
        route("two", "b", "/", r#""timeout_s": 2, "split": [{"service": "s", "weight": 90}]"#),
    ]);
    let table = configuration::decode(json.as_bytes()).unwrap();
    let decoded = configuration::decode(&configuration::encode(&table).unwrap()).unwrap();
    assert_eq!(table, decoded);
    for end in 0..json.len() {
        assert!(configuration::decode(&json.as_bytes()[..end]).is_err(), "truncated at byte {end}");
    }
}

/// A version beyond the largest number must be refused rather than acknowledged and lost.
#[test]
fn versions_are_read_as_numbers_up_to_the_largest() {
    let json = configuration_json(&[route("one", "b", "/", r#""timeout_s": 1, "service": "s""#)]);
    let read = |version: &str| {
        let table = configuration::decode(json.replace("r7", version).as_bytes()).ok()?;
        let encoded = String::from_utf8(configuration::encode(&table).unwrap()).unwrap();
        Some(encoded.split('"').nth(3).unwrap().to_owned())
    };
    for (version, expected) in [
        ("r0", Some("r0")),
        ("r000", Some("r0")),
        ("r007", Some("r7")),
        ("r18446744073709551615", Some("r18446744073709551615")),
        ("r18446744073709551616", None),
        ("r+7", None),
        ("r-0", None),
        ("r7.0", None),
        ("r 7", None),
        ("r", None),
        ("7", None),
        ("", None),
    ] {
        assert_eq!(read(version).as_deref(), expected, "{version}");
    }
}

const NODE_FILE: &str = r#"{"node": "n", "ip": "10.0.0.1", "zone": "a", "region": "r",
    "zones": {"a": "r"}, "listen": {"front": "10.0.0.1:80"}, "cluster_ports": [7, 9],
    "limits": {"cpu_share": 0.2, "memory_mb": 200, "max_fds": 400}, "new": 1,
    "bounds": {"drain_s": 3, "retry_ratio": 0.1}}"#;

#[test]
fn a_node_file_may_have_a_byte_order_mark_and_unknown_fields() {
    let settings = node_file::decode(&format!("\u{feff}{NODE_FILE}")).unwrap();
    assert_eq!(settings.bounds.drain.as_secs(), 3);
    assert_eq!(settings.bounds.retry_ratio, 0.1);
}

#[test]
fn node_files_are_told_apart_from_settings_files() {
    let settings = include_str!("../../examples/settings/demo.jsonc");
    assert!(node_file::is_node_file(NODE_FILE) && !node_file::is_node_file(settings));
}

#[test]
fn an_invalid_bound_is_reported_by_its_name() {
    let findings = node_file::decode(&NODE_FILE.replace("\"drain_s\": 3", "\"drain_s\": -3"));
    insta::assert_debug_snapshot!("node_file_findings", findings.unwrap_err());
}
