//! Defines the commands. Each flag is documented where it is defined.

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

use std::{future::Future, process::ExitCode};

use argh::FromArgs;

/// Steers callers' requests between regions that cannot grow.
///
/// Exit status: 0 when all went well, 1 when something failed or was refused,
/// 2 when the flags or the settings are wrong.
#[derive(FromArgs)]
pub struct Flags {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Entry(node::Entry),
    Control(node::Control),
    Serve(serve::Serve),
    Check(check::Check),
    Demo(demo::Demo),
    Preset(preset::PresetFlags),
    Upstream(upstream::UpstreamFlags),
    Instance(instance::InstanceFlags),
    Blocks(blocks::BlocksFlags),
    Status(status::StatusFlags),
    Audit(audit::AuditFlags),
    Lookup(lookup::LookupFlags),
    Explain(explain::Explain),
    StandIn(stand_in::StandInFlags),
}

/// Says how a command ended when it did not end well.
#[derive(Debug)]
enum Failure {
    /// Something failed or was refused.
    Failed(eyre::Report),
    /// The flags or the settings are wrong.
    Usage(eyre::Report),
}

impl From<eyre::Report> for Failure {
    fn from(report: eyre::Report) -> Self {
        Self::Failed(report)
    }
}

type CommandResult = Result<(), Failure>;

const EXIT_FAILED: u8 = 1;
/// The exit status when the flags or the settings are wrong.
pub const EXIT_USAGE: u8 = 2;

/// Runs a command and returns the process's exit status.
pub fn run(flags: Flags) -> ExitCode {
    let ended = match flags.command {
        Command::Entry(flags) => flags.run(),
        Command::Control(flags) => flags.run(),
        Command::Serve(flags) => block_on(flags.run()),
        Command::Check(flags) => flags.run(),
        Command::Demo(flags) => block_on(flags.run()),
        Command::Preset(flags) => block_on(flags.run()),
        Command::Upstream(flags) => block_on(flags.run()),
        Command::Instance(flags) => block_on(flags.run()),
        Command::Blocks(flags) => block_on(flags.run()),
        Command::Status(flags) => block_on(flags.run()),
        Command::Audit(flags) => block_on(flags.run()),
        Command::Lookup(flags) => block_on(flags.run()),
        Command::Explain(flags) => flags.run(),
        Command::StandIn(flags) => block_on(flags.run()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Failed(report)) => fail(&report, EXIT_FAILED),
        Err(Failure::Usage(report)) => fail(&report, EXIT_USAGE),
    }
}

fn fail(report: &eyre::Report, status: u8) -> ExitCode {
    eprintln!("{report:#}");
    ExitCode::from(status)
}

fn block_on(command: impl Future<Output = CommandResult>) -> CommandResult {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(eyre::Report::from)?;
    let ended = runtime.block_on(command);
    runtime.shutdown_background();
    ended
}
