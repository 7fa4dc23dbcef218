//! Parses the flags and hands them to the commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    bulrushspan::cli::run(argh::from_env())
}
