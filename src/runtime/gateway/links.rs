//! Limits the rate at which this instance sends data to other regions.

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

/// Holds the rate limiters of the links that start in the local region.
pub(super) struct LinkLimiters {
    buckets: BTreeMap<RegionName, Arc<Mutex<LinkBucket>>>,
}

/// Limits and counts the bytes sent over one link.
#[derive(Clone)]
pub(super) struct LinkLimiter {
    bucket: Arc<Mutex<LinkBucket>>,
    clock: Clock,
    counter: IntCounter,
}

/// The backlog of a link above which uploads and reports are refused, so that the
/// remaining capacity is available to bookings and reads.
const BULK_BACKLOG_MAX: Duration = Duration::from_millis(200);
/// The backlog of a link above which bookings and reads are refused.
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

    /// Returns the limiter of the link to a region, if that link is limited.
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
    /// Returns whether the backlog of the link is short enough for a request of this class.
    pub(super) fn has_capacity(&self, class: RequestClass) -> bool {
        let backlog = self.lock().backlog(self.clock.now());
        let limit = match class {
            RequestClass::Booking | RequestClass::Read => INTERACTIVE_BACKLOG_MAX,
            RequestClass::Upload | RequestClass::Report => BULK_BACKLOG_MAX,
        };
        backlog <= limit
    }

    /// Reserves `bytes` on the link, counts them and waits until they may be sent.
    pub(super) async fn acquire(&self, bytes: u64) {
        let wait = self.lock().reserve(bytes, self.clock.now());
        self.counter.inc_by(bytes);
        tokio::time::sleep(wait).await;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LinkBucket> {
        self.bucket.lock().unwrap_or_else(|error| error.into_inner())
    }
}
