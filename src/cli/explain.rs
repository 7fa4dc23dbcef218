//! Implements the `explain` command.

use std::{
    fs::File,
    io::{BufRead, BufReader, stdin},
    path::PathBuf,
};

use argh::FromArgs;
use eyre::{WrapErr, eyre};

use super::{CommandError, CommandResult, unreadable_file};
use crate::explain::{LineError, LogLine, explain_request};

/// Explains what became of a request, from the log lines of all processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(super) struct ExplainFlags {
    /// the request's id
    #[argh(positional)]
    request: String,

    /// the files that hold log lines; without any, standard input
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// The maximum number of unreadable lines that are reported one by one. The others are only
/// counted.
const MAX_PRINTED_ERRORS: usize = 5;

impl ExplainFlags {
    pub(super) fn run(self) -> CommandResult {
        let mut lines = Vec::new();
        if self.files.is_empty() {
            read_lines("standard input", stdin().lock(), &mut lines)?;
        }
        for path in &self.files {
            let name = path.display().to_string();
            let file = File::open(path).wrap_err_with(|| unreadable_file(path));
            read_lines(&name, BufReader::new(file.map_err(CommandError::Usage)?), &mut lines)?;
        }
        let explanation = explain_request(&self.request, lines);
        println!("{explanation}");
        for error in explanation.line_errors.iter().take(MAX_PRINTED_ERRORS) {
            eprintln!("{error}");
        }
        if !explanation.line_errors.is_empty() {
            eprintln!("{} lines could not be read", explanation.line_errors.len());
        }
        if explanation.steps.is_empty() {
            return Err(CommandError::Failed(eyre!(
                "no line names the request {}; check its id and give the logs of all processes",
                self.request
            )));
        }
        Ok(())
    }
}

/// Parses all lines of a source and appends them to `lines`.
fn read_lines(
    source: &str,
    reader: impl BufRead,
    lines: &mut Vec<Result<Option<LogLine>, LineError>>,
) -> CommandResult {
    for (index, line) in reader.split(b'\n').enumerate() {
        let line = line.wrap_err_with(|| format!("can't read {source}"))?;
        lines.push(LogLine::parse(source, index + 1, &String::from_utf8_lossy(&line)));
    }
    Ok(())
}
