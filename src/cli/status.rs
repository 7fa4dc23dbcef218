//! Implements the `status` command.

use std::fmt::Write;

use super::{
    CommandResult,
    client::{operator_command, print_json},
};
use crate::{core::control::InstanceState, net::wire::ControlStatus};

operator_command! {
    /// Shows the control state as of now: the preset in force, the instances
    /// that lag, the shares, the control replicas.
    StatusFlags as "status" {}
}

impl StatusFlags {
    pub(super) async fn run(self) -> CommandResult {
        let status: ControlStatus = self.client()?.get("/v1/status").await?;
        if self.json {
            return Ok(print_json(&status)?);
        }
        print!("{}", render(&status));
        Ok(())
    }
}

fn render(status: &ControlStatus) -> String {
    let mut text = String::new();
    let everywhere = if status.in_force_everywhere { "everywhere" } else { "not yet everywhere" };
    let _ = writeln!(
        text,
        "preset {} in force {everywhere}, revision {}, version {}",
        status.in_force, status.revision, status.version
    );
    let _ = writeln!(text, "key epoch {}, {} claims held", status.key_epoch, status.claims);
    let _ = writeln!(text, "\ncallers of        are served by");
    for (home, layout) in &status.layouts {
        let shares: Vec<String> = layout
            .shares()
            .iter()
            .map(|(region, share)| format!("{region} {}.{}%", share / 10, share % 10))
            .collect();
        let _ = writeln!(text, "{home:16}  {}", shares.join(", "));
    }
    let _ = writeln!(text, "\ninstance          state     version  slots used/usable  waiting");
    for (name, instance) in &status.instances {
        let state = match (&instance.state, instance.leaving) {
            (InstanceState::Down, _) => "down",
            (InstanceState::Stopping { .. }, _) => "stopping",
            (InstanceState::Live { .. }, true) => "leaving",
            (InstanceState::Live { .. }, false) => "live",
        };
        let version = instance.version.map_or("-".to_owned(), |version| version.to_string());
        let lag_mark = if instance.lags { " lags" } else { "" };
        let used: u32 = instance.load.services.values().map(|load| load.used_slots).sum();
        let usable: u32 = instance.load.services.values().map(|load| load.usable_slots).sum();
        let waiting: u32 = instance.load.services.values().map(|load| load.waiting).sum();
        let slots = format!("{used}/{usable}");
        let _ =
            writeln!(text, "{name:16}  {state:8}  {version:7}  {slots:17}  {waiting}{lag_mark}");
    }
    if !status.drained.is_empty() {
        let _ = writeln!(text, "\ndrained: {}", status.drained.join(", "));
    }
    let _ = writeln!(text, "\ncontrol replica   vote  leads  matched (term {})", status.term);
    for replica in &status.replicas {
        let vote = if replica.voter { "yes" } else { "no" };
        let leader_mark = if replica.leads { "yes" } else { "" };
        let _ = writeln!(
            text,
            "{:16}  {vote:4}  {leader_mark:5}  {}",
            replica.instance, replica.matched
        );
    }
    text
}
