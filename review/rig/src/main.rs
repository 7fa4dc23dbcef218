//! Runs one case of the review: `review-rig CASE RECORD`.

mod blamed;
mod fleet;
mod http;
mod late_order;
mod link_turn;
mod list_bytes;
mod memory;
mod record;
mod upload_memory;
mod upstreams;

use std::{path::Path, process::ExitCode};

use record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: review-rig CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = Record::create(Path::new(path)).and_then(|record| {
        record.say(&format!(
            "case {case}, {} the disruption",
            if has_trouble { "with" } else { "without" }
        ));
        let verdict = match case.as_str() {
            "link-turn" => link_turn::run(&record, has_trouble),
            "upload-memory" => upload_memory::run(&record, has_trouble),
            "late-order" => late_order::run(&record, has_trouble),
            "list-bytes" => list_bytes::run(&record, has_trouble),
            "blamed" => blamed::run(&record, has_trouble),
            _ => Err(std::io::Error::other("there is no such case")),
        };
        match &verdict {
            Ok(Verdict::Held) => record.say("the rule held"),
            Ok(Verdict::Broken) => record.say("THE RULE WAS BROKEN"),
            Err(error) => record.say(&format!("the case could not run: {error}")),
        }
        verdict
    });
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
