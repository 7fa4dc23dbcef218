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

use super::{CommandResult, Failure};
use crate::{
    platform::node_file,
    runtime::{ControlNode, DroppedLines, EntryNode, MetricsConfig, start_logs, stop_signal},
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

    /// the port on which metrics are served; without it, there are none
    #[argh(option)]
    metrics_port: Option<u16>,
}

/// Runs a control replica until SIGTERM: the replicated state, the directory
/// and the operators' calls.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
pub(super) struct Control {
    /// the settings file; the default is the one that the environment names
    #[argh(option)]
    settings: Option<PathBuf>,

    /// the port on which metrics are served; without it, there are none
    #[argh(option)]
    metrics_port: Option<u16>,
}

impl Entry {
    pub(super) fn run(self) -> CommandResult {
        let file = SettingsFile::open(self.settings)?;
        block_on(async |dropped| {
            let exposed = MetricsConfig { metrics_port: self.metrics_port, dropped };
            let started = EntryNode::start(file.settings.clone(), exposed).await;
            let node = started.map_err(eyre::Report::from)?;
            let stopped = reload_until_stopped(file, |settings| node.reload(settings)).await;
            stopped.map_err(eyre::Report::from)?;
            node.stop().await;
            Ok(())
        })
    }
}

impl Control {
    pub(super) fn run(self) -> CommandResult {
        let file = SettingsFile::open(self.settings)?;
        block_on(async |dropped| {
            let exposed = MetricsConfig { metrics_port: self.metrics_port, dropped };
            let started = ControlNode::start(file.settings.clone(), exposed).await;
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
const RELOAD_INTERVAL: Duration = Duration::from_secs(3);

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
            () = tokio::time::sleep(RELOAD_INTERVAL) => {}
        }
        if file.has_changed() {
            reload(&file.settings);
        }
    }
}

impl SettingsFile {
    fn open(path: Option<PathBuf>) -> Result<Self, Failure> {
        let named = path.or_else(|| env::var_os(node_file::PATH_VARIABLE).map(PathBuf::from));
        let Some(path) = named else {
            let variable = node_file::PATH_VARIABLE;
            return Err(Failure::Usage(eyre!(
                "name a settings file with --settings or {variable}"
            )));
        };
        let settings = read(&path).map_err(Failure::Usage)?;
        Ok(Self { path, settings })
    }

    /// Reads the file again and tells whether it says something new. One that
    /// can't be used is reported and changes nothing.
    fn has_changed(&mut self) -> bool {
        match read(&self.path) {
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

fn read(path: &Path) -> Result<NodeSettings, eyre::Report> {
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
    let ended = runtime.block_on(LocalSet::new().run_until(command(logs.dropped.clone())));
    runtime.shutdown_background();
    ended
}
