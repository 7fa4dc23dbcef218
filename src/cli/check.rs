//! Implements the `check` command.

use std::{fs, path::PathBuf};

use argh::FromArgs;
use eyre::{WrapErr, eyre};

use super::{CommandError, CommandResult, unreadable_file};
use crate::{platform::node_file, settings};

/// Checks a settings file of either kind and reports what is wrong, each
/// finding with its place. Nothing is started.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(super) struct CheckFlags {
    /// the settings file
    #[argh(positional)]
    file: Option<PathBuf>,

    /// the settings file, as other commands name it
    #[argh(option)]
    settings: Option<PathBuf>,
}

impl CheckFlags {
    pub(super) fn run(self) -> CommandResult {
        let Some(path) = self.file.or(self.settings) else {
            return Err(CommandError::Usage(eyre!(
                "no settings file was given; name the one to check"
            )));
        };
        let file = path.display();
        let text = fs::read_to_string(&path).wrap_err_with(|| unreadable_file(&path));
        let text = text.map_err(CommandError::Usage)?;
        if node_file::is_node_file(&text) {
            let decode_result = node_file::decode(&text);
            let node = decode_result.map_err(|findings| {
                CommandError::Usage(eyre!(format_findings(&path, &findings)))
            })?;
            let (instance, zone, seeds) = (&node.instance, &node.zone, node.seeds.len());
            println!("{file}: sound: instance {instance} in {zone}, {seeds} seeds");
            return Ok(());
        }
        let settings =
            settings::load(&path).map_err(|findings| CommandError::Usage(findings.into()))?;
        println!(
            "{file}: sound: {} regions, {} instances ({} control replicas), {} services, {} \
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

fn format_findings(path: &std::path::Path, findings: &[String]) -> String {
    let lines: Vec<String> =
        findings.iter().map(|finding| format!("{}: {finding}", path.display())).collect();
    lines.join("\n")
}
