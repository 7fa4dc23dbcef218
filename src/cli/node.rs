//! Runs the roles that are told only of themselves and of a few control
//! replicas.

use std::{env, fs, path::PathBuf};

use argh::FromArgs;
use eyre::{WrapErr, eyre};
use tokio::task::LocalSet;

use super::{CommandResult, Failure};
use crate::{
    platform::node_file,
    runtime::{ControlNode, EntryNode, stop_signal},
    settings::NodeSettings,
};

/// Runs an entry instance until SIGTERM: takes callers' requests and sends
/// each to an upstream.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub(super) struct Entry {
    /// the settings file; the default is the one that the environment names
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// Runs a control replica until SIGTERM: the replicated state, the directory
/// and the operators' calls.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
pub(super) struct Control {
    /// the settings file; the default is the one that the environment names
    #[argh(option)]
    settings: Option<PathBuf>,
}

impl Entry {
    pub(super) fn run(self) -> CommandResult {
        let settings = load(self.settings)?;
        block_on(async {
            let node = EntryNode::start(settings).await.map_err(eyre::Report::from)?;
            stop_signal().await.map_err(eyre::Report::from)?;
            node.stop().await;
            Ok(())
        })
    }
}

impl Control {
    pub(super) fn run(self) -> CommandResult {
        let settings = load(self.settings)?;
        block_on(async {
            let mut node = ControlNode::start(settings).await.map_err(eyre::Report::from)?;
            tokio::select! {
                signal = stop_signal() => signal.map_err(eyre::Report::from)?,
                () = node.failed() => return Err(eyre!("the data folder failed; see the log").into()),
            }
            Ok(())
        })
    }
}

fn load(path: Option<PathBuf>) -> Result<NodeSettings, Failure> {
    let named = path.or_else(|| env::var_os(node_file::PATH_VARIABLE).map(PathBuf::from));
    let Some(path) = named else {
        let variable = node_file::PATH_VARIABLE;
        return Err(Failure::Usage(eyre!("name a settings file with --settings or {variable}")));
    };
    let text = fs::read_to_string(&path)
        .wrap_err_with(|| format!("can't read {}", path.display()))
        .map_err(Failure::Usage)?;
    node_file::decode(&text)
        .map_err(|findings| Failure::Usage(eyre!("{}: {}", path.display(), findings.join("; "))))
}

/// Runs on one thread: these roles get a part of one core.
fn block_on(command: impl Future<Output = CommandResult>) -> CommandResult {
    start_logs();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(eyre::Report::from)?;
    let ended = runtime.block_on(LocalSet::new().run_until(command));
    runtime.shutdown_background();
    ended
}

fn start_logs() {
    tracing_subscriber::fmt().json().with_writer(std::io::stdout).init();
}
