//! Explains a request from logs.

use std::{
    fs::File,
    io::{BufRead, BufReader, stdin},
    path::PathBuf,
};

use argh::FromArgs;
use eyre::{WrapErr, eyre};

use super::{CommandResult, Failure};
use crate::explain::{Line, tell};

/// Explains what became of a request, from the log lines of all processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(super) struct Explain {
    /// the request's id
    #[argh(positional)]
    request: String,

    /// the files that hold log lines; without any, standard input
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// The most unreadable lines that are named one by one.
const NAMED_BAD_LINES: usize = 5;

impl Explain {
    pub(super) fn run(self) -> CommandResult {
        let mut lines = Vec::new();
        if self.files.is_empty() {
            read("standard input", stdin().lock(), &mut lines)?;
        }
        for path in &self.files {
            let name = path.display().to_string();
            let file = File::open(path).wrap_err_with(|| format!("can't read {name}"));
            read(&name, BufReader::new(file.map_err(Failure::Usage)?), &mut lines)?;
        }
        let story = tell(&self.request, lines);
        println!("{story}");
        for bad in story.bad_lines.iter().take(NAMED_BAD_LINES) {
            eprintln!("{bad}");
        }
        if !story.bad_lines.is_empty() {
            eprintln!("{} lines could not be read", story.bad_lines.len());
        }
        if story.steps.is_empty() {
            return Err(Failure::Failed(eyre!("no line names the request {}", self.request)));
        }
        Ok(())
    }
}

fn read(
    source: &str,
    from: impl BufRead,
    lines: &mut Vec<Result<Option<Line>, crate::explain::BadLine>>,
) -> CommandResult {
    for (index, line) in from.split(b'\n').enumerate() {
        let line = line.wrap_err_with(|| format!("can't read {source}"))?;
        lines.push(Line::read(source, index + 1, &String::from_utf8_lossy(&line)));
    }
    Ok(())
}
