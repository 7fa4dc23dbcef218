//! Orders the requests that wait.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::Ticket;
use crate::core::control::{RequestClass, UpstreamName};

/// Describes a request that wants a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotRequest {
    /// The request.
    pub ticket: Ticket,
    /// How urgent it is.
    pub class: RequestClass,
    /// When its answer is of no more use.
    pub deadline: Duration,
    /// Whether it was running when an upstream crashed. Such a request runs
    /// beside no other one.
    pub is_suspect: bool,
    /// The upstreams that it must not meet again.
    pub avoid: BTreeSet<UpstreamName>,
}

impl SlotRequest {
    /// Returns a request that may meet any upstream.
    pub fn new(ticket: Ticket, class: RequestClass, deadline: Duration) -> Self {
        Self { ticket, class, deadline, is_suspect: false, avoid: BTreeSet::new() }
    }

    /// Returns the request as one that was running when upstreams crashed.
    pub fn with_crashed(mut self, crashed: BTreeSet<UpstreamName>) -> Self {
        self.is_suspect = !crashed.is_empty();
        self.avoid.extend(crashed);
        self
    }
}

/// Holds the requests that wait: by class, then by deadline.
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

    /// Takes a request out.
    pub fn remove(&mut self, ticket: Ticket) -> Option<SlotRequest> {
        for class in self.classes.values_mut() {
            let key = class.keys().find(|(_, held)| *held == ticket).copied();
            if let Some(key) = key {
                return class.remove(&key);
            }
        }
        None
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.classes.values().map(BTreeMap::len).sum()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many requests of a class wait.
    pub fn len_of(&self, class: RequestClass) -> usize {
        self.classes.get(&class).map_or(0, BTreeMap::len)
    }

    /// Iterates over the classes that have a request waiting.
    pub fn classes(&self) -> impl Iterator<Item = RequestClass> + '_ {
        self.classes.iter().filter(|(_, held)| !held.is_empty()).map(|(class, _)| *class)
    }

    /// Iterates over the requests of a class, the earliest deadline first.
    pub fn of_class(&self, class: RequestClass) -> impl Iterator<Item = &SlotRequest> {
        self.classes.get(&class).into_iter().flat_map(BTreeMap::values)
    }

    /// Returns the least urgent class that waits, with its latest request.
    pub fn last(&self) -> Option<&SlotRequest> {
        self.classes.values().rev().find_map(|class| class.values().next_back())
    }

    /// Takes out the requests whose deadline has passed.
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
