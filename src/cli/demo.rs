//! Implements the `demo` command.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use eyre::eyre;

use super::{CommandError, CommandResult};
use crate::{demo, settings};

/// Runs a whole deployment on loopback in one process, with small upstreams,
/// sends requests through it, changes the preset, drains an upstream and
/// prints what was seen. It ends by itself within a minute, with status 0
/// only if every promise that it checks held.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub(super) struct DemoFlags {
    /// the settings of the deployment; its addresses and files are replaced
    /// by free ones. The built-in one by default
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// The settings that are used without `--settings`.
const BUILT_IN_SETTINGS: &str = include_str!("../../examples/settings/demo.jsonc");

impl DemoFlags {
    pub(super) async fn run(self) -> CommandResult {
        let settings = match &self.settings {
            Some(path) => settings::load(path),
            None => settings::parse("built-in", BUILT_IN_SETTINGS, Path::new("")),
        };
        let settings = settings.map_err(|findings| CommandError::Usage(findings.into()))?;
        let report = demo::run(settings).await?;
        print!("{report}");
        if report.all_passed() {
            return Ok(());
        }
        Err(eyre!("a promise did not hold; see above").into())
    }
}
