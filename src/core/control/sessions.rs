//! Keeps the leader's view of the instances: leases, versions, load.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{Holder, InstanceName, RegionName, ServiceName, Version};

/// Keeps the leader's view of the instances.
///
/// It starts empty with each term of leadership. Leases that an earlier
/// leader granted are unknown here, so nothing counts as run out before a
/// whole lease has passed since the term began.
#[derive(Clone, Debug)]
pub struct Sessions {
    config: SessionsConfig,
    started_at: Duration,
    sessions: BTreeMap<Holder, Session>,
    /// The processes that said that they serve nothing any more.
    ended: BTreeSet<Holder>,
}

/// Sets how long leases last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SessionsConfig {
    /// The length of a lease, counted by an instance from when it asked.
    pub lease: Duration,
    /// What is waited beyond a lease for clocks that run at different rates.
    pub drift_margin: Duration,
}

/// Holds what is known of one process of an instance.
#[derive(Clone, Debug)]
pub struct Session {
    /// When a lease was last granted.
    pub granted_at: Duration,
    /// The version that the process has in force.
    pub version: Version,
    /// Whether the process is stopping.
    pub stopping: bool,
    /// What the process reported last.
    pub load: LoadReport,
}

/// Reports the load of the upstreams that an instance owns.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The load by service.
    pub services: BTreeMap<ServiceName, SlotLoad>,
}

/// Counts slots.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotLoad {
    /// The slots that may be used now: not drained, not ramping up, not
    /// shedding.
    pub usable_slots: u32,
    /// The slots in use.
    pub used_slots: u32,
    /// The requests that wait.
    pub waiting: u32,
}

impl SlotLoad {
    /// Adds another count.
    pub fn add(&mut self, other: Self) {
        self.usable_slots += other.usable_slots;
        self.used_slots += other.used_slots;
        self.waiting += other.waiting;
    }
}

impl Sessions {
    /// Returns the view of a leader whose term began at `now`.
    pub fn new(config: SessionsConfig, now: Duration) -> Self {
        Self { config, started_at: now, sessions: BTreeMap::new(), ended: BTreeSet::new() }
    }

    /// Notes that a lease is granted to a process.
    pub fn record_grant(&mut self, holder: Holder, session: Session) {
        let held = self.sessions.entry(holder).or_insert_with(|| session.clone());
        let version = held.version.max(session.version);
        *held = Session { version, ..session };
    }

    /// Notes the version that a process has in force, without granting it
    /// anything.
    pub fn record_version(&mut self, holder: &Holder, version: Version) {
        if let Some(session) = self.sessions.get_mut(holder) {
            session.version = session.version.max(version);
        }
    }

    /// Notes that a process serves nothing any more and asks no more.
    pub fn record_end(&mut self, holder: Holder) {
        self.sessions.remove(&holder);
        self.ended.insert(holder);
    }

    /// Tells whether a process's lease has run out for certain.
    pub fn is_expired(&self, holder: &Holder, now: Duration) -> bool {
        if self.ended.contains(holder) {
            return true;
        }
        let granted_at = self
            .sessions
            .get(holder)
            .map_or(self.started_at, |s| s.granted_at.max(self.started_at));
        now > granted_at + self.config.lease + self.config.drift_margin
    }

    /// Forgets processes whose lease ran out long ago.
    pub fn remove_expired(&mut self, now: Duration) {
        let retention = 10 * (self.config.lease + self.config.drift_margin);
        self.sessions.retain(|_, session| now <= session.granted_at + retention);
    }

    /// Iterates over the processes whose lease may still hold.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = (&Holder, &Session)> {
        self.sessions.iter().filter(move |(holder, _)| !self.is_expired(holder, now))
    }

    /// Tells whether all leases of earlier leaders have run out.
    pub fn earlier_leases_expired(&self, now: Duration) -> bool {
        now > self.started_at + self.config.lease + self.config.drift_margin
    }

    /// Returns the processes that may still follow a version before `version`.
    pub fn lagging(&self, version: Version, now: Duration) -> BTreeSet<InstanceName> {
        self.live(now)
            .filter(|(_, session)| session.version < version)
            .map(|(holder, _)| holder.instance.clone())
            .collect()
    }

    /// Sums up the fresh reports of the instances in each region. A region
    /// none of whose instances reports is absent.
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
