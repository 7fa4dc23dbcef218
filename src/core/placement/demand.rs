//! Measures the demand for objects at one entry instance.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::ObjectId;
use crate::core::{
    control::{InstanceName, RegionName, ServiceName},
    routing::RouteName,
};

/// Represents a meter of the demand for each object.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug)]
pub struct DemandMeter {
    /// When the last report was made.
    reported_at: Duration,
    objects: BTreeMap<ObjectId, ObjectMeter>,
    run_times: BTreeMap<RouteName, RunTime>,
}

#[derive(Clone, Debug)]
struct ObjectMeter {
    service: ServiceName,
    has_large_body: bool,
    /// The run time of the requests since the last report.
    busy_time: Duration,
    /// The moving average of the busy slots, in thousandths.
    busy_permille: f64,
}

/// Represents a request that an upstream responded to.
#[derive(Clone, Copy, Debug)]
pub struct CompletedRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The route.
    pub route: &'a str,
    /// The object of the request.
    pub object: ObjectId,
    /// Whether requests of the route have large bodies.
    pub has_large_body: bool,
    /// The time from sending the request to receiving the response.
    pub elapsed: Duration,
}

/// Represents the demand for objects at one entry instance.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DemandReport {
    /// The entry instance.
    pub instance: InstanceName,
    /// Its region.
    pub region: RegionName,
    /// The objects with the highest demand, by service.
    pub objects: BTreeMap<ServiceName, Vec<ObjectDemand>>,
}

/// Represents the demand for one object.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ObjectDemand {
    /// The object.
    #[serde(rename = "o")]
    pub object: ObjectId,
    /// The average number of slots that its requests occupy, in thousandths.
    #[serde(rename = "b")]
    pub busy_permille: u32,
    /// Whether its requests have large bodies.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub has_large_body: bool,
}

/// The maximum number of objects in one report.
const OBJECTS_MAX: usize = 256;
/// The time constant of the moving average of demand.
const AVERAGING_TIME: Duration = Duration::from_secs(6);
/// The demand at or below which an object is removed, in thousandths of a slot.
const BUSY_MIN_PERMILLE: f64 = 2.0;

impl DemandMeter {
    /// Returns a meter that starts at `now`.
    pub fn new(now: Duration) -> Self {
        Self { reported_at: now, objects: BTreeMap::new(), run_times: BTreeMap::new() }
    }

    /// Records a request that an upstream responded to.
    pub fn record_request(&mut self, request: &CompletedRequest<'_>) {
        let elapsed = request.elapsed;
        let run_time = match self.run_times.get_mut(request.route) {
            Some(run_time) => run_time.record(elapsed),
            None => {
                self.run_times.insert(request.route.to_owned(), RunTime::new(elapsed));
                elapsed
            }
        };
        let meter = self.objects.entry(request.object).or_insert_with(|| ObjectMeter {
            service: request.service.clone(),
            has_large_body: request.has_large_body,
            busy_time: Duration::ZERO,
            busy_permille: 0.0,
        });
        meter.busy_time += run_time;
    }

    /// Returns the demand since the last report and starts the next measurement.
    pub fn take_report(
        &mut self,
        instance: &InstanceName,
        region: &RegionName,
        now: Duration,
    ) -> DemandReport {
        let elapsed_s = now.saturating_sub(self.reported_at).as_secs_f64().max(0.001);
        self.reported_at = now;
        let weight = 1.0 - (-elapsed_s / AVERAGING_TIME.as_secs_f64()).exp();
        for meter in self.objects.values_mut() {
            meter.update_average(elapsed_s, weight);
        }
        self.objects.retain(|_, meter| meter.busy_permille > BUSY_MIN_PERMILLE);
        let mut busiest: Vec<(&ObjectId, &ObjectMeter)> = self.objects.iter().collect();
        busiest.sort_by(|(_, left), (_, right)| right.busy_permille.total_cmp(&left.busy_permille));
        let mut objects: BTreeMap<ServiceName, Vec<ObjectDemand>> = BTreeMap::new();
        for (object, meter) in busiest.into_iter().take(OBJECTS_MAX) {
            objects.entry(meter.service.clone()).or_default().push(ObjectDemand {
                object: *object,
                busy_permille: meter.busy_permille as u32,
                has_large_body: meter.has_large_body,
            });
        }
        DemandReport { instance: instance.clone(), region: region.clone(), objects }
    }
}

impl ObjectMeter {
    fn update_average(&mut self, elapsed_s: f64, weight: f64) {
        let busy_permille = self.busy_time.as_secs_f64() * 1000.0 / elapsed_s;
        self.busy_permille += (busy_permille - self.busy_permille) * weight;
        self.busy_time = Duration::ZERO;
    }
}

/// Represents a running estimate of a quantile of the run times of a route.
///
/// A low quantile leaves out the few requests that wait for a slot or reach an
/// upstream that has not handled their object.
#[derive(Clone, Copy, Debug)]
struct RunTime {
    estimate: Duration,
}

/// The fraction of run times that are below the estimate.
const QUANTILE: f64 = 0.4;
/// The step by which an observation moves the estimate, as a fraction of the estimate.
const STEP_FRACTION: f64 = 0.05;

impl RunTime {
    fn new(elapsed: Duration) -> Self {
        Self { estimate: elapsed }
    }

    /// Records a run time and returns the new estimate.
    fn record(&mut self, elapsed: Duration) -> Duration {
        let step = self.estimate.mul_f64(STEP_FRACTION);
        if elapsed > self.estimate {
            self.estimate += step.mul_f64(QUANTILE);
        } else {
            self.estimate -= step.mul_f64(1.0 - QUANTILE);
        }
        self.estimate
    }
}
