//! Implements the `preset` commands.

use std::{fs, path::PathBuf};

use argh::FromArgs;
use eyre::{WrapErr, eyre};
use reqwest::Method;
use serde::Serialize;

use super::{
    CommandError, CommandResult,
    client::{ChangeCall, change_command, operator_command, print_json},
};
use crate::{core::control::Preset, net::wire::Presets};

/// Lists, shows, puts and uses presets.
#[derive(FromArgs)]
#[argh(subcommand, name = "preset")]
pub(super) struct PresetFlags {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    List(List),
    Show(Show),
    Put(Put),
    Use(Use),
}

operator_command! {
    /// Lists the presets and marks the one in force.
    List as "list" {}
}

operator_command! {
    /// Shows one preset; with --json in the form that `put` takes.
    Show as "show" {
        /// the preset
        #[argh(positional)]
        name: String,
    }
}

change_command! {
    /// Adds or replaces a preset.
    Put as "put" {
        /// the preset
        #[argh(positional)]
        name: String,
        /// a file with the preset as JSON, in the form that `show --json` prints
        #[argh(positional)]
        file: PathBuf,
    }
}

change_command! {
    /// Puts a preset in force. Callers are shifted to it step by step.
    Use as "use" {
        /// the preset
        #[argh(positional)]
        name: String,
    }
}

/// Represents the body of a request that puts a preset in force.
#[derive(Serialize)]
struct UsePresetBody<'a> {
    name: &'a str,
}

impl PresetFlags {
    pub(super) async fn run(self) -> CommandResult {
        match self.action {
            Action::List(flags) => flags.run().await,
            Action::Show(flags) => flags.run().await,
            Action::Put(flags) => flags.run().await,
            Action::Use(flags) => flags.run().await,
        }
    }
}

impl List {
    async fn run(self) -> CommandResult {
        let presets: Presets = self.client()?.get("/v1/presets").await?;
        if self.json {
            return Ok(print_json(&presets)?);
        }
        println!("revision {}", presets.revision);
        for name in presets.presets.keys() {
            let mark = if *name == presets.in_force { "in force" } else { "" };
            println!("{name:24} {mark}");
        }
        Ok(())
    }
}

impl Show {
    async fn run(self) -> CommandResult {
        let presets: Presets = self.client()?.get("/v1/presets").await?;
        let preset = presets.presets.get(&self.name).ok_or_else(|| {
            let known_names: Vec<&String> = presets.presets.keys().collect();
            eyre!("there is no preset `{}`; there are: {known_names:?}", self.name)
        })?;
        if self.json {
            return Ok(print_json(preset)?);
        }
        println!("callers of        go to");
        for (home, row) in &preset.shares {
            let shares: Vec<String> =
                row.iter().map(|(region, share)| format!("{region} {share}")).collect();
            println!("{home:16}  {} (permille)", shares.join(", "));
        }
        println!(
            "a step moves {} permille at most every {} ms and keeps {} permille of slots free",
            preset.shift.cap_permille, preset.shift.interval_ms, preset.shift.headroom_permille
        );
        Ok(())
    }
}

impl Put {
    async fn run(self) -> CommandResult {
        let text = fs::read_to_string(&self.file)
            .wrap_err_with(|| {
                format!("can't read {}; name a file with a preset as JSON", self.file.display())
            })
            .map_err(CommandError::Usage)?;
        let preset: Preset = serde_json::from_str(&text)
            .wrap_err_with(|| {
                format!(
                    "{}: not a preset; see `preset show --json` for the form",
                    self.file.display()
                )
            })
            .map_err(CommandError::Usage)?;
        let path = format!("/v1/presets/{}", self.name);
        let change = ChangeCall { method: Method::PUT, path: &path, body: Some(&preset) };
        self.client()?.change(change, self.change_flags()).await
    }
}

impl Use {
    async fn run(self) -> CommandResult {
        let body = UsePresetBody { name: &self.name };
        let change =
            ChangeCall { method: Method::PUT, path: "/v1/preset-in-force", body: Some(&body) };
        self.client()?.change(change, self.change_flags()).await
    }
}
