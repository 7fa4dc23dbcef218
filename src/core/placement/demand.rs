//! Measures how much each object is asked for at one entry instance.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::ObjectId;
use crate::core::{
    control::{InstanceName, RegionName, ServiceName},
    routing::RouteName,
};

/// Measures how much each object is asked for at one entry instance.
///
/// All times are measured from one origin that the driver chooses.
#[derive(Clone, Debug)]
pub struct DemandMeter {
    reported: Duration,
    objects: BTreeMap<ObjectId, Metered>,
    run_times: BTreeMap<RouteName, RunTime>,
}

#[derive(Clone, Debug)]
struct Metered {
    service: ServiceName,
    has_large_body: bool,
    busy: Duration,
    /// The average over several reports.
    busy_permille: f64,
}

/// Describes a request that was answered.
#[derive(Clone, Copy, Debug)]
pub struct AnsweredRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The route.
    pub route: &'a str,
    /// The object that the request concerned.
    pub object: ObjectId,
    /// Whether requests of the route have large bodies.
    pub has_large_body: bool,
    /// The time from sending the request to having the answer.
    pub took: Duration,
}

/// Says how much some objects are asked for at one entry instance.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DemandReport {
    /// The entry instance.
    pub instance: InstanceName,
    /// Its region.
    pub region: RegionName,
    /// The objects that are asked for most, by service.
    pub objects: BTreeMap<ServiceName, Vec<ObjectDemand>>,
}

/// Says how much one object is asked for.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ObjectDemand {
    /// The object.
    #[serde(rename = "o")]
    pub object: ObjectId,
    /// The slots that its requests keep busy, in thousandths.
    #[serde(rename = "b")]
    pub busy_permille: u32,
    /// Whether its requests have large bodies.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub has_large_body: bool,
}

/// The most objects in one report.
const OBJECTS_MAX: usize = 256;
/// The time over which demand is averaged.
const AVERAGED: Duration = Duration::from_secs(6);
/// Objects that are asked for less are forgotten, in thousandths of a slot.
const FORGOTTEN_PERMILLE: f64 = 2.0;

impl DemandMeter {
    /// Returns a meter that starts at `now`.
    pub fn new(now: Duration) -> Self {
        Self { reported: now, objects: BTreeMap::new(), run_times: BTreeMap::new() }
    }

    /// Notes a request that was answered.
    pub fn note(&mut self, request: &AnsweredRequest<'_>) {
        let took = request.took;
        let run_time = match self.run_times.get_mut(request.route) {
            Some(run_time) => run_time.note(took),
            None => {
                self.run_times.insert(request.route.to_owned(), RunTime::new(took));
                took
            }
        };
        let metered = self.objects.entry(request.object).or_insert_with(|| Metered {
            service: request.service.clone(),
            has_large_body: request.has_large_body,
            busy: Duration::ZERO,
            busy_permille: 0.0,
        });
        metered.busy += run_time;
    }

    /// Returns what was measured up to `now`.
    pub fn report(
        &mut self,
        instance: &InstanceName,
        region: &RegionName,
        now: Duration,
    ) -> DemandReport {
        let span = now.saturating_sub(self.reported).as_secs_f64().max(0.001);
        self.reported = now;
        let weight = 1.0 - (-span / AVERAGED.as_secs_f64()).exp();
        for metered in self.objects.values_mut() {
            metered.average(span, weight);
        }
        self.objects.retain(|_, metered| metered.busy_permille > FORGOTTEN_PERMILLE);
        let mut heaviest: Vec<(&ObjectId, &Metered)> = self.objects.iter().collect();
        heaviest
            .sort_by(|(_, left), (_, right)| right.busy_permille.total_cmp(&left.busy_permille));
        let mut objects: BTreeMap<ServiceName, Vec<ObjectDemand>> = BTreeMap::new();
        for (object, metered) in heaviest.into_iter().take(OBJECTS_MAX) {
            objects.entry(metered.service.clone()).or_default().push(ObjectDemand {
                object: *object,
                busy_permille: metered.busy_permille as u32,
                has_large_body: metered.has_large_body,
            });
        }
        DemandReport { instance: instance.clone(), region: region.clone(), objects }
    }
}

impl Metered {
    fn average(&mut self, span_s: f64, weight: f64) {
        let busy_permille = self.busy.as_secs_f64() * 1000.0 / span_s;
        self.busy_permille += (busy_permille - self.busy_permille) * weight;
        self.busy = Duration::ZERO;
    }
}

/// Estimates how long requests of a route usually run, without the few that
/// wait or meet an upstream that does not know their object.
#[derive(Clone, Copy, Debug)]
struct RunTime {
    estimate: Duration,
}

/// The estimate follows the quantile of which this part of times is less.
const QUANTILE: f64 = 0.4;
/// How fast the estimate moves, as a part of itself.
const STEP: f64 = 0.05;

impl RunTime {
    fn new(took: Duration) -> Self {
        Self { estimate: took }
    }

    fn note(&mut self, took: Duration) -> Duration {
        let step = self.estimate.mul_f64(STEP);
        if took > self.estimate {
            self.estimate += step.mul_f64(QUANTILE);
        } else {
            self.estimate -= step.mul_f64(1.0 - QUANTILE);
        }
        self.estimate
    }
}
