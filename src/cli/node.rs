//! Implements the `entry` and `control` commands.
//!
//! These commands read a settings file in the platform's format. It describes only the
//! instance itself and names a few control replicas to contact first, the seeds.

use std::{
    env, fs,
    path::{Path, PathBuf},
    time::Duration,
};

use argh::FromArgs;
use eyre::{WrapErr, eyre};
use tokio::{
    signal::unix::{SignalKind, signal},
    task::LocalSet,
};
use tracing::{info, warn};

use super::{CommandError, CommandResult, unreadable_file};
use crate::{
    platform::node_file,
    runtime::{ControlNode, DroppedLines, EntryNode, MetricsConfig, start_logs, stop_signal},
    settings::NodeSettings,
};

/// Runs an entry instance until SIGTERM: takes callers' requests and sends
/// each to an upstream.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub(super) struct EntryFlags {
    /// the settings file; the default is the one that the environment names
    #[argh(option)]
    settings: Option<PathBuf>,

    /// the port on which metrics are served; without it, there are none
    #[argh(option)]
    metrics_port: Option<u16>,
}

/// Runs a control replica until SIGTERM: the replicated state, the directory
/// and the operators' calls.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
pub(super) struct ControlFlags {
    /// the settings file; the default is the one that the environment names
    #[argh(option)]
    settings: Option<PathBuf>,

    /// the port on which metrics are served; without it, there are none
    #[argh(option)]
    metrics_port: Option<u16>,
}

impl EntryFlags {
    pub(super) fn run(self) -> CommandResult {
        let file = SettingsFile::open(self.settings)?;
        block_on(async |dropped_lines| {
            let metrics = MetricsConfig { metrics_port: self.metrics_port, dropped_lines };
            let start_result = EntryNode::start(file.settings.clone(), metrics).await;
            let node = start_result.wrap_err_with(|| file.start_failure())?;
            let reload_result = reload_until_stopped(file, |settings| node.reload(settings)).await;
            reload_result.map_err(eyre::Report::from)?;
            node.stop().await;
            Ok(())
        })
    }
}

impl ControlFlags {
    pub(super) fn run(self) -> CommandResult {
        let file = SettingsFile::open(self.settings)?;
        block_on(async |dropped_lines| {
            let metrics = MetricsConfig { metrics_port: self.metrics_port, dropped_lines };
            let start_result = ControlNode::start(file.settings.clone(), metrics).await;
            let node = start_result.wrap_err_with(|| file.start_failure())?;
            let reload_result = reload_until_stopped(file, |settings| node.reload(settings)).await;
            reload_result.map_err(eyre::Report::from)?;
            node.stop().await;
            Ok(())
        })
    }
}

/// Represents the settings file of this process, with the settings in use.
struct SettingsFile {
    path: PathBuf,
    settings: NodeSettings,
}

/// How often the settings file is read again if no SIGHUP is received.
const POLL_INTERVAL: Duration = Duration::from_secs(3);

/// Calls `reload` whenever the settings file has changed, until a signal asks the
/// process to stop.
async fn reload_until_stopped(
    mut file: SettingsFile,
    reload: impl Fn(&NodeSettings),
) -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let stop = stop_signal();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            result = &mut stop => return result,
            _ = hangup.recv() => info!("received SIGHUP; reading the settings file again"),
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
        if file.reread() {
            reload(&file.settings);
        }
    }
}

impl SettingsFile {
    /// Reads the file at `path`, or the one that the environment variable names if there
    /// is no `path`.
    fn open(path: Option<PathBuf>) -> Result<Self, CommandError> {
        let path = path.or_else(|| env::var_os(node_file::PATH_VARIABLE).map(PathBuf::from));
        let Some(path) = path else {
            let variable = node_file::PATH_VARIABLE;
            return Err(CommandError::Usage(eyre!(
                "no settings file was given; name one with --settings or in {variable}"
            )));
        };
        let settings = read_settings(&path).map_err(CommandError::Usage)?;
        Ok(Self { path, settings })
    }

    /// Returns the message for a failed start with this file. The cause follows it.
    fn start_failure(&self) -> String {
        format!("can't start with the settings file {}", self.path.display())
    }

    /// Reads the file again and returns whether the settings changed. If the file is
    /// invalid or unreadable, that is logged and the settings in use stay in force.
    fn reread(&mut self) -> bool {
        match read_settings(&self.path) {
            Ok(settings) if settings != self.settings => {
                self.settings = settings;
                true
            }
            Ok(_) => false,
            Err(error) => {
                warn!(
                    error = format!("{error:#}"),
                    "can't use the settings file; the settings in use stay in force"
                );
                false
            }
        }
    }
}

fn read_settings(path: &Path) -> Result<NodeSettings, eyre::Report> {
    let text = fs::read_to_string(path).wrap_err_with(|| unreadable_file(path))?;
    node_file::decode(&text)
        .map_err(|findings| eyre!("{}: {}", path.display(), findings.join("; ")))
}

/// Runs a command on one thread, since these instances get only a part of one core.
fn block_on(command: impl AsyncFnOnce(DroppedLines) -> CommandResult) -> CommandResult {
    let logs = start_logs().map_err(eyre::Report::from)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(eyre::Report::from)?;
    let result = runtime.block_on(LocalSet::new().run_until(command(logs.dropped_lines.clone())));
    runtime.shutdown_background();
    result
}
