//! Plays the cases of the third review: `rig-3 CASE ROOT RECORD`.

mod cases;
mod client;
mod deployment;
mod http;

use std::{path::PathBuf, process::ExitCode, thread, time::Duration};

use deployment::Record;

/// The time after which a case is given up.
const TIME_MAX: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, record] = arguments.as_slice() else {
        eprintln!("usage: rig-3 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = PathBuf::from(root);
    let record = match Record::new(&PathBuf::from(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("can't write the record: {error}");
            return ExitCode::from(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(TIME_MAX);
        eprintln!("the case took too long");
        // The processes that it started end with this one.
        std::process::exit(2);
    });
    record.say(format!("case {case}, trouble: {has_trouble}"));
    let result = cases::play(case, &root, record.clone(), has_trouble);
    // Threads of stand-ins may still write.
    thread::sleep(Duration::from_millis(100));
    match result {
        Ok(None) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(finding)) => {
            record.say(format!("the rule was broken: {finding}"));
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
