//! Checks the layout of the source tree, and that the operations guide lists
//! log messages and metrics that exist.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Names of the platform's wire format in lower case, allowed only in the
/// adapter (`platform/`).
const WIRE_NAMES: [&str; 14] = [
    "bulrushspan-affinity-key",
    "bulrushspan-cold-ms",
    "bulrushspan-deadline-ms",
    "bulrushspan-expect-instance",
    "bulrushspan-instance-id",
    "bulrushspan-not-run",
    "bulrushspan-server-load",
    "bulrushspan-server-stamp",
    "/api/",
    "cold_left_s",
    "cold_per_s\"",
    "cluster_ports",
    "next_token",
    "page_token",
];
/// The adapter must have fewer lines than this.
const ADAPTER_LINES_MAX: usize = 1500;
const GUIDE: &str = include_str!("../../docs/OPERATIONS.md");

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Returns the Rust files in a folder and its subfolders.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// Returns the concatenated text of all files in `src/`.
fn source_text() -> String {
    let texts = source_files(&root().join("src")).into_iter().map(fs::read_to_string);
    texts.map(Result::unwrap).collect()
}

#[test]
fn wire_names_occur_only_in_the_adapter() {
    let mut occurrences = Vec::new();
    for path in source_files(&root().join("src")) {
        let text = fs::read_to_string(&path).unwrap().to_lowercase();
        let names = WIRE_NAMES.iter().filter(|name| text.contains(**name));
        occurrences.extend(names.map(|name| format!("{}: {name}", path.display())));
    }
    assert!(occurrences.is_empty(), "move these into platform/: {occurrences:#?}");
}

#[test]
fn the_adapter_stays_small() {
    let texts = source_files(&root().join("platform")).into_iter().map(fs::read_to_string);
    let lines: usize = texts.map(|text| text.unwrap().lines().count()).sum();
    assert!(lines < ADAPTER_LINES_MAX, "platform/ has {lines} lines");
}

/// Returns the names in backticks in the first column of the tables under a
/// heading of the guide.
fn documented_names(heading: &str) -> Vec<String> {
    let (_, section) = GUIDE.split_once(heading).expect("the guide has the heading");
    let section = section.split("\n#").next().unwrap_or_default();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    let first_cells = rows.map(|row| row.split('|').nth(1).unwrap_or_default());
    let names = first_cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    names.map(str::to_owned).filter(|name| name != "message" && name != "bulrushspan_…").collect()
}

#[test]
fn documented_log_messages_are_in_the_code() {
    let (source_text, messages) = (source_text(), documented_names("### Logs"));
    assert!(messages.len() > 15, "{messages:?}");
    let missing: Vec<&String> = messages
        .iter()
        .filter(|message| {
            !source_text.contains(&format!("\"{}", message.trim_end_matches('…').trim()))
        })
        .collect();
    assert!(missing.is_empty(), "not in the code: {missing:?}");
}

#[test]
fn documented_metrics_are_in_the_code() {
    let (source_text, metrics) = (source_text(), documented_names("### Metrics of these roles"));
    assert!(metrics.len() > 12, "{metrics:?}");
    let names = metrics.iter().map(|name| name.split('{').next().unwrap_or_default());
    let missing: Vec<&str> =
        names.filter(|name| !source_text.contains(&format!("\"{name}\""))).collect();
    assert!(missing.is_empty(), "not in the code: {missing:?}");
}
