//! Sums the demand for objects over the reports of all entry instances.

use std::{collections::BTreeMap, time::Duration};

use super::{DemandReport, ObjectDemand, ObjectId};
use crate::core::control::{InstanceName, RegionName, ServiceName};

/// Represents the demand for each object, summed over the last report of each entry
/// instance.
///
/// A report changes only the sums of the objects that it or its predecessor names.
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandTotals {
    reports: BTreeMap<InstanceName, (Duration, DemandReport)>,
    services: BTreeMap<ServiceName, BTreeMap<ObjectId, ObjectTotal>>,
}

/// Represents the summed demand for one object.
#[derive(Clone, Debug, Default)]
pub(super) struct ObjectTotal {
    /// The number of busy slots in thousandths, by requesting region.
    busy_permille: BTreeMap<RegionName, u64>,
    /// The number of reports that name the object.
    report_count: usize,
    /// The number of reports according to which its requests have large bodies.
    large_count: usize,
}

impl ObjectTotal {
    /// Returns whether its requests have large bodies.
    pub(super) fn has_large_body(&self) -> bool {
        self.large_count > 0
    }

    /// Returns the number of slots that its requests occupy.
    pub(super) fn busy_slots(&self) -> f64 {
        self.busy_permille.values().sum::<u64>() as f64 / 1000.0
    }

    /// Returns the region with the highest demand for it.
    pub(super) fn requesting_region(&self) -> Option<&RegionName> {
        let busiest = self.busy_permille.iter().max_by_key(|(_, busy)| **busy);
        busiest.map(|(region, _)| region)
    }

    fn add(&mut self, region: &RegionName, demand: &ObjectDemand) {
        match self.busy_permille.get_mut(region) {
            Some(busy) => *busy += u64::from(demand.busy_permille),
            None => {
                self.busy_permille.insert(region.clone(), u64::from(demand.busy_permille));
            }
        }
        self.report_count += 1;
        self.large_count += usize::from(demand.has_large_body);
    }

    fn subtract(&mut self, region: &RegionName, demand: &ObjectDemand) {
        if let Some(busy) = self.busy_permille.get_mut(region) {
            *busy = busy.saturating_sub(u64::from(demand.busy_permille));
        }
        self.report_count -= 1;
        self.large_count -= usize::from(demand.has_large_body);
    }
}

impl DemandTotals {
    /// Records a report, which replaces the last one of the same entry instance.
    pub(super) fn record_report(&mut self, report: DemandReport, now: Duration) {
        self.remove_report(&report.instance.clone());
        for (service, demands) in &report.objects {
            let objects = self.services.entry(service.clone()).or_default();
            for demand in demands {
                objects.entry(demand.object).or_default().add(&report.region, demand);
            }
        }
        self.reports.insert(report.instance.clone(), (now, report));
    }

    /// Removes the reports that were recorded before `oldest`.
    pub(super) fn remove_reports_before(&mut self, oldest: Duration) {
        let expired = self.reports.iter().filter(|(_, (recorded_at, _))| *recorded_at < oldest);
        let expired: Vec<InstanceName> = expired.map(|(instance, _)| instance.clone()).collect();
        expired.iter().for_each(|instance| self.remove_report(instance));
    }

    /// Returns the services with demand.
    pub(super) fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Returns the demand for each object of a service.
    pub(super) fn objects(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&ObjectId, &ObjectTotal)> {
        self.services.get(service).into_iter().flatten()
    }

    /// Returns whether any report names the object.
    pub(super) fn contains(&self, object: &ObjectId) -> bool {
        self.services.values().any(|objects| objects.contains_key(object))
    }

    fn remove_report(&mut self, instance: &InstanceName) {
        let Some((_, report)) = self.reports.remove(instance) else { return };
        for (service, demands) in &report.objects {
            let Some(objects) = self.services.get_mut(service) else { continue };
            for demand in demands {
                let Some(total) = objects.get_mut(&demand.object) else { continue };
                total.subtract(&report.region, demand);
                if total.report_count == 0 {
                    objects.remove(&demand.object);
                }
            }
            if objects.is_empty() {
                self.services.remove(service);
            }
        }
    }
}
