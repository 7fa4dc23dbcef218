//! The Prometheus metrics of an instance, and helpers to define metrics.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder, core::Collector,
};

/// Represents the metrics of one instance. Clones share them.
#[derive(Clone, Debug)]
pub(super) struct InstanceMetrics {
    registry: Registry,
    /// Requests of callers, by service and outcome.
    pub(super) requests: IntCounterVec,
    /// Look-ups, by outcome.
    pub(super) look_ups: IntCounterVec,
    /// Requests that were not run, by service and reason.
    pub(super) refused: IntCounterVec,
    /// Retries of requests, by service.
    pub(super) retries: IntCounterVec,
    /// Claims, by outcome.
    pub(super) claims: IntCounterVec,
    /// The time from a caller's request to the head of its response.
    pub(super) latency: HistogramVec,
    /// The duration of a claim.
    pub(super) claim_time: Histogram,
    /// The time from learning that an upstream is leaving until no request runs
    /// on it.
    pub(super) drain_time: Histogram,
    /// The slots in use, by service.
    pub(super) slots_used: IntGaugeVec,
    /// The usable slots, by service.
    pub(super) slots_usable: IntGaugeVec,
    /// The queued requests, by service.
    pub(super) queued_requests: IntGaugeVec,
    /// Bytes sent over links between regions, by destination region.
    pub(super) link_bytes: IntCounterVec,
    /// The version of the policy that this instance has in force.
    pub(super) version: IntGauge,
    /// The revision of the policy that this instance has in force.
    pub(super) revision: IntGauge,
    /// 1 while this instance holds its lease, else 0.
    pub(super) lease: IntGauge,
    /// 1 while the replica of this instance leads, else 0.
    pub(super) leads: IntGauge,
    /// The version that the replica of this instance has applied.
    pub(super) replica_version: IntGauge,
    /// The number of claims that the replica of this instance holds.
    pub(super) claims_held: IntGauge,
    /// The encoded length of the deltas that the replica of this instance keeps.
    pub(super) delta_bytes: IntGauge,
    /// The encoded size of the state that the replica of this instance holds, by kind.
    pub(super) state_bytes: IntGaugeVec,
    /// The limits on these sizes, by kind.
    pub(super) state_max_bytes: IntGaugeVec,
    /// The number of times the replica of this instance became leader.
    pub(super) elections: IntCounter,
}

/// The upper bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS_S: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0];

impl InstanceMetrics {
    /// Creates the metrics with their own registry.
    ///
    /// # Errors
    ///
    /// Returns an error when two metrics share a name; a test checks that none do.
    pub(super) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let metrics = Self {
            requests: IntCounterVec::new(
                opts("requests_total", "Requests of callers, by service and outcome."),
                &["service", "outcome"],
            )?,
            look_ups: IntCounterVec::new(
                opts("look_ups_total", "Look-ups, by outcome."),
                &["outcome"],
            )?,
            refused: IntCounterVec::new(
                opts("refused_total", "Requests that were not run, by service and reason."),
                &["service", "reason"],
            )?,
            retries: IntCounterVec::new(
                opts("retries_total", "Second offers of a request, by service."),
                &["service"],
            )?,
            claims: IntCounterVec::new(opts("claims_total", "Claims, by outcome."), &["outcome"])?,
            latency: HistogramVec::new(
                histogram_opts("latency_seconds", "Time to the head of an answer, by service."),
                &["service"],
            )?,
            claim_time: Histogram::with_opts(histogram_opts("claim_seconds", "Time of a claim."))?,
            drain_time: Histogram::with_opts(histogram_opts("drain_seconds", "Time of a drain."))?,
            slots_used: IntGaugeVec::new(opts("slots_used", "Slots in use."), &["service"])?,
            slots_usable: IntGaugeVec::new(
                opts("slots_usable", "Slots that may be used."),
                &["service"],
            )?,
            queued_requests: IntGaugeVec::new(
                opts("waiting", "Requests that wait."),
                &["service"],
            )?,
            link_bytes: IntCounterVec::new(
                opts("link_bytes_total", "Bytes sent to another region."),
                &["to"],
            )?,
            version: IntGauge::with_opts(opts("version", "The version in force here."))?,
            revision: IntGauge::with_opts(opts("revision", "The revision in force here."))?,
            lease: IntGauge::with_opts(opts("lease", "1 while this instance holds its lease."))?,
            leads: IntGauge::with_opts(opts("leads", "1 while this instance's replica leads."))?,
            replica_version: IntGauge::with_opts(opts(
                "replica_version",
                "The version applied by this instance's replica.",
            ))?,
            claims_held: IntGauge::with_opts(opts("claims_held", "Claims held."))?,
            delta_bytes: IntGauge::with_opts(opts(
                "delta_bytes",
                "Bytes of the deltas that this instance's replica keeps for followers.",
            ))?,
            state_bytes: IntGaugeVec::new(
                opts("state_bytes", "Encoded bytes of the replicated state, by kind."),
                &["kind"],
            )?,
            state_max_bytes: IntGaugeVec::new(
                opts("state_max_bytes", "Limits on the bytes of the replicated state, by kind."),
                &["kind"],
            )?,
            elections: IntCounter::with_opts(opts("elections_total", "Elections won."))?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let registry = &self.registry;
        let counters = [
            &self.requests,
            &self.look_ups,
            &self.refused,
            &self.retries,
            &self.claims,
            &self.link_bytes,
        ];
        for counter in counters {
            registry.register(Box::new(counter.clone()))?;
        }
        let gauges_by_label = [
            &self.slots_used,
            &self.slots_usable,
            &self.queued_requests,
            &self.state_bytes,
            &self.state_max_bytes,
        ];
        for gauge in gauges_by_label {
            registry.register(Box::new(gauge.clone()))?;
        }
        let gauges = [
            &self.version,
            &self.revision,
            &self.lease,
            &self.leads,
            &self.replica_version,
            &self.claims_held,
            &self.delta_bytes,
        ];
        for gauge in gauges {
            registry.register(Box::new(gauge.clone()))?;
        }
        registry.register(Box::new(self.latency.clone()))?;
        registry.register(Box::new(self.claim_time.clone()))?;
        registry.register(Box::new(self.drain_time.clone()))?;
        registry.register(Box::new(self.elections.clone()))
    }

    /// Returns all metrics in the Prometheus text format.
    pub(super) fn text(&self) -> String {
        encode_registry(&self.registry)
    }
}

/// Returns all metrics of a registry in the Prometheus text format.
pub(super) fn encode_registry(registry: &Registry) -> String {
    let mut buffer = Vec::new();
    if let Err(error) = TextEncoder::new().encode(&registry.gather(), &mut buffer) {
        tracing::warn!(%error, "metrics can't be encoded; the output is incomplete");
    }
    String::from_utf8_lossy(&buffer).into_owned()
}

/// Adds a metric to a registry and returns it.
///
/// # Errors
///
/// Returns an error if the metric is invalid or the registry has one of its name.
pub(super) fn register_metric<M: Collector + Clone + 'static>(
    registry: &Registry,
    metric: Result<M, prometheus::Error>,
) -> Result<M, prometheus::Error> {
    let metric = metric?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

/// Returns the options of a metric, with the namespace of the project.
pub(super) fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("bulrushspan")
}

/// Returns the options of a histogram of durations in seconds, with the namespace
/// of the project.
pub(super) fn histogram_opts(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(name, help).namespace("bulrushspan").buckets(LATENCY_BOUNDS_S.to_vec())
}
