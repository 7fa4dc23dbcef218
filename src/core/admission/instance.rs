//! Admits requests to all upstreams that one instance owns.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{Finish, OfferOutcome, Pool, PoolConfig, PoolEvent, SlotRequest, Slots, Ticket};
use crate::core::control::{
    Holder, LoadReport, OwnerEpoch, Ownership, Policy, Service, ServiceName, Topology, UpstreamName,
};

/// Represents the upstreams that one instance owns, in one pool per service.
#[derive(Clone, Debug)]
pub struct Admission {
    local_id: Holder,
    config: AdmissionConfig,
    pools: BTreeMap<ServiceName, Pool>,
    /// The upstreams that the platform lists as leaving.
    platform_leaving: BTreeSet<UpstreamName>,
    /// The drains of owned upstreams.
    draining: BTreeMap<UpstreamName, Drain>,
    /// The finished drains that [`Admission::take_drained`] has not returned yet,
    /// with the time each took.
    ended_drains: Vec<(UpstreamName, Duration)>,
    /// Whether all upstreams are to be released because the process is stopping.
    is_leaving: bool,
}

/// Represents the progress of a drain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Drain {
    /// Requests are still running; this instance learned of the drain at the given time.
    Started(Duration),
    /// Nothing is running, and the end of the drain was reported.
    Ended,
}

/// Represents the configuration of an [`Admission`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionConfig {
    /// How long a slot counts as used after its request was cancelled, since
    /// the upstream may still be running it.
    pub cancel_hold: Duration,
}

/// Represents an idle upstream that its owner releases.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Released {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The epoch of the ownership that ends.
    pub epoch: OwnerEpoch,
}

impl Admission {
    /// Returns an `Admission` that owns no upstream yet.
    pub fn new(local_id: Holder, topology: &Topology, config: AdmissionConfig) -> Self {
        let pool = |service: &Service| {
            let cancel_hold = config.cancel_hold;
            let (queue_max, wait_max) = (service.queue_max, service.wait_max);
            Pool::new(PoolConfig { queue_max, wait_max, cancel_hold })
        };
        let pools =
            topology.services.iter().map(|(name, service)| (name.clone(), pool(service))).collect();
        Self {
            local_id,
            config,
            pools,
            platform_leaving: BTreeSet::new(),
            draining: BTreeMap::new(),
            ended_drains: Vec::new(),
            is_leaving: false,
        }
    }

    /// Returns the pool of a service.
    pub fn pool(&self, service: &str) -> Option<&Pool> {
        self.pools.get(service)
    }

    /// Sets the time at which this instance's lease expires.
    pub fn set_lease(&mut self, lease_until: Duration) {
        self.pools.values_mut().for_each(|pool| pool.set_lease(lease_until));
    }

    /// Marks all upstreams for release.
    ///
    /// After the next [`Admission::apply_policy`], no new requests are sent, and
    /// idle upstreams can be released whether or not they have a next owner.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Sets the upstreams that the platform lists as leaving.
    pub fn set_platform_leaving(&mut self, leaving: BTreeSet<UpstreamName>) {
        self.platform_leaving = leaving;
    }

    /// Applies the ownership and the drains of a policy.
    pub fn apply_policy(&mut self, policy: &Policy, topology: &Topology, now: Duration) {
        for (name, service) in &topology.services {
            for (upstream, spec) in &service.upstreams {
                let ownership = policy.owners.get(upstream);
                self.apply_ownership(name, service, upstream, spec.slots, ownership, now);
                let drained = policy.drained.contains(upstream);
                self.apply_drain(name, upstream, drained, now);
            }
        }
    }

    fn apply_ownership(
        &mut self,
        service_name: &ServiceName,
        service: &Service,
        upstream: &UpstreamName,
        slots: u32,
        ownership: Option<&Ownership>,
        now: Duration,
    ) {
        let cancel_hold = self.config.cancel_hold;
        let local_ownership =
            ownership.filter(|current| current.owner.as_ref() == Some(&self.local_id));
        let Some(pool) = self.pools.get_mut(service_name) else { return };
        match local_ownership {
            Some(current) => {
                let mut new_slots = Slots::new(current.epoch, slots);
                if current.unsettled {
                    new_slots =
                        new_slots.with_unsettled(now + service.request_timeout + cancel_hold);
                }
                pool.add(upstream, new_slots);
                if let Some(slots) = pool.slots_mut(upstream) {
                    slots.set_handing_over(self.is_leaving || current.handover.is_some());
                }
            }
            None => {
                if let Some(slots) = pool.slots_mut(upstream) {
                    slots.set_handing_over(true);
                }
                pool.remove_if_idle(upstream);
            }
        }
    }

    fn apply_drain(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        drained: bool,
        now: Duration,
    ) {
        let leaving = drained || self.platform_leaving.contains(upstream);
        let slots = self.pools.get_mut(service).and_then(|pool| pool.slots_mut(upstream));
        let Some(slots) = slots else {
            self.draining.remove(upstream);
            return;
        };
        slots.set_draining(leaving, now);
        if !leaving {
            self.draining.remove(upstream);
            return;
        }
        let idle = slots.is_idle();
        let drain = self.draining.entry(upstream.clone()).or_insert(Drain::Started(now));
        if let Drain::Started(started_at) = *drain
            && idle
        {
            self.ended_drains.push((upstream.clone(), now.saturating_sub(started_at)));
            *drain = Drain::Ended;
        }
    }

    /// Returns the drains that ended since the last call.
    ///
    /// The time of each runs from when this instance learned of the drain.
    pub fn take_drained(&mut self) -> Vec<(UpstreamName, Duration)> {
        std::mem::take(&mut self.ended_drains)
    }

    /// Returns the idle upstreams that are to be released.
    pub fn releasable(&self, policy: &Policy) -> Vec<Released> {
        let owned = self.pools.values().flat_map(Pool::owned);
        owned
            .filter(|(_, slots)| slots.is_idle())
            .filter_map(|(upstream, slots)| {
                let ownership = policy.owners.get(upstream)?;
                let is_own = ownership.owner.as_ref() == Some(&self.local_id);
                let must_release = (self.is_leaving || ownership.handover.is_some())
                    && ownership.epoch == slots.epoch();
                let released = Released { upstream: upstream.clone(), epoch: slots.epoch() };
                (is_own && must_release).then_some(released)
            })
            .collect()
    }

    /// Returns whether no request is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.pools
            .values()
            .all(|pool| pool.queue_len() == 0 && pool.owned().all(|(_, slots)| slots.is_idle()))
    }

    /// Returns whether no upstream is owned.
    pub fn owns_nothing(&self) -> bool {
        self.pools.values().all(|pool| pool.owned().next().is_none())
    }

    /// Dispatches, queues or refuses a request.
    ///
    /// Returns `None` if the service is unknown.
    pub fn offer(
        &mut self,
        service: &str,
        request: SlotRequest,
        now: Duration,
    ) -> Option<OfferOutcome> {
        self.pools.get_mut(service).map(|pool| pool.offer(request, now))
    }

    /// Dispatches a request only if it need not wait.
    ///
    /// See [`Pool::offer_now`].
    pub fn offer_now(
        &mut self,
        service: &str,
        request: &SlotRequest,
        now: Duration,
    ) -> Option<UpstreamName> {
        self.pools.get_mut(service)?.offer_now(request, now)
    }

    /// Removes a request from the queue and returns whether it was queued.
    pub fn withdraw(&mut self, service: &str, ticket: Ticket) -> bool {
        self.pools.get_mut(service).is_some_and(|pool| pool.withdraw(ticket))
    }

    /// Frees the slot of a request and returns the resulting decisions on waiting
    /// requests.
    pub fn finish(
        &mut self,
        service: &str,
        ticket: Ticket,
        finish: Finish,
        now: Duration,
    ) -> Vec<PoolEvent> {
        self.pools.get_mut(service).map_or_else(Vec::new, |pool| pool.finish(ticket, finish, now))
    }

    /// Advances time and returns the resulting decisions on waiting requests.
    pub fn poll(&mut self, now: Duration) -> Vec<PoolEvent> {
        self.pools.values_mut().flat_map(|pool| pool.poll(now)).collect()
    }

    /// Returns when [`Admission::poll`] next needs to be called.
    pub fn next_due(&self, now: Duration) -> Option<Duration> {
        self.pools.values().filter_map(|pool| pool.next_due(now)).min()
    }

    /// Returns the load of each service.
    pub fn load(&self, now: Duration) -> LoadReport {
        let services =
            self.pools.iter().map(|(name, pool)| (name.clone(), pool.load(now))).collect();
        LoadReport { services }
    }
}
