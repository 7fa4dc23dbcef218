//! Computes and applies the differences between routing tables.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{CallerLimits, ConfigVersion, Route, RouteName, RoutingTable, ServiceSpec, version};
use crate::core::control::ServiceName;

/// Represents the changes from one routing table to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RoutingDelta {
    /// The version of the table after the changes.
    #[serde(with = "version")]
    pub version: Option<ConfigVersion>,
    /// The routes that are new or changed, or removed (`None`).
    pub routes: BTreeMap<RouteName, Option<Arc<Route>>>,
    /// The services that are new or changed, or removed (`None`).
    pub services: BTreeMap<ServiceName, Option<Arc<ServiceSpec>>>,
    /// The limits, if they change.
    pub limits: Option<CallerLimits>,
}

impl RoutingTable {
    /// Returns the changes from this table to `next`.
    pub fn delta_to(&self, next: &Self) -> RoutingDelta {
        RoutingDelta {
            version: next.version,
            routes: map_delta(&self.routes, &next.routes),
            services: map_delta(&self.services, &next.services),
            limits: (self.limits != next.limits).then(|| next.limits.clone()),
        }
    }

    /// Replaces the routes and services that `other` has too by those of `other`, so that they are
    /// in memory once.
    pub fn share_with(&mut self, other: &Self) {
        share_values(&mut self.routes, &other.routes);
        share_values(&mut self.services, &other.services);
    }

    /// Applies a delta that was computed from this table.
    pub fn apply_delta(&mut self, delta: &RoutingDelta) {
        self.version = delta.version;
        apply_changes(&mut self.routes, &delta.routes);
        apply_changes(&mut self.services, &delta.services);
        if let Some(limits) = &delta.limits {
            self.limits = limits.clone();
        }
    }
}

fn share_values<T: PartialEq>(
    map: &mut BTreeMap<String, Arc<T>>,
    other: &BTreeMap<String, Arc<T>>,
) {
    for (name, value) in map {
        if let Some(shared) = other.get(name).filter(|shared| *shared == value) {
            *value = shared.clone();
        }
    }
}

fn map_delta<T: PartialEq>(
    from: &BTreeMap<String, Arc<T>>,
    to: &BTreeMap<String, Arc<T>>,
) -> BTreeMap<String, Option<Arc<T>>> {
    let put = to
        .iter()
        .filter(|(name, value)| from.get(*name) != Some(*value))
        .map(|(name, value)| (name.clone(), Some(value.clone())));
    let removed =
        from.keys().filter(|name| !to.contains_key(*name)).map(|name| (name.clone(), None));
    put.chain(removed).collect()
}

fn apply_changes<T>(
    map: &mut BTreeMap<String, Arc<T>>,
    changes: &BTreeMap<String, Option<Arc<T>>>,
) {
    for (name, change) in changes {
        match change {
            Some(value) => {
                map.insert(name.clone(), value.clone());
            }
            None => {
                map.remove(name);
            }
        }
    }
}
