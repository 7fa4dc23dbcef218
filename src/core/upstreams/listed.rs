//! The entries of the list of upstreams, and the load that upstreams report.

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::UpstreamId;
use crate::core::control::{ServiceName, ZoneName};

/// The upstreams of one reading of the list, by id.
pub type ListedUpstreams = BTreeMap<UpstreamId, ListedUpstream>;

/// Represents one entry of the list of upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedUpstream {
    /// The id of the upstream.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The version of its software.
    pub version: String,
    /// The number of its slots: the maximum number of requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ListedState,
    /// How much longer it stays cold, from the time at which the list was read.
    pub cold_left: Duration,
    /// When it started, in milliseconds since the Unix epoch, if the list contains it.
    pub started_unix_ms: Option<u64>,
}

/// Represents the state of an upstream in the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ListedState {
    /// It takes new work.
    Ready,
    /// It only finishes running requests.
    Leaving,
}

impl fmt::Display for ReportedLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} running, {} waiting, {} slots", self.running, self.waiting, self.slots)
    }
}

/// Represents the load that an upstream reports with a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedLoad {
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The number of slots.
    pub slots: u32,
}
