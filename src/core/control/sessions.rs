//! The leader's view of the instances: leases, policy versions and load.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{Holder, InstanceName, RegionName, ServiceName, Version};

/// Holds the leases that a leader granted and what the instances reported.
///
/// It starts empty with each term. Leases that an earlier leader granted are
/// unknown to it, so no lease counts as expired before the duration of a lease
/// has elapsed since the term began.
#[derive(Clone, Debug)]
pub struct Sessions {
    config: SessionsConfig,
    started_at: Duration,
    sessions: BTreeMap<Holder, Session>,
    /// The processes that reported that they no longer serve requests.
    ended_holders: BTreeSet<Holder>,
}

/// Configures when leases expire.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SessionsConfig {
    /// The duration of a lease, which the instance counts from the time at which
    /// it sent its request.
    pub lease: Duration,
    /// The additional time before a lease counts as expired, because clocks run
    /// at different rates.
    pub drift_margin: Duration,
}

/// Holds what the leader knows about one process of an instance.
#[derive(Clone, Debug)]
pub struct Session {
    /// When a lease was last granted to the process.
    pub granted_at: Duration,
    /// The policy version that the process has in force.
    pub version: Version,
    /// Whether the process is stopping.
    pub stopping: bool,
    /// The load that the process reported last.
    pub load: LoadReport,
}

/// Holds the load of the upstreams that an instance owns.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The load by service.
    pub services: BTreeMap<ServiceName, SlotLoad>,
}

/// Counts the slots of a set of upstreams and the requests that wait for one.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotLoad {
    /// The slots that may be used now, without those withheld by a drain, a
    /// ramp-up or load shedding.
    pub usable_slots: u32,
    /// The slots in use.
    pub used_slots: u32,
    /// The requests waiting for a slot.
    pub waiting: u32,
}

impl SlotLoad {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: Self) {
        self.usable_slots += other.usable_slots;
        self.used_slots += other.used_slots;
        self.waiting += other.waiting;
    }
}

impl Sessions {
    /// Creates the sessions of a leader whose term begins at `now`.
    pub fn new(config: SessionsConfig, now: Duration) -> Self {
        Self { config, started_at: now, sessions: BTreeMap::new(), ended_holders: BTreeSet::new() }
    }

    /// Records that a lease was granted to a process.
    pub fn record_grant(&mut self, holder: Holder, session: Session) {
        let recorded = self.sessions.entry(holder).or_insert_with(|| session.clone());
        let version = recorded.version.max(session.version);
        *recorded = Session { version, ..session };
    }

    /// Records the policy version that a process has in force, without granting
    /// it a lease.
    pub fn record_version(&mut self, holder: &Holder, version: Version) {
        if let Some(session) = self.sessions.get_mut(holder) {
            session.version = session.version.max(version);
        }
    }

    /// Records that a process no longer serves requests and will not request
    /// another lease.
    pub fn record_end(&mut self, holder: Holder) {
        self.sessions.remove(&holder);
        self.ended_holders.insert(holder);
    }

    /// Returns whether a process's lease has certainly expired.
    pub fn is_expired(&self, holder: &Holder, now: Duration) -> bool {
        if self.ended_holders.contains(holder) {
            return true;
        }
        let granted_at = self
            .sessions
            .get(holder)
            .map_or(self.started_at, |s| s.granted_at.max(self.started_at));
        now > granted_at + self.config.lease + self.config.drift_margin
    }

    /// Removes processes whose last lease was granted more than ten lease durations
    /// ago, with the drift margin added to each.
    pub fn remove_expired(&mut self, now: Duration) {
        let retention = 10 * (self.config.lease + self.config.drift_margin);
        self.sessions.retain(|_, session| now <= session.granted_at + retention);
    }

    /// Iterates over the processes whose lease may still be valid.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = (&Holder, &Session)> {
        self.sessions.iter().filter(move |(holder, _)| !self.is_expired(holder, now))
    }

    /// Returns whether all leases granted by earlier leaders have expired.
    pub fn earlier_leases_expired(&self, now: Duration) -> bool {
        now > self.started_at + self.config.lease + self.config.drift_margin
    }

    /// Returns the instances with a process that may still apply a policy version
    /// before `version`.
    pub fn lagging(&self, version: Version, now: Duration) -> BTreeSet<InstanceName> {
        self.live(now)
            .filter(|(_, session)| session.version < version)
            .map(|(holder, _)| holder.instance.clone())
            .collect()
    }

    /// Returns the sum of the recent load reports of each region's instances. A
    /// region without a recent report is absent.
    pub fn region_loads(
        &self,
        now: Duration,
        region_of: impl Fn(&InstanceName) -> Option<RegionName>,
    ) -> BTreeMap<RegionName, SlotLoad> {
        let mut loads: BTreeMap<RegionName, SlotLoad> = BTreeMap::new();
        for (holder, session) in self.live(now) {
            let is_recent = now <= session.granted_at + self.config.lease;
            let Some(region) = region_of(&holder.instance).filter(|_| is_recent) else { continue };
            let sum = loads.entry(region).or_default();
            session.load.services.values().for_each(|load| sum.add(*load));
        }
        loads
    }
}
