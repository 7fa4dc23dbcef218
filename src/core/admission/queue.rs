//! Queues requests that wait for a slot.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::Ticket;
use crate::core::control::{RequestClass, UpstreamName};

/// Represents a request for a slot of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotRequest {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// The class of the request, which determines its urgency.
    pub class: RequestClass,
    /// The time after which its response is useless.
    pub deadline: Duration,
    /// Whether it was running when an upstream crashed. No two such requests
    /// run on one upstream at the same time.
    pub is_suspect: bool,
    /// The upstreams that it must not be sent to.
    pub avoid: BTreeSet<UpstreamName>,
}

impl SlotRequest {
    /// Returns a request that may be sent to any upstream.
    pub fn new(ticket: Ticket, class: RequestClass, deadline: Duration) -> Self {
        Self { ticket, class, deadline, is_suspect: false, avoid: BTreeSet::new() }
    }

    /// Returns the request, marked as having been running when the given upstreams
    /// crashed: it avoids them and is suspected if there are any.
    pub fn with_crashed(mut self, crashed: BTreeSet<UpstreamName>) -> Self {
        self.is_suspect = !crashed.is_empty();
        self.avoid.extend(crashed);
        self
    }
}

/// Represents the waiting requests, ordered by class, then by deadline.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    classes: BTreeMap<RequestClass, BTreeMap<(Duration, Ticket), SlotRequest>>,
}

impl WaitQueue {
    /// Adds a request.
    pub fn push(&mut self, request: SlotRequest) {
        let class = self.classes.entry(request.class).or_default();
        class.insert((request.deadline, request.ticket), request);
    }

    /// Removes and returns a request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<SlotRequest> {
        for class in self.classes.values_mut() {
            let key = class.keys().find(|(_, queued)| *queued == ticket).copied();
            if let Some(key) = key {
                return class.remove(&key);
            }
        }
        None
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.classes.values().map(BTreeMap::len).sum()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of waiting requests of a class.
    pub fn len_of(&self, class: RequestClass) -> usize {
        self.classes.get(&class).map_or(0, BTreeMap::len)
    }

    /// Returns an iterator over the classes that have a waiting request.
    pub fn classes(&self) -> impl Iterator<Item = RequestClass> + '_ {
        self.classes.iter().filter(|(_, queued)| !queued.is_empty()).map(|(class, _)| *class)
    }

    /// Returns an iterator over the requests of a class, earliest deadline first.
    pub fn of_class(&self, class: RequestClass) -> impl Iterator<Item = &SlotRequest> {
        self.classes.get(&class).into_iter().flat_map(BTreeMap::values)
    }

    /// Returns the request with the latest deadline of the least urgent class that has a
    /// waiting request.
    pub fn last(&self) -> Option<&SlotRequest> {
        self.classes.values().rev().find_map(|class| class.values().next_back())
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<SlotRequest> {
        let mut expired = Vec::new();
        for class in self.classes.values_mut() {
            while let Some(entry) = class.first_entry().filter(|entry| entry.key().0 <= now) {
                expired.push(entry.remove());
            }
        }
        expired
    }
}
