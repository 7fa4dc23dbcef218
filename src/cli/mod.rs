//! Implements the commands of the `bulrushspan` program.
//!
//! The doc comments of the flag types are the texts of `--help`.

mod audit;
mod blocks;
mod check;
mod client;
mod demo;
mod explain;
mod instance;
mod lookup;
mod node;
mod preset;
mod serve;
mod stand_in;
mod status;
mod upstream;

use std::{future::Future, path::Path, process::ExitCode};

use argh::FromArgs;

/// Steers callers' requests between regions that cannot grow.
///
/// Exit status: 0 when all went well, 1 when something failed or was refused,
/// 2 when the flags or the settings are wrong.
#[derive(FromArgs)]
pub struct Flags {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Entry(node::EntryFlags),
    Control(node::ControlFlags),
    Serve(serve::ServeFlags),
    Check(check::CheckFlags),
    Demo(demo::DemoFlags),
    Preset(preset::PresetFlags),
    Upstream(upstream::UpstreamFlags),
    Instance(instance::InstanceFlags),
    Blocks(blocks::BlocksFlags),
    Status(status::StatusFlags),
    Audit(audit::AuditFlags),
    Lookup(lookup::LookupFlags),
    Explain(explain::ExplainFlags),
    StandIn(stand_in::StandInFlags),
}

/// Represents the failure of a command. The variant determines the exit status.
#[derive(Debug)]
enum CommandError {
    /// An operation failed or was refused.
    Failed(eyre::Report),
    /// The flags or the settings are invalid.
    Usage(eyre::Report),
}

impl From<eyre::Report> for CommandError {
    fn from(report: eyre::Report) -> Self {
        Self::Failed(report)
    }
}

type CommandResult = Result<(), CommandError>;

const EXIT_FAILURE: u8 = 1;
/// The exit status when the flags or the settings are invalid.
pub const EXIT_USAGE: u8 = 2;

/// Runs a command and returns the exit status of the process. An error is printed to stderr.
pub fn run(flags: Flags) -> ExitCode {
    let result = match flags.command {
        Subcommand::Entry(flags) => flags.run(),
        Subcommand::Control(flags) => flags.run(),
        Subcommand::Serve(flags) => block_on(flags.run()),
        Subcommand::Check(flags) => flags.run(),
        Subcommand::Demo(flags) => block_on(flags.run()),
        Subcommand::Preset(flags) => block_on(flags.run()),
        Subcommand::Upstream(flags) => block_on(flags.run()),
        Subcommand::Instance(flags) => block_on(flags.run()),
        Subcommand::Blocks(flags) => block_on(flags.run()),
        Subcommand::Status(flags) => block_on(flags.run()),
        Subcommand::Audit(flags) => block_on(flags.run()),
        Subcommand::Lookup(flags) => block_on(flags.run()),
        Subcommand::Explain(flags) => flags.run(),
        Subcommand::StandIn(flags) => block_on(flags.run()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Failed(report)) => print_error(&report, EXIT_FAILURE),
        Err(CommandError::Usage(report)) => print_error(&report, EXIT_USAGE),
    }
}

/// Returns the message for a settings file or log that can't be read. The error of the
/// operating system follows it.
fn unreadable_file(path: &Path) -> String {
    format!("can't read {}; it must be a readable text file", path.display())
}

fn print_error(report: &eyre::Report, status: u8) -> ExitCode {
    eprintln!("{report:#}");
    ExitCode::from(status)
}

fn block_on(command: impl Future<Output = CommandResult>) -> CommandResult {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(eyre::Report::from)?;
    let result = runtime.block_on(command);
    runtime.shutdown_background();
    result
}
