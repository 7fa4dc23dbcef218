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
pub(super) struct Links {
    buckets: BTreeMap<RegionName, Arc<Mutex<LinkBucket>>>,
}

/// Paces what goes over one link.
#[derive(Clone)]
pub(super) struct Meter {
    bucket: Arc<Mutex<LinkBucket>>,
    clock: Clock,
    counter: IntCounter,
}

/// Uploads and reports wait for a link this long at most; the rest is left to
/// bookings and look-ups.
const PATIENT_BACKLOG_MAX: Duration = Duration::from_millis(200);
const URGENT_BACKLOG_MAX: Duration = Duration::from_millis(1_000);

impl Links {
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
    pub(super) fn meter(
        &self,
        to: &RegionName,
        clock: Clock,
        counter: IntCounter,
    ) -> Option<Meter> {
        let bucket = self.buckets.get(to)?.clone();
        Some(Meter { bucket, clock, counter })
    }
}

impl Meter {
    /// Tells whether a request of a class should use the link now.
    pub(super) fn has_room(&self, class: RequestClass) -> bool {
        let backlog = self.lock().backlog(self.clock.now());
        let limit = match class {
            RequestClass::Booking | RequestClass::Read => URGENT_BACKLOG_MAX,
            RequestClass::Upload | RequestClass::Report => PATIENT_BACKLOG_MAX,
        };
        backlog <= limit
    }

    /// Waits until `bytes` may be sent.
    pub(super) async fn pass(&self, bytes: u64) {
        let wait = self.lock().take(bytes, self.clock.now());
        self.counter.inc_by(bytes);
        tokio::time::sleep(wait).await;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LinkBucket> {
        self.bucket.lock().unwrap_or_else(|error| error.into_inner())
    }
}
