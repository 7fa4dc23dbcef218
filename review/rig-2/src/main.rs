//! The stand-ins and scripts of the second review. Usage: `rig-2 CASE RECORD`, where `RECORD` is
//! the file to write; the environment gives `RIG_BINARY` and `TROUBLE`.

mod big_log;
mod big_message;
mod client;
mod copied_entry;
mod deltas;
mod fleet;
mod http;
mod memory;
mod servers;
mod store_gap;

use std::path::Path;

use fleet::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: rig-2 CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(Path::new(path));
    record
        .line(format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let result = std::panic::catch_unwind(|| play(case, &record, trouble)).unwrap_or(2);
    let text = match result {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    };
    record.line(format!("{text} (exit {result}, {:.1} s)", record.elapsed().as_secs_f64()));
    std::process::exit(result);
}

fn play(case: &str, record: &Record, trouble: bool) -> i32 {
    match case {
        "store-gap" => store_gap::run(record.clone(), trouble),
        "big-message" => big_message::run(record.clone(), trouble),
        "big-log" => big_log::run(record.clone(), trouble),
        "deltas" => deltas::run(record.clone(), trouble),
        "copied-entry" => copied_entry::run(record.clone(), trouble),
        _ => 2,
    }
}
