//! Implements the `upstream` commands.

use argh::FromArgs;
use reqwest::Method;

use super::{
    CommandResult,
    client::{ChangeCall, change_command},
};

/// Drains and restores upstreams.
#[derive(FromArgs)]
#[argh(subcommand, name = "upstream")]
pub(super) struct UpstreamFlags {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Drain(Drain),
    Restore(Restore),
}

change_command! {
    /// Gives an upstream no new work and lets it finish what it runs.
    Drain as "drain" {
        /// the upstream
        #[argh(positional)]
        name: String,
    }
}

change_command! {
    /// Gives a drained upstream work again, a little at first.
    Restore as "restore" {
        /// the upstream
        #[argh(positional)]
        name: String,
    }
}

impl UpstreamFlags {
    pub(super) async fn run(self) -> CommandResult {
        let (client, name, verb, flags) = match &self.action {
            Action::Drain(flags) => (flags.client()?, &flags.name, "drain", flags.change_flags()),
            Action::Restore(flags) => {
                (flags.client()?, &flags.name, "restore", flags.change_flags())
            }
        };
        let path = format!("/v1/upstreams/{name}/{verb}");
        let change = ChangeCall { method: Method::POST, path: &path, body: None::<&()> };
        client.change(change, flags).await
    }
}
