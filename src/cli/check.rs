//! Checks a settings file.

use std::{fs, path::PathBuf};

use argh::FromArgs;
use eyre::{WrapErr, eyre};

use super::{CommandResult, Failure};
use crate::{platform::node_file, settings};

/// Checks a settings file of either kind and reports what is wrong, each
/// finding with its place. Nothing is started.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(super) struct Check {
    /// the settings file
    #[argh(positional)]
    file: Option<PathBuf>,

    /// the settings file, as other commands name it
    #[argh(option)]
    settings: Option<PathBuf>,
}

impl Check {
    pub(super) fn run(self) -> CommandResult {
        let Some(path) = self.file.or(self.settings) else {
            return Err(Failure::Usage(eyre!("name the settings file to check")));
        };
        let shown = path.display();
        let text = fs::read_to_string(&path).wrap_err_with(|| format!("can't read {shown}"));
        let text = text.map_err(Failure::Usage)?;
        if node_file::is_node_file(&text) {
            let found = node_file::decode(&text);
            let node = found.map_err(|found| Failure::Usage(eyre!(listed(&path, &found))))?;
            let (instance, zone, seeds) = (&node.instance, &node.zone, node.seeds.len());
            println!("{shown}: sound: instance {instance} in {zone}, {seeds} seeds");
            return Ok(());
        }
        let settings = settings::load(&path).map_err(|found| Failure::Usage(found.into()))?;
        println!(
            "{shown}: sound: {} regions, {} instances ({} control replicas), {} services, {} \
             upstreams, {} blocks, {} presets",
            settings.topology.regions.len(),
            settings.instances.len(),
            settings.control_instances().len(),
            settings.topology.services.len(),
            settings.topology.upstreams().count(),
            settings.blocks.len(),
            settings.presets.len(),
        );
        Ok(())
    }
}

fn listed(path: &std::path::Path, findings: &[String]) -> String {
    let lines: Vec<String> =
        findings.iter().map(|found| format!("{}: {found}", path.display())).collect();
    lines.join("\n")
}
