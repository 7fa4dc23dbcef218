//! Implements the `stand-in` command, which runs a stub upstream.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use argh::FromArgs;

use super::CommandResult;
use crate::{demo::StubUpstream, runtime::stop_signal};

/// Runs a small upstream for trials and tests. It answers any request with
/// what it was sent, and can keep a record of every run.
///
/// A query of `ms=N` makes it take N milliseconds, `bytes=N` makes its answer
/// N bytes long, `cut=1` breaks the answer off, `crash=1` ends the process.
#[derive(FromArgs)]
#[argh(subcommand, name = "stand-in")]
pub(super) struct StandInFlags {
    /// the name to answer with
    #[argh(option)]
    name: String,
    /// the address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// the requests it runs at once; more are refused and recorded as over
    #[argh(option, default = "4")]
    slots: u32,
    /// how long a request takes
    #[argh(option, default = "10")]
    service_ms: u64,
    /// append a line for every run to this file
    #[argh(option)]
    record: Option<PathBuf>,
}

impl StandInFlags {
    pub(super) async fn run(self) -> CommandResult {
        let upstream =
            StubUpstream::new(self.name, self.slots, Duration::from_millis(self.service_ms))
                .with_crash_requests();
        let upstream = match &self.record {
            Some(path) => upstream.with_record_file(path).map_err(eyre::Report::from)?,
            None => upstream,
        };
        let server = upstream.serve(self.listen).await.map_err(eyre::Report::from)?;
        tokio::select! {
            () = server => {}
            signal = stop_signal() => signal.map_err(eyre::Report::from)?,
        }
        Ok(())
    }
}
