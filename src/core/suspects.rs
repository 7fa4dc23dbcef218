//! Counts the upstreams that crashed under each request, as one entry instance sees it.
//!
//! A request that crashes its upstreams comes again, with another id. What identifies it is its
//! fingerprint.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    control::{Fingerprint, Suspect, UpstreamName},
    upstreams::UpstreamId,
};

/// Tells that an upstream crashed while a request ran on it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The upstream and the crash, so that further crashes of the upstream count as well.
    pub upstream: UpstreamName,
}

/// Represents the requests under which upstreams crashed.
///
/// A broken connection alone is no crash: networks and faulty upstreams break connections as
/// well. It counts if the upstream then can't be reached or has started anew.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// The requests that were broken off, by upstream, until it is known whether that crashed.
    broken_off: BTreeMap<UpstreamId, Vec<BrokenOff>>,
    /// The crashes that this instance has seen.
    crashes: BTreeMap<Fingerprint, Crashes>,
    /// How often each listed start of an upstream was seen to crash, and when it last was.
    counts: BTreeMap<Start, (u32, Duration)>,
}

/// Identifies one start of an upstream, as the list has it.
type Start = (UpstreamId, Option<u64>);

#[derive(Clone, Debug)]
struct BrokenOff {
    fingerprint: Fingerprint,
    started_unix_ms: Option<u64>,
    at: Duration,
}

#[derive(Clone, Debug, Default)]
struct Crashes {
    upstreams: BTreeSet<UpstreamName>,
    last_at: Duration,
}

/// A request is refused once this many upstreams have crashed under it. Fewer may crash for
/// another reason while the same request runs.
const CRASHES_MAX: usize = 3;
/// How long a request that was broken off waits to learn whether the upstream crashed.
const CONFIRMATION_MAX: Duration = Duration::from_secs(10);
/// How long crashes count.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// The maximum number of crashes that are reported at once.
const REPORTS_MAX: usize = 16;

impl Suspects {
    /// Returns whether no crash is known here.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Records that an upstream broke a request off, and may have crashed. `started_unix_ms`
    /// tells its starts apart.
    pub fn record_broken_off(
        &mut self,
        upstream: &UpstreamId,
        started_unix_ms: Option<u64>,
        fingerprint: Fingerprint,
        now: Duration,
    ) {
        self.remove_expired(now);
        let broken_off = BrokenOff { fingerprint, started_unix_ms, at: now };
        self.broken_off.entry(upstream.clone()).or_default().push(broken_off);
    }

    /// Records that an upstream crashed, and returns the fingerprints of the requests that it
    /// broke off.
    ///
    /// Instances that see the same crash name it alike, so that it counts once: by the start of
    /// the upstream, and by how often the instance saw that start crash, as the list may still
    /// show it when the upstream has started anew.
    pub fn record_crashed(
        &mut self,
        upstream: &UpstreamId,
        now: Duration,
    ) -> BTreeSet<Fingerprint> {
        self.remove_expired(now);
        let broken_off = self.broken_off.remove(upstream).unwrap_or_default();
        let starts: BTreeSet<Start> = broken_off
            .iter()
            .map(|broken_off| (upstream.clone(), broken_off.started_unix_ms))
            .collect();
        for start in starts {
            let count = self.counts.entry(start).or_default();
            *count = (count.0 + 1, now);
        }
        for BrokenOff { fingerprint, started_unix_ms, .. } in &broken_off {
            let start = (upstream.clone(), *started_unix_ms);
            let number = self.counts.get(&start).map_or(0, |(count, _)| *count);
            let started = started_unix_ms.map_or_else(String::new, |ms| ms.to_string());
            let crashes = self.crashes.entry(fingerprint.clone()).or_default();
            crashes.upstreams.insert(format!("{upstream}/{started}/{number}"));
            crashes.last_at = now;
        }
        broken_off.into_iter().map(|broken_off| broken_off.fingerprint).collect()
    }

    /// Records that it is not a crash for which an upstream broke requests off, or that it can't
    /// be known.
    pub fn record_not_crashed(&mut self, upstream: &UpstreamId) {
        self.broken_off.remove(upstream);
    }

    /// Returns whether a request is refused, given the crashes that all instances have reported.
    pub fn is_refused(
        &self,
        fingerprint: &Fingerprint,
        reported: &BTreeMap<Fingerprint, Suspect>,
    ) -> bool {
        let seen = self.crashes.get(fingerprint).map(|crashes| &crashes.upstreams);
        let reported = reported.get(fingerprint).map(|suspect| &suspect.crashed);
        let upstreams: BTreeSet<&UpstreamName> =
            seen.into_iter().chain(reported).flatten().collect();
        upstreams.len() >= CRASHES_MAX
    }

    /// Returns the crashes that were seen here and are not among the reported ones, up to a
    /// maximum.
    pub fn unreported(&self, reported: &BTreeMap<Fingerprint, Suspect>) -> Vec<CrashReport> {
        let is_unreported = |fingerprint: &Fingerprint, upstream: &UpstreamName| {
            reported.get(fingerprint).is_none_or(|suspect| !suspect.crashed.contains(upstream))
        };
        let crashes = self.crashes.iter().flat_map(|(fingerprint, crashes)| {
            crashes.upstreams.iter().map(move |upstream| (fingerprint, upstream))
        });
        let unreported =
            crashes.filter(|(fingerprint, upstream)| is_unreported(fingerprint, upstream));
        let report = |(fingerprint, upstream): (&Fingerprint, &UpstreamName)| CrashReport {
            fingerprint: fingerprint.clone(),
            upstream: upstream.clone(),
        };
        unreported.map(report).take(REPORTS_MAX).collect()
    }

    fn remove_expired(&mut self, now: Duration) {
        self.crashes.retain(|_, crashes| now < crashes.last_at + CRASH_RETENTION);
        self.counts.retain(|_, (_, last_at)| now < *last_at + CRASH_RETENTION);
        self.broken_off.retain(|_, requests| {
            requests.retain(|request| now < request.at + CONFIRMATION_MAX);
            !requests.is_empty()
        });
    }
}
