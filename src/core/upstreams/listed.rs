//! Holds the list of upstreams.

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::UpstreamId;
use crate::core::control::{ServiceName, ZoneName};

/// Holds the list of upstreams, by id.
pub type ListedUpstreams = BTreeMap<UpstreamId, ListedUpstream>;

/// Describes one upstream as the list does.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedUpstream {
    /// The id.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The version of its software.
    pub version: String,
    /// The most requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ListedState,
    /// How much longer it stays cold, counted from when the list was read.
    pub cold_left: Duration,
    /// When it started, in milliseconds since 1970, if the list says so.
    pub started_unix_ms: Option<u64>,
}

/// Says whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ListedState {
    /// It does.
    Ready,
    /// It finishes what it runs.
    Leaving,
}

impl fmt::Display for ReportedLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} running, {} waiting, {} slots", self.running, self.waiting, self.slots)
    }
}

/// Holds the load that an upstream reports with a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedLoad {
    /// The requests that run.
    pub running: u32,
    /// The requests that wait.
    pub waiting: u32,
    /// The most requests that run at once.
    pub slots: u32,
}
