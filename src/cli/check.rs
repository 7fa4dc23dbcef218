//! Checks a settings file.

use std::path::PathBuf;

use argh::FromArgs;

use super::{CommandResult, Failure};
use crate::settings;

/// Checks a settings file and reports all findings, each as
/// FILE:LINE:COLUMN. Nothing is started.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(super) struct Check {
    /// the settings file
    #[argh(option)]
    settings: PathBuf,
}

impl Check {
    pub(super) fn run(self) -> CommandResult {
        let settings =
            settings::load(&self.settings).map_err(|findings| Failure::Usage(findings.into()))?;
        let upstreams = settings.topology.upstreams().count();
        println!(
            "{}: sound: {} regions, {} instances ({} control replicas), {} services, {} \
             upstreams, {} blocks, {} presets",
            self.settings.display(),
            settings.topology.regions.len(),
            settings.instances.len(),
            settings.control_instances().len(),
            settings.topology.services.len(),
            upstreams,
            settings.blocks.len(),
            settings.presets.len(),
        );
        Ok(())
    }
}
