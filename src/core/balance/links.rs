//! Detects that an instance has lost its network links to the upstreams of a service.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::core::{control::ServiceName, upstreams::UpstreamId};

/// Represents what an instance knows about its links to the upstreams of each service.
///
/// A single failure speaks against the upstream; failures of several upstreams without
/// a success between them speak against the links. A timeout speaks against neither if
/// an upstream of the service was heard meanwhile: packets are then queued, most likely on
/// the instance's own link.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLinks {
    /// The upstreams that could not be reached since one was last reached, by service.
    unreachable: BTreeMap<ServiceName, BTreeSet<UpstreamId>>,
    /// When an upstream last responded or took a connection, by service.
    heard_at: BTreeMap<ServiceName, Duration>,
}

/// An attempt that did not reach an upstream.
#[derive(Clone, Copy, Debug)]
pub struct ReachFailure {
    /// When the attempt began.
    pub began_at: Duration,
    /// Whether it timed out, rather than being refused or reset.
    pub is_timeout: bool,
}

/// The number of different upstreams that can't be reached in a row before the links
/// count as lost. Fewer would often be upstreams that crashed together.
const LOST_MIN: usize = 3;

impl UpstreamLinks {
    /// Records that an upstream of a service responded or took a connection. Returns whether
    /// the links were lost until now.
    pub fn record_reached(&mut self, service: &ServiceName, now: Duration) -> bool {
        self.heard_at.insert(service.clone(), now);
        self.unreachable.remove(service).is_some_and(|failed| failed.len() >= LOST_MIN)
    }

    /// Records that an upstream of a service could not be reached. Returns whether this
    /// makes the links count as lost.
    pub fn record_unreachable(
        &mut self,
        service: &ServiceName,
        id: &UpstreamId,
        failure: ReachFailure,
    ) -> bool {
        let heard_at = self.heard_at.get(service);
        if failure.is_timeout && heard_at.is_some_and(|heard_at| *heard_at > failure.began_at) {
            return false;
        }
        let failed = self.unreachable.entry(service.clone()).or_default();
        failed.insert(id.clone()) && failed.len() == LOST_MIN
    }

    /// Returns whether any upstream of a service could not be reached since one was.
    pub fn has_unreachable(&self, service: &ServiceName) -> bool {
        self.unreachable.contains_key(service)
    }

    /// Returns whether the links to the upstreams of a service are lost.
    pub fn are_lost(&self, service: &ServiceName) -> bool {
        self.unreachable.get(service).is_some_and(|failed| failed.len() >= LOST_MIN)
    }

    /// Returns the services whose upstreams can't be reached.
    pub fn lost_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.unreachable.iter().filter(|(_, failed)| failed.len() >= LOST_MIN).map(|(name, _)| name)
    }
}
