//! Admits requests of one service to the upstreams that one instance owns.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Finish, SlotRequest, SlotState, Slots, Ticket, WaitQueue, fair_share::FairShare,
    service_time::ServiceTimes,
};
use crate::core::control::{OwnerEpoch, RequestClass, SlotLoad, UpstreamName};

/// Represents the upstreams of one service that one instance owns, with the queue of
/// requests that wait for them.
#[derive(Clone, Debug)]
pub struct Pool {
    config: PoolConfig,
    lease_until: Duration,
    owned: BTreeMap<UpstreamName, Slots>,
    queue: WaitQueue,
    running: BTreeMap<Ticket, Running>,
    fair_share: FairShare,
    service_times: ServiceTimes,
    /// When a booking or read was last offered.
    last_urgent_at: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Running {
    upstream: UpstreamName,
    class: RequestClass,
    /// The slot time that the class was charged at the start.
    expected: Duration,
}

/// Represents the configuration of a [`Pool`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolConfig {
    /// The maximum number of waiting requests.
    pub queue_max: usize,
    /// The maximum expected wait of a request that is queued.
    pub wait_max: Duration,
    /// How long a slot counts as used after its request was cancelled, since
    /// the upstream may still be running it.
    pub cancel_hold: Duration,
}

/// Represents the decision on a request for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// The request may be sent now.
    Dispatch {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// The request is queued; a [`PoolEvent`] reports the decision later.
    Queued,
    /// The request is refused and was not run.
    Refused {
        /// Why it is refused.
        reason: RefusalReason,
        /// How long the caller should wait before it retries.
        retry_after: Duration,
    },
}

/// Represents why a request is refused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// This instance owns no upstream that the request could be sent to: all are
    /// leaving, or the request must avoid them.
    NoUpstream,
    /// [`PoolConfig::queue_max`] requests are waiting, or the expected wait is
    /// longer than [`PoolConfig::wait_max`].
    QueueFull,
    /// The request is not expected to complete before its deadline.
    TooLate,
    /// The instance's lease has expired.
    NoLease,
}

impl RefusalReason {
    /// Returns the name used in metrics and in error responses.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoUpstream => "no_upstream",
            Self::QueueFull => "queue_full",
            Self::TooLate => "too_late",
            Self::NoLease => "no_lease",
        }
    }
}

/// Represents the decision on a request that waited.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PoolEvent {
    /// The request may be sent now.
    Dispatch {
        /// The request.
        ticket: Ticket,
        /// The upstream.
        upstream: UpstreamName,
    },
    /// The request is refused and was not run.
    Refused {
        /// The request.
        ticket: Ticket,
        /// Why it is refused.
        reason: RefusalReason,
        /// How long the caller should wait before it retries.
        retry_after: Duration,
    },
}

/// How long slots stay reserved after the last booking or read.
const URGENT_WINDOW: Duration = Duration::from_secs(10);
/// `1 / URGENT_RESERVE_DIVISOR` of the slots is reserved for bookings and reads.
const URGENT_RESERVE_DIVISOR: u32 = 8;
/// The retry delay for refused callers if there is no better estimate.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);

impl Pool {
    /// Returns a pool that owns no upstream and holds no lease.
    pub fn new(config: PoolConfig) -> Self {
        Self {
            config,
            lease_until: Duration::ZERO,
            owned: BTreeMap::new(),
            queue: WaitQueue::default(),
            running: BTreeMap::new(),
            fair_share: FairShare::default(),
            service_times: ServiceTimes::default(),
            last_urgent_at: None,
        }
    }

    /// Sets the time at which the instance's lease expires.
    pub fn set_lease(&mut self, lease_until: Duration) {
        self.lease_until = lease_until;
    }

    /// Adds an upstream. One that is already owned under the same epoch stays
    /// unchanged, so that the slots in use keep counting.
    pub fn add(&mut self, upstream: &UpstreamName, slots: Slots) {
        if self.epoch_of(upstream) != Some(slots.epoch()) {
            self.owned.insert(upstream.clone(), slots);
        }
    }

    /// Returns the epoch under which an upstream is owned.
    pub fn epoch_of(&self, upstream: &str) -> Option<OwnerEpoch> {
        self.owned.get(upstream).map(Slots::epoch)
    }

    /// Returns the slots of an owned upstream.
    pub fn slots(&self, upstream: &str) -> Option<&Slots> {
        self.owned.get(upstream)
    }

    /// Returns the slots of an owned upstream, mutably.
    pub fn slots_mut(&mut self, upstream: &str) -> Option<&mut Slots> {
        self.owned.get_mut(upstream)
    }

    /// Removes an upstream if nothing is running on it.
    pub fn remove_if_idle(&mut self, upstream: &str) {
        if self.owned.get(upstream).is_some_and(Slots::is_idle) {
            self.owned.remove(upstream);
        }
    }

    /// Returns an iterator over the owned upstreams.
    pub fn owned(&self) -> impl Iterator<Item = (&UpstreamName, &Slots)> {
        self.owned.iter()
    }

    /// Returns the number of waiting requests.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Dispatches, queues or refuses a request.
    pub fn offer(&mut self, request: SlotRequest, now: Duration) -> OfferOutcome {
        if request.class <= RequestClass::Read {
            self.last_urgent_at = Some(now);
        }
        if now >= self.lease_until {
            return self.refuse(RefusalReason::NoLease);
        }
        let is_eligible = |(name, slots): (&UpstreamName, &Slots)| {
            slots.state(now) != SlotState::Leaving && !request.avoid.contains(name)
        };
        if !self.owned.iter().any(is_eligible) {
            return self.refuse(RefusalReason::NoUpstream);
        }
        if self.queue.is_empty()
            && let Some(upstream) = self.choose(&request, now)
        {
            self.start(&request, &upstream, now);
            return OfferOutcome::Dispatch { upstream };
        }
        self.enqueue(request, now)
    }

    /// Dispatches a request only if it need not wait.
    ///
    /// Returns the upstream that it may be sent to, or `None` if no slot is
    /// free or other requests are waiting.
    pub fn offer_now(&mut self, request: &SlotRequest, now: Duration) -> Option<UpstreamName> {
        if now >= self.lease_until || !self.queue.is_empty() {
            return None;
        }
        let upstream = self.choose(request, now)?;
        self.start(request, &upstream, now);
        Some(upstream)
    }

    fn enqueue(&mut self, request: SlotRequest, now: Duration) -> OfferOutcome {
        let wait = self.expected_wait(request.class, now);
        if now + wait + self.service_times.mean(request.class) > request.deadline {
            return OfferOutcome::Refused { reason: RefusalReason::TooLate, retry_after: wait };
        }
        if self.queue.len() >= self.config.queue_max || wait > self.config.wait_max {
            let retry_after = wait.max(RETRY_AFTER_MIN);
            return OfferOutcome::Refused { reason: RefusalReason::QueueFull, retry_after };
        }
        self.queue.push(request);
        OfferOutcome::Queued
    }

    fn refuse(&self, reason: RefusalReason) -> OfferOutcome {
        OfferOutcome::Refused { reason, retry_after: RETRY_AFTER_MIN }
    }

    /// Estimates how long a request of a class would wait: the total slot time
    /// of the waiting requests of its own and more urgent classes, divided by
    /// the number of usable slots.
    fn expected_wait(&self, class: RequestClass, now: Duration) -> Duration {
        let usable_slots: u32 = self.owned.values().map(|slots| slots.limit(now)).sum();
        let queued_time: Duration = RequestClass::ALL
            .into_iter()
            .filter(|other| *other <= class)
            .map(|other| self.service_times.mean(other) * self.queue.len_of(other) as u32)
            .sum();
        queued_time / usable_slots.max(1)
    }

    /// Returns the upstream with the most free slots that a request may use,
    /// the least recently used one on a tie.
    fn choose(&self, request: &SlotRequest, now: Duration) -> Option<UpstreamName> {
        if self.is_reserved_for_urgent(request.class, now) {
            return None;
        }
        self.owned
            .iter()
            .filter(|(name, slots)| {
                slots.free(now) > 0
                    && !request.avoid.contains(*name)
                    && !(request.is_suspect && slots.has_suspect())
            })
            .max_by_key(|(_, slots)| (slots.free(now), std::cmp::Reverse(slots.last_used_at())))
            .map(|(name, _)| name.clone())
    }

    /// Returns whether all free slots are reserved for bookings and reads.
    ///
    /// Uploads and reports run long, so they leave a few slots free while
    /// bookings and reads keep arriving.
    fn is_reserved_for_urgent(&self, class: RequestClass, now: Duration) -> bool {
        let has_recent_urgent =
            self.last_urgent_at.is_some_and(|urgent_at| now < urgent_at + URGENT_WINDOW);
        if class <= RequestClass::Read || !has_recent_urgent {
            return false;
        }
        let usable_slots: u32 = self.owned.values().map(|slots| slots.limit(now)).sum();
        let free_slots: u32 = self.owned.values().map(|slots| slots.free(now)).sum();
        free_slots <= usable_slots / URGENT_RESERVE_DIVISOR
    }

    fn start(&mut self, request: &SlotRequest, upstream: &UpstreamName, now: Duration) {
        let expected = self.service_times.mean(request.class);
        self.fair_share.charge(request.class, expected);
        if let Some(slots) = self.owned.get_mut(upstream) {
            slots.start(request.ticket, request.is_suspect, now);
        }
        let running = Running { upstream: upstream.clone(), class: request.class, expected };
        self.running.insert(request.ticket, running);
    }

    /// Frees the slot of a request and returns the resulting decisions on waiting
    /// requests.
    pub fn finish(&mut self, ticket: Ticket, finish: Finish, now: Duration) -> Vec<PoolEvent> {
        if let Some(running) = self.running.remove(&ticket) {
            let cancel_hold = self.config.cancel_hold;
            let slots = self.owned.get_mut(&running.upstream);
            let elapsed = slots.and_then(|slots| slots.finish(ticket, finish, now, cancel_hold));
            if let Some(elapsed) = elapsed.filter(|_| finish == Finish::Done) {
                self.service_times.record(running.class, elapsed);
                self.fair_share.correct(running.class, running.expected, elapsed);
            }
        }
        self.poll(now)
    }

    /// Removes a request from the queue and returns whether it was queued.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Advances time and returns the resulting decisions on waiting requests.
    pub fn poll(&mut self, now: Duration) -> Vec<PoolEvent> {
        self.owned.values_mut().for_each(|slots| slots.tick(now));
        let mut events: Vec<PoolEvent> = self
            .queue
            .expire(now)
            .into_iter()
            .map(|request| refusal_event(request.ticket, RefusalReason::TooLate))
            .collect();
        if now >= self.lease_until {
            events.extend(self.refuse_all(RefusalReason::NoLease));
            return events;
        }
        let is_leaving = |slots: &Slots| slots.state(now) == SlotState::Leaving;
        if self.owned.values().all(is_leaving) {
            events.extend(self.refuse_all(RefusalReason::NoUpstream));
            return events;
        }
        while let Some(event) = self.dispatch_next(now) {
            events.push(event);
        }
        events
    }

    fn refuse_all(&mut self, reason: RefusalReason) -> Vec<PoolEvent> {
        let tickets: Vec<Ticket> = RequestClass::ALL
            .into_iter()
            .flat_map(|class| self.queue.of_class(class))
            .map(|request| request.ticket)
            .collect();
        self.queue = WaitQueue::default();
        tickets.into_iter().map(|ticket| refusal_event(ticket, reason)).collect()
    }

    /// Dispatches the next waiting request that can use a free slot. A class
    /// without such a request is skipped.
    fn dispatch_next(&mut self, now: Duration) -> Option<PoolEvent> {
        let mut classes: BTreeSet<RequestClass> = self.queue.classes().collect();
        while let Some(class) = self.fair_share.choose(classes.iter().copied()) {
            let next_request = self
                .queue
                .of_class(class)
                .find_map(|request| Some((request.ticket, self.choose(request, now)?)));
            if let Some((ticket, upstream)) = next_request {
                let request = self.queue.remove(ticket)?;
                self.start(&request, &upstream, now);
                return Some(PoolEvent::Dispatch { ticket, upstream });
            }
            classes.remove(&class);
        }
        None
    }

    /// Returns when [`Pool::poll`] next needs to be called.
    pub fn next_due(&self, now: Duration) -> Option<Duration> {
        let slots = self.owned.values().filter_map(|slots| slots.next_due(now));
        let deadlines = RequestClass::ALL
            .into_iter()
            .filter_map(|class| self.queue.of_class(class).next())
            .map(|request| request.deadline);
        slots.chain(deadlines).min()
    }

    /// Returns the load of the owned upstreams.
    pub fn load(&self, now: Duration) -> SlotLoad {
        SlotLoad {
            usable_slots: self.owned.values().map(|slots| slots.limit(now)).sum(),
            used_slots: self.owned.values().map(Slots::used).sum(),
            waiting: self.queue.len() as u32,
        }
    }
}

fn refusal_event(ticket: Ticket, reason: RefusalReason) -> PoolEvent {
    PoolEvent::Refused { ticket, reason, retry_after: RETRY_AFTER_MIN }
}
