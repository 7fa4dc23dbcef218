//! Implements the `serve` command.

use std::{path::PathBuf, sync::Arc};

use argh::FromArgs;
use eyre::eyre;
use tracing_subscriber::EnvFilter;

use super::{CommandError, CommandResult};
use crate::{
    runtime::{Instance, stop_signal},
    settings,
};

/// Runs one instance until it is told to stop by SIGTERM or SIGINT. A stop
/// lets requests in flight finish; a second signal does not cut it short, the
/// settings' `stop_limit_ms` does.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub(super) struct ServeFlags {
    /// the settings file, the same one for all instances of a deployment
    #[argh(option)]
    settings: PathBuf,
    /// the instance of the settings to run
    #[argh(option)]
    instance: String,
    /// how to log: text or json; RUST_LOG selects what
    #[argh(option, default = "String::from(\"text\")")]
    log_format: String,
}

impl ServeFlags {
    pub(super) async fn run(self) -> CommandResult {
        let settings = settings::load(&self.settings)
            .map_err(|findings| CommandError::Usage(findings.into()))?;
        init_logging(&self.log_format)?;
        let mut instance = Instance::start(Arc::new(settings), &self.instance)
            .await
            .map_err(|error| CommandError::Usage(error.into()))?;
        tokio::select! {
            signal = stop_signal() => signal.map_err(eyre::Report::from)?,
            is_planned = instance.wait_stopped() => return stop_result(is_planned),
        }
        instance.stop();
        stop_result(instance.wait_stopped().await)
    }
}

fn stop_result(is_planned: bool) -> CommandResult {
    if is_planned {
        return Ok(());
    }
    Err(eyre!(
        "the control replica stopped because its data folder could not be written or a snapshot \
         could not be decoded; see the log, repair the cause and start again"
    )
    .into())
}

fn init_logging(format: &str) -> CommandResult {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match format {
        "text" => logs.init(),
        "json" => logs.json().init(),
        other => {
            return Err(CommandError::Usage(eyre!("--log-format is `{other}`; use text or json")));
        }
    }
    Ok(())
}
