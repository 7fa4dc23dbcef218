//! Implements the `blocks` commands.

use std::{collections::BTreeMap, fs, path::PathBuf};

use argh::FromArgs;
use eyre::WrapErr;
use ipnet::IpNet;
use reqwest::Method;

use super::{
    CommandError, CommandResult,
    client::{ChangeCall, change_command},
};

/// Sets the home regions of client blocks.
#[derive(FromArgs)]
#[argh(subcommand, name = "blocks")]
pub(super) struct BlocksFlags {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Put(Put),
}

change_command! {
    /// Sets the home regions of client blocks; other blocks stay.
    Put as "put" {
        /// a file with a JSON object of blocks and regions, as in {"10.1.0.0/16": "north"}
        #[argh(positional)]
        file: PathBuf,
    }
}

impl BlocksFlags {
    pub(super) async fn run(self) -> CommandResult {
        let Action::Put(flags) = self.action;
        let text = fs::read_to_string(&flags.file)
            .wrap_err_with(|| {
                format!("can't read {}; name a file with blocks as JSON", flags.file.display())
            })
            .map_err(CommandError::Usage)?;
        let blocks: BTreeMap<IpNet, String> = serde_json::from_str(&text)
            .wrap_err_with(|| {
                format!("{}: not a JSON object of blocks and regions", flags.file.display())
            })
            .map_err(CommandError::Usage)?;
        let change = ChangeCall { method: Method::PUT, path: "/v1/blocks", body: Some(&blocks) };
        flags.client()?.change(change, flags.change_flags()).await
    }
}
