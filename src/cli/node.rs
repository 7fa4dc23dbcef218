//! Runs the roles that are told only of themselves and of a few control
//! replicas.

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

use super::{CommandError, CommandResult};
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
        block_on(async |dropped| {
            let metrics = MetricsConfig { metrics_port: self.metrics_port, dropped };
            let started = EntryNode::start(file.settings.clone(), metrics).await;
            let node = started.map_err(eyre::Report::from)?;
            let stopped = reload_until_stopped(file, |settings| node.reload(settings)).await;
            stopped.map_err(eyre::Report::from)?;
            node.stop().await;
            Ok(())
        })
    }
}

impl ControlFlags {
    pub(super) fn run(self) -> CommandResult {
        let file = SettingsFile::open(self.settings)?;
        block_on(async |dropped| {
            let metrics = MetricsConfig { metrics_port: self.metrics_port, dropped };
            let started = ControlNode::start(file.settings.clone(), metrics).await;
            let node = started.map_err(eyre::Report::from)?;
            let stopped = reload_until_stopped(file, |settings| node.reload(settings)).await;
            stopped.map_err(eyre::Report::from)?;
            node.stop();
            Ok(())
        })
    }
}

/// Holds the settings file that a process was started with.
struct SettingsFile {
    path: PathBuf,
    settings: NodeSettings,
}

/// How often it is looked whether the settings file changed without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(3);

/// Takes over the settings whenever their file changed, until a signal asks
/// the process to stop.
async fn reload_until_stopped(
    mut file: SettingsFile,
    reload: impl Fn(&NodeSettings),
) -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let stop = stop_signal();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            stopped = &mut stop => return stopped,
            _ = hangup.recv() => info!("SIGHUP: the settings file is read again"),
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
        if file.reread() {
            reload(&file.settings);
        }
    }
}

impl SettingsFile {
    fn open(path: Option<PathBuf>) -> Result<Self, CommandError> {
        let path = path.or_else(|| env::var_os(node_file::PATH_VARIABLE).map(PathBuf::from));
        let Some(path) = path else {
            let variable = node_file::PATH_VARIABLE;
            return Err(CommandError::Usage(eyre!(
                "name a settings file with --settings or {variable}"
            )));
        };
        let settings = read_settings(&path).map_err(CommandError::Usage)?;
        Ok(Self { path, settings })
    }

    /// Reads the file again and tells whether it says something new. One that
    /// can't be used is reported and changes nothing.
    fn reread(&mut self) -> bool {
        match read_settings(&self.path) {
            Ok(settings) if settings != self.settings => {
                self.settings = settings;
                true
            }
            Ok(_) => false,
            Err(error) => {
                warn!(error = format!("{error:#}"), "the settings in use stay in force");
                false
            }
        }
    }
}

fn read_settings(path: &Path) -> Result<NodeSettings, eyre::Report> {
    let text =
        fs::read_to_string(path).wrap_err_with(|| format!("can't read {}", path.display()))?;
    node_file::decode(&text)
        .map_err(|findings| eyre!("{}: {}", path.display(), findings.join("; ")))
}

/// Runs on one thread: these roles get a part of one core.
fn block_on(command: impl AsyncFnOnce(DroppedLines) -> CommandResult) -> CommandResult {
    let logs = start_logs().map_err(eyre::Report::from)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(eyre::Report::from)?;
    let result = runtime.block_on(LocalSet::new().run_until(command(logs.dropped.clone())));
    runtime.shutdown_background();
    result
}
