//! The metrics of an entry instance.

use std::time::Duration;

use prometheus::{Gauge, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry};

use super::{ready_response::Sender, state::EntryState};
use crate::{
    core::{control::ServiceName, routing::Route},
    runtime::{
        logs::DroppedLines,
        metrics::{encode_registry, histogram_opts, opts, register_metric},
    },
};

/// The metrics of an entry instance. Clones share their values.
#[derive(Clone, Debug)]
pub(super) struct EntryMetrics {
    registry: Registry,
    requests: IntCounterVec,
    latency: HistogramVec,
    attempts: IntCounterVec,
    refused: IntCounterVec,
    retries: IntCounterVec,
    handed_over: IntCounterVec,
    upstream_notices: IntCounterVec,
    skipped_responses: IntCounter,
    disbelieved_refusals: IntCounterVec,
    extra_connections: IntCounter,
    links_lost: IntGauge,
    open_requests: IntGauge,
    open_connections: IntGaugeVec,
    message_bytes: IntGauge,
    ready: IntGauge,
    config_version: Gauge,
    failed_searches: IntCounter,
    config_age_ms: IntGauge,
    list_age_ms: IntGauge,
    upstreams: IntGaugeVec,
    entry_instances: IntGauge,
    dropped_lines: IntGaugeVec,
}

/// The outcome of a request, as a metric label.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RequestOutcome {
    /// An upstream responded with success.
    Served,
    /// An upstream responded with an error.
    UpstreamError,
    /// The request did not run, and the response says so.
    Refused,
    /// The request may have run, but the caller got no response from an upstream.
    Failed,
    /// The caller disconnected before the response.
    CallerLeft,
}

impl RequestOutcome {
    /// Returns the outcome of a request by the status of its response. `is_local`
    /// states whether this instance, not an upstream, produced the response.
    pub(super) fn new(status: u16, is_local: bool) -> Self {
        match (is_local, status) {
            (false, ..400) => Self::Served,
            (false, _) => Self::UpstreamError,
            (true, 408 | 421 | 429 | 503) => Self::Refused,
            (true, _) => Self::Failed,
        }
    }

    fn label(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::UpstreamError => "upstream_error",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::CallerLeft => "caller_left",
        }
    }
}

impl EntryMetrics {
    /// Creates metrics with a registry of their own.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name. A test checks that none do.
    pub(super) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name, help, labels: &[&str]| {
            register_metric(&registry, IntCounterVec::new(opts(name, help), labels))
        };
        let gauge = |name, help| register_metric(&registry, IntGauge::with_opts(opts(name, help)));
        let gauge_vec = |name, help, labels: &[&str]| {
            register_metric(&registry, IntGaugeVec::new(opts(name, help), labels))
        };
        let latency = HistogramVec::new(
            histogram_opts("request_seconds", "Time from a request's head to its answer."),
            &["service", "priority"],
        );
        Ok(Self {
            requests: counter(
                "requests_total",
                "Requests that were routed, by service, priority and outcome.",
                &["service", "priority", "outcome"],
            )?,
            attempts: counter(
                "attempts_total",
                "Requests that were sent to upstreams, by service.",
                &["service"],
            )?,
            refused: counter(
                "refused_total",
                "Requests that were refused without being run, by reason.",
                &["reason"],
            )?,
            retries: counter(
                "retries_total",
                "Retries that were asked of the budget, by service and whether granted.",
                &["service", "granted"],
            )?,
            handed_over: counter(
                "handed_over_total",
                "Requests that were sent to another entry instance, by outcome.",
                &["outcome"],
            )?,
            upstream_notices: counter(
                "upstream_notices_total",
                "Upstreams that began to say that they leave or want a pause, or that sent an \
                 invalid value for it.",
                &["notice"],
            )?,
            skipped_responses: register_metric(
                &registry,
                IntCounter::with_opts(opts(
                    "skipped_responses_total",
                    "Responses of upstreams and peers that bear the id of another request than \
                     the one under way.",
                )),
            )?,
            disbelieved_refusals: counter(
                "disbelieved_refusals_total",
                "Refusals of upstreams and peers that were not taken for `not run`, by reason.",
                &["reason"],
            )?,
            extra_connections: register_metric(
                &registry,
                IntCounter::with_opts(opts(
                    "extra_connections_total",
                    "Requests whose id all idle connections to an upstream or a peer had carried.",
                )),
            )?,
            links_lost: gauge(
                "links_lost",
                "1 while the upstreams of some service can't be reached.",
            )?,
            open_requests: gauge("open_requests", "Requests in progress.")?,
            open_connections: gauge_vec(
                "open_connections",
                "Connections that are served, by who sends requests on them.",
                &["sender"],
            )?,
            message_bytes: gauge(
                "message_bytes",
                "Memory that requests and responses take, in bytes.",
            )?,
            ready: gauge("ready", "1 while the directory may name this instance.")?,
            config_version: register_metric(
                &registry,
                Gauge::with_opts(opts(
                    "config_version",
                    "Version of the configuration in force; -1 while there is none.",
                )),
            )?,
            failed_searches: register_metric(
                &registry,
                IntCounter::with_opts(opts(
                    "failed_searches_total",
                    "Searches that found no control replica that is up to date.",
                )),
            )?,
            config_age_ms: gauge(
                "config_age_milliseconds",
                "Time since the configuration in force was last known to be the newest; -1 while \
                 it never was.",
            )?,
            list_age_ms: gauge(
                "list_age_milliseconds",
                "Age of the list of upstreams; -1 while there is none.",
            )?,
            upstreams: gauge_vec("upstreams", "Upstreams that are listed, by state.", &["state"])?,
            entry_instances: gauge("entry_instances", "Entry instances that share the limits.")?,
            dropped_lines: gauge_vec(
                "dropped_log_lines",
                "Log lines dropped since the start, by reason.",
                &["reason"],
            )?,
            latency: register_metric(&registry, latency)?,
            registry,
        })
    }

    /// Records the outcome of a request and the time from its head to its end.
    pub(super) fn record_request(
        &self,
        service: &ServiceName,
        route: &Route,
        outcome: RequestOutcome,
        elapsed: Duration,
    ) {
        let priority = route.priority.to_string();
        let labels = [service.as_str(), &priority];
        self.requests.with_label_values(&[labels[0], labels[1], outcome.label()]).inc();
        self.latency.with_label_values(&labels).observe(elapsed.as_secs_f64());
    }

    /// Counts an attempt at an upstream.
    pub(super) fn record_attempt(&self, service: &ServiceName) {
        self.attempts.with_label_values(&[service.as_str()]).inc();
    }

    /// Counts a refused request.
    pub(super) fn record_refused(&self, reason: &str) {
        self.refused.with_label_values(&[reason]).inc();
    }

    /// Counts a retry that the budget granted or denied.
    pub(super) fn record_retry(&self, service: &ServiceName, is_granted: bool) {
        let granted = if is_granted { "yes" } else { "no" };
        self.retries.with_label_values(&[service.as_str(), granted]).inc();
    }

    /// Counts a request that was sent to another entry instance.
    pub(super) fn record_hand_over(&self, outcome: &str) {
        self.handed_over.with_label_values(&[outcome]).inc();
    }

    /// Counts a search that found no control replica that is up to date.
    pub(super) fn record_failed_search(&self) {
        self.failed_searches.inc();
    }

    /// Counts what an upstream began to say of itself.
    pub(super) fn record_notice(&self, notice: &str) {
        self.upstream_notices.with_label_values(&[notice]).inc();
    }

    /// Counts a response that bears the id of another request.
    pub(super) fn record_skipped_response(&self) {
        self.skipped_responses.inc();
    }

    /// Counts a refusal that is not taken for "not run".
    pub(super) fn record_disbelieved_refusal(&self, reason: &str) {
        self.disbelieved_refusals.with_label_values(&[reason]).inc();
    }

    /// Counts a request whose id all idle connections to an address had carried.
    pub(super) fn record_extra_connection(&self) {
        self.extra_connections.inc();
    }

    /// Updates the gauges from the state of the instance.
    pub(super) fn update(&self, state: &EntryState, dropped_lines: &DroppedLines) {
        self.open_requests.set(state.open_requests.get() as i64);
        for (sender, label) in [(Sender::Caller, "caller"), (Sender::Peer, "peer")] {
            let count = state.connections(sender).count();
            self.open_connections.with_label_values(&[label]).set(count as i64);
        }
        self.message_bytes.set(state.memory.held_bytes() as i64);
        self.ready.set(i64::from(state.is_ready.load(std::sync::atomic::Ordering::Relaxed)));
        self.links_lost.set(i64::from(state.links.is_any_lost()));
        let version = state.config_version();
        self.config_version.set(version.map_or(-1.0, |version| version as f64));
        self.config_age_ms.set(state.config_age_ms().map_or(-1, |age_ms| age_ms as i64));
        self.list_age_ms.set(state.list_age_ms().map_or(-1, |age_ms| age_ms as i64));
        self.entry_instances.set(i64::from(state.entry_count()));
        let balancer = state.balancer.borrow();
        let unhealthy = balancer.count_unhealthy();
        let healthy = balancer.len() - unhealthy;
        self.upstreams.with_label_values(&["sound"]).set(healthy as i64);
        self.upstreams.with_label_values(&["unsound"]).set(unhealthy as i64);
        dropped_lines.set_gauges(&self.dropped_lines);
    }

    /// Returns all metrics in Prometheus' text format.
    pub(super) fn text(&self) -> String {
        encode_registry(&self.registry)
    }
}
