//! Selects the entry instances to which requests are handed over when this instance
//! can't reach upstreams itself.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::control::{InstanceName, RegionName};

/// Represents another entry instance that reaches upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// Its name.
    pub instance: InstanceName,
    /// The address at which it takes over requests.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionName,
}

/// Represents the known peers of an entry instance.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug)]
pub struct Peers {
    region: RegionName,
    peers: Vec<Peer>,
    /// The number of requests in progress at each peer.
    in_flight: BTreeMap<SocketAddr, usize>,
    /// Until when a peer that could not take over a request is not used.
    avoided_until: BTreeMap<SocketAddr, Duration>,
}

/// How long a peer is not used after it could not take over a request.
const AVOID_TIME: Duration = Duration::from_millis(500);
/// The number of requests in progress at a peer in the own region that makes one in
/// another region as good a choice.
const IN_FLIGHT_PER_REGION_CROSSING: usize = 8;

impl Peers {
    /// Returns an empty set for an instance in a region.
    pub fn new(region: RegionName) -> Self {
        Self {
            region,
            peers: Vec::new(),
            in_flight: BTreeMap::new(),
            avoided_until: BTreeMap::new(),
        }
    }

    /// Replaces the known peers.
    pub fn set(&mut self, peers: Vec<Peer>) {
        self.avoided_until.retain(|address, _| peers.iter().any(|peer| peer.address == *address));
        self.peers = peers;
    }

    /// Returns the number of known peers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the least busy peer that is not among `tried`, preferring the own region.
    /// `home_regions` are those in which the request may be handled; empty means all.
    pub fn choose(
        &self,
        home_regions: &[RegionName],
        tried: &[SocketAddr],
        now: Duration,
    ) -> Option<&Peer> {
        let is_usable = |peer: &&Peer| {
            !tried.contains(&peer.address)
                && self.avoided_until.get(&peer.address).is_none_or(|until| now >= *until)
                && (home_regions.is_empty() || home_regions.contains(&peer.region))
        };
        self.peers.iter().filter(is_usable).min_by_key(|peer| self.cost(peer))
    }

    /// Records that a request is handed over to a peer.
    pub fn record_start(&mut self, address: SocketAddr) {
        *self.in_flight.entry(address).or_default() += 1;
    }

    /// Records the end of a request at a peer.
    pub fn record_end(&mut self, address: SocketAddr) {
        if let Some(count) = self.in_flight.get_mut(&address) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&address);
            }
        }
    }

    /// Records that a peer could not take over a request.
    pub fn record_failure(&mut self, address: SocketAddr, now: Duration) {
        self.avoided_until.insert(address, now + AVOID_TIME);
    }

    fn cost(&self, peer: &Peer) -> usize {
        let in_flight = self.in_flight.get(&peer.address).copied().unwrap_or(0);
        let crossing = if peer.region == self.region { 0 } else { IN_FLIGHT_PER_REGION_CROSSING };
        in_flight + crossing
    }
}
