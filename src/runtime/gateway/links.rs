//! Meters what this instance sends to other regions.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use prometheus::IntCounter;

use crate::{
    core::{
        admission::LinkBucket,
        control::{RegionName, RequestClass},
    },
    runtime::clock::Clock,
    settings::Settings,
};

/// Holds the meters of the links from this instance's region.
pub(super) struct LinkLimiters {
    buckets: BTreeMap<RegionName, Arc<Mutex<LinkBucket>>>,
}

/// Paces what goes over one link.
#[derive(Clone)]
pub(super) struct LinkLimiter {
    bucket: Arc<Mutex<LinkBucket>>,
    clock: Clock,
    counter: IntCounter,
}

/// Uploads and reports wait for a link this long at most; the rest is left to
/// bookings and look-ups.
const BULK_BACKLOG_MAX: Duration = Duration::from_millis(200);
const INTERACTIVE_BACKLOG_MAX: Duration = Duration::from_millis(1_000);

impl LinkLimiters {
    pub(super) fn new(settings: &Settings, region: &RegionName) -> Self {
        let topology = &settings.topology;
        let instances = topology.instances_in(region);
        let buckets = topology
            .links
            .iter()
            .filter(|((from, _), _)| from == region)
            .map(|((_, to), link)| {
                (to.clone(), Arc::new(Mutex::new(LinkBucket::new(link, instances))))
            })
            .collect();
        Self { buckets }
    }

    /// Returns the meter of the link to a region, if there is one.
    pub(super) fn limiter(
        &self,
        to: &RegionName,
        clock: Clock,
        counter: IntCounter,
    ) -> Option<LinkLimiter> {
        let bucket = self.buckets.get(to)?.clone();
        Some(LinkLimiter { bucket, clock, counter })
    }
}

impl LinkLimiter {
    /// Tells whether a request of a class should use the link now.
    pub(super) fn has_capacity(&self, class: RequestClass) -> bool {
        let backlog = self.lock().backlog(self.clock.now());
        let limit = match class {
            RequestClass::Booking | RequestClass::Read => INTERACTIVE_BACKLOG_MAX,
            RequestClass::Upload | RequestClass::Report => BULK_BACKLOG_MAX,
        };
        backlog <= limit
    }

    /// Waits until `bytes` may be sent.
    pub(super) async fn acquire(&self, bytes: u64) {
        let wait = self.lock().take(bytes, self.clock.now());
        self.counter.inc_by(bytes);
        tokio::time::sleep(wait).await;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LinkBucket> {
        self.bucket.lock().unwrap_or_else(|error| error.into_inner())
    }
}
