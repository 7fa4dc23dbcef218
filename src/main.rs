//! Parses the flags and runs the command that they name.

use std::{env, process::ExitCode};

use argh::FromArgs;
use bulrushspan::cli::{EXIT_USAGE, Flags, run};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match Flags::from_args(&["bulrushspan"], args.get(1..).unwrap_or_default()) {
        Ok(flags) => run(flags),
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            ExitCode::SUCCESS
        }
        Err(early) => {
            eprintln!(
                "{}\nbulrushspan --help lists the commands, bulrushspan COMMAND --help its flags",
                early.output.trim_end()
            );
            ExitCode::from(EXIT_USAGE)
        }
    }
}
