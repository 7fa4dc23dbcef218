//! The gauges of a control replica.

use std::sync::Arc;

use prometheus::{Gauge, IntCounterVec, IntGauge, IntGaugeVec, Registry};

use super::{
    ControlNodeState,
    calls::{current_policy, voter_count},
    list_pages::ReadError,
    lock,
};
use crate::runtime::{
    logs::DroppedLines,
    metrics::{encode_registry, opts, register_metric},
};

/// The gauges of a control replica that the replica itself does not update.
/// Clones share their values.
#[derive(Clone, Debug)]
pub(super) struct ControlGauges {
    registry: Registry,
    config_version: Gauge,
    evacuated_zones: IntGauge,
    list_age_ms: IntGauge,
    listed_upstreams: IntGauge,
    entry_instances: IntGauge,
    voters: IntGauge,
    dropped_lines: IntGaugeVec,
}

impl ControlGauges {
    /// Creates gauges with a registry of their own.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics share a name; a test checks that none do.
    pub(super) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let gauge = |name, help| register_metric(&registry, IntGauge::with_opts(opts(name, help)));
        let dropped_lines = IntGaugeVec::new(
            opts("dropped_log_lines", "Log lines dropped since the start, by reason."),
            &["reason"],
        );
        Ok(Self {
            config_version: register_metric(
                &registry,
                Gauge::with_opts(opts(
                    "config_version",
                    "Version of the configuration applied here; -1 while there is none.",
                )),
            )?,
            evacuated_zones: gauge("evacuated_zones", "Availability zones that are evacuated.")?,
            list_age_ms: gauge(
                "list_age_milliseconds",
                "Age of the list of upstreams; -1 while there is none.",
            )?,
            listed_upstreams: gauge("listed_upstreams", "Upstreams that are listed.")?,
            entry_instances: gauge("entry_instances", "Entry instances that are up.")?,
            voters: gauge("voters", "Control replicas that have a vote.")?,
            dropped_lines: register_metric(&registry, dropped_lines)?,
            registry,
        })
    }

    /// Updates the gauges and returns all metrics of the control replica in
    /// Prometheus' text format.
    pub(super) async fn text(
        &self,
        state: &Arc<ControlNodeState>,
        dropped_lines: &DroppedLines,
    ) -> String {
        if let Some(policy) = current_policy(state).await {
            let version = policy.routing.version;
            self.config_version.set(version.map_or(-1.0, |version| version as f64));
            self.evacuated_zones.set(policy.evacuated.len() as i64);
        }
        if let Some(count) = voter_count(state).await {
            self.voters.set(count as i64);
        }
        let now = state.clock.now();
        let read_at = lock(&state.list).read_at();
        let age_ms = read_at.map_or(-1, |read_at| now.saturating_sub(read_at).as_millis() as i64);
        self.list_age_ms.set(age_ms);
        self.listed_upstreams.set(lock(&state.list).len() as i64);
        if let Some(count) = lock(&state.roster).up_count(now) {
            self.entry_instances.set(count as i64);
        }
        dropped_lines.set_gauges(&self.dropped_lines);
        let list_text = encode_registry(&state.list_counters.registry);
        state.metrics.text() + &encode_registry(&self.registry) + &list_text
    }
}

/// The counters of a control replica's readings of the list of upstreams.
#[derive(Clone, Debug)]
pub(super) struct ListCounters {
    registry: Registry,
    /// Entries that were passed over, by reason.
    pub(super) passed_over: IntCounterVec,
    /// Readings of the list that failed, by reason.
    pub(super) failed_readings: IntCounterVec,
}

impl ListCounters {
    /// Creates counters with a registry of their own.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics share a name.
    pub(super) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let passed_over = IntCounterVec::new(
            opts("passed_over_entries_total", "Entries of the list passed over, by reason."),
            &["reason"],
        );
        let passed_over = register_metric(&registry, passed_over)?;
        for reason in ["undecodable", "repeated_id"] {
            passed_over.with_label_values(&[reason]);
        }
        let failed_readings = IntCounterVec::new(
            opts("failed_list_readings_total", "Readings of the list that failed, by reason."),
            &["reason"],
        );
        let failed_readings = register_metric(&registry, failed_readings)?;
        for reason in ReadError::REASONS {
            failed_readings.with_label_values(&[reason]);
        }
        Ok(Self { registry, passed_over, failed_readings })
    }
}
