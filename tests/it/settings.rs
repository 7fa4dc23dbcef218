//! Tests that valid settings files load and that all findings of invalid
//! files are reported.

use std::path::Path;

use bulrushspan::settings::{load, parse};

#[test]
fn the_examples_are_valid() {
    for name in ["demo", "shalom-platters", "kilimanjaro-garderobe"] {
        let path = format!("{}/examples/settings/{name}.jsonc", env!("CARGO_MANIFEST_DIR"));
        let result = load(Path::new(&path));
        assert!(result.is_ok(), "{}", result.unwrap_err());
    }
}

#[test]
fn all_findings_are_reported_together_with_their_positions() {
    let text = r#"{
  "cluster_key_file": "k", "operator_token_files": {},
  "regions": [{"name": "north", "zones": ["a", "a"]}, {"name": "south", "zones": ["b"]}],
  "links": [{"from": "north", "to": "nowhere", "delay_ms": 5, "cap_mbit": 0}],
  "instances": [
    {"name": "n1", "zone": "c", "callers": "127.0.0.1:1", "operators": "127.0.0.1:1",
     "cluster": "here", "forward": "127.0.0.1:4", "data_folder": "d"}
  ],
  "services": [{"name": "s", "slots": 9, "connections": 3, "colour": "red", "upstreams": []}],
  "default_region": "west",
  "blocks": [{"block": "10.0.0.1/8", "region": "north"}, {"block": "10.0.0.0/8", "region": "south"}],
  "presets": {"p": {"shares": {"north": {"north": 900}}, "shift": {"cap_permille": 0, "interval_ms": 10}}},
  "first_preset": "q",
  "timing": {"heartbeat_ms": 900}
}"#;
    let findings = parse("bad.jsonc", text, Path::new("")).unwrap_err();
    insta::assert_snapshot!("findings", findings);
}

#[test]
fn a_syntax_error_is_reported_at_its_position() {
    let findings = parse("bad.jsonc", "{\n  \"a\": 1 \"b\"\n}", Path::new("")).unwrap_err();
    insta::assert_snapshot!("syntax", findings);
}
