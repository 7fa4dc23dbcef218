//! Implements the `instance` commands.

use argh::FromArgs;
use reqwest::Method;

use super::{
    CommandResult,
    client::{ChangeCall, change_command},
};

/// Takes instances out and back in.
#[derive(FromArgs)]
#[argh(subcommand, name = "instance")]
pub(super) struct InstanceFlags {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Leave(Leave),
    Join(Join),
}

change_command! {
    /// Takes an instance out of look-ups and passes its upstreams to others. It serves on
    /// until it is stopped.
    Leave as "leave" {
        /// the instance
        #[argh(positional)]
        name: String,
    }
}

change_command! {
    /// Takes an instance that was told to leave back in.
    Join as "join" {
        /// the instance
        #[argh(positional)]
        name: String,
    }
}

impl InstanceFlags {
    pub(super) async fn run(self) -> CommandResult {
        let (client, name, verb, flags) = match &self.action {
            Action::Leave(flags) => (flags.client()?, &flags.name, "leave", flags.change_flags()),
            Action::Join(flags) => (flags.client()?, &flags.name, "join", flags.change_flags()),
        };
        let path = format!("/v1/instances/{name}/{verb}");
        let change = ChangeCall { method: Method::POST, path: &path, body: None::<&()> };
        client.change(change, flags).await
    }
}
