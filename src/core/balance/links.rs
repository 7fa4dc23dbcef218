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
    /// The requests whose response is awaited, by service.
    awaited: BTreeMap<ServiceName, AwaitedRequests>,
    /// The services whose upstreams were silent and did not take a connection at once.
    suspected: BTreeSet<ServiceName>,
}

/// The upstreams of awaited requests, each by when the request was sent and a number.
type AwaitedRequests = BTreeMap<(Duration, u64), UpstreamId>;

/// Identifies a request whose response is awaited.
#[derive(Clone, Debug)]
pub struct AwaitedRequest {
    service: ServiceName,
    key: (Duration, u64),
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
/// How long requests to [`LOST_MIN`] upstreams of a service must have been awaited, with nothing
/// heard from any, before the links are checked.
const SILENCE_MIN: Duration = Duration::from_millis(500);

impl UpstreamLinks {
    /// Records that a request is sent to an upstream, whose response is then awaited.
    pub fn record_sent(
        &mut self,
        service: &ServiceName,
        id: &UpstreamId,
        now: Duration,
    ) -> AwaitedRequest {
        let awaited = self.awaited.entry(service.clone()).or_default();
        // Numbers tell requests apart that are sent at the same time.
        let number = awaited.last_key_value().map_or(0, |((_, number), _)| number + 1);
        let key = (now, number);
        awaited.insert(key, id.clone());
        AwaitedRequest { service: service.clone(), key }
    }

    /// Records that the response to a request is no longer awaited.
    pub fn record_ended(&mut self, request: &AwaitedRequest) {
        if let Some(awaited) = self.awaited.get_mut(&request.service) {
            awaited.remove(&request.key);
            if awaited.is_empty() {
                self.awaited.remove(&request.service);
            }
        }
    }

    /// Returns the services whose upstreams have been silent for long although requests to
    /// several of them are awaited, unless their links are known or suspected to be lost.
    pub fn silent_services(&self, now: Duration) -> Vec<ServiceName> {
        let Some(before) = now.checked_sub(SILENCE_MIN) else { return Vec::new() };
        let is_silent = |(service, awaited): &(&ServiceName, &AwaitedRequests)| {
            let heard_at = self.heard_at.get(*service).copied().unwrap_or_default();
            let overdue = awaited.range(..=(before, u64::MAX)).map(|(_, id)| id);
            heard_at <= before && overdue.collect::<BTreeSet<_>>().len() >= LOST_MIN
        };
        let silent = self.awaited.iter().filter(is_silent).map(|(service, _)| service);
        silent.filter(|service| !self.are_lost(service)).cloned().collect()
    }

    /// Makes the links to the upstreams of a service count as lost until one is reached, after
    /// one that was tried because of their silence did not take a connection at once. Returns
    /// whether they did not count as lost before.
    pub fn suspect(&mut self, service: &ServiceName) -> bool {
        !self.are_lost(service) && self.suspected.insert(service.clone())
    }

    /// Returns when an upstream of a service was last heard.
    pub fn heard_at(&self, service: &ServiceName) -> Option<Duration> {
        self.heard_at.get(service).copied()
    }

    /// Records that an upstream of a service responded or took a connection. Returns whether
    /// the links were lost until now.
    pub fn record_reached(&mut self, service: &ServiceName, now: Duration) -> bool {
        let were_lost = self.are_lost(service);
        self.heard_at.insert(service.clone(), now);
        self.unreachable.remove(service);
        self.suspected.remove(service);
        were_lost
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
        let were_lost = self.are_lost(service);
        self.unreachable.entry(service.clone()).or_default().insert(id.clone());
        !were_lost && self.are_lost(service)
    }

    /// Returns whether any upstream of a service could not be reached since one was.
    pub fn has_unreachable(&self, service: &ServiceName) -> bool {
        self.unreachable.contains_key(service)
    }

    /// Returns whether the links to the upstreams of a service are lost.
    pub fn are_lost(&self, service: &ServiceName) -> bool {
        self.suspected.contains(service)
            || self.unreachable.get(service).is_some_and(|failed| failed.len() >= LOST_MIN)
    }

    /// Returns the services whose upstreams can't be reached.
    pub fn lost_services(&self) -> BTreeSet<&ServiceName> {
        let services = self.unreachable.keys().chain(&self.suspected);
        services.filter(|service| self.are_lost(service)).collect()
    }
}
