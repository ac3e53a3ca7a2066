//! Prometheus metrics of a proxy.

use millford_core::Duration;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, core::Collector,
};

/// Buckets of the time to the first token, in seconds.
const FIRST_TOKEN_BUCKETS: &[f64] = &[
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.3, 2.0, 4.0, 8.0, 16.0,
];

/// Buckets of the time between two chunks, in seconds.
const INTER_TOKEN_BUCKETS: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.02, 0.033, 0.05, 0.066, 0.1, 0.25, 1.0, 2.0,
];

/// Metrics of one proxy, with their own registry.
#[derive(Debug)]
pub struct ProxyMetrics {
    /// Registry of all metrics below, read by a scrape.
    pub registry: Registry,
    /// Completed and failed requests by route and result code.
    pub requests: IntCounterVec,
    /// Time from the arrival of a request to the first chunk of its stream, in seconds.
    pub first_token_seconds: Histogram,
    /// Time between two chunks of a stream, in seconds.
    pub inter_token_seconds: Histogram,
    /// First attempts sent to a backend.
    pub first_sends: IntCounter,
    /// Further attempts by kind: retry, hedge, resume.
    pub second_sends: IntCounterVec,
    /// Streams that were resumed on another backend.
    pub moved_streams: IntCounter,
    /// Ejections of backends by reason.
    pub ejections: IntCounterVec,
    /// Streams that are open to callers.
    pub open_streams: IntGauge,
    /// Requests in progress.
    pub open_requests: IntGauge,
    /// Applied configuration revision.
    pub applied_revision: IntGauge,
    /// Whether the agent is connected to the control plane: 1 or 0.
    pub agent_connected: IntGauge,
    /// Responses, or bytes of them, that were dropped, by cause.
    pub dropped_answers: IntCounterVec,
    /// Units of backends and callers that were larger than a limit, by reader.
    pub over_limit: IntCounterVec,
    /// Requests sampled for the decision log, by route and verdict.
    pub verdicts: IntCounterVec,
}

impl Default for ProxyMetrics {
    fn default() -> Self {
        let registry = Registry::new();
        Self {
            requests: counters(
                &registry,
                "requests_total",
                "Ended requests.",
                &["route", "code"],
            ),
            first_token_seconds: histogram(
                &registry,
                "first_token_seconds",
                "Time from arrival to the first chunk of a stream.",
                FIRST_TOKEN_BUCKETS,
            ),
            inter_token_seconds: histogram(
                &registry,
                "inter_token_seconds",
                "Time between two chunks of a stream.",
                INTER_TOKEN_BUCKETS,
            ),
            first_sends: counter(
                &registry,
                "first_sends_total",
                "First attempts sent to a backend.",
            ),
            second_sends: counters(
                &registry,
                "second_sends_total",
                "Retries, hedges and resumed streams sent to a backend.",
                &["kind"],
            ),
            moved_streams: counter(
                &registry,
                "moved_streams_total",
                "Streams resumed on another backend.",
            ),
            ejections: counters(
                &registry,
                "ejections_total",
                "Ejections of backends.",
                &["reason"],
            ),
            open_streams: gauge(&registry, "open_streams", "Streams open to callers."),
            open_requests: gauge(&registry, "open_requests", "Requests in progress."),
            applied_revision: gauge(
                &registry,
                "shown_revision",
                "Applied configuration revision.",
            ),
            agent_connected: gauge(
                &registry,
                "agent_in_touch",
                "Whether the agent is connected to the control plane.",
            ),
            dropped_answers: counters(
                &registry,
                "dropped_answers_total",
                "Responses, or bytes of them, that were dropped.",
                &["cause"],
            ),
            over_limit: counters(
                &registry,
                "over_limit_total",
                "Units of backends or callers that were larger than a limit.",
                &["reader"],
            ),
            verdicts: counters(
                &registry,
                "sampled_verdicts_total",
                "Requests sampled for the decision log, by verdict.",
                &["route", "verdict"],
            ),
            registry,
        }
    }
}

impl ProxyMetrics {
    /// Records a duration in a histogram of seconds.
    pub fn observe(histogram: &Histogram, duration: Duration) {
        histogram.observe(duration.as_secs_f64());
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(format!("millford_proxy_{name}"), help)
}

fn register<C: Collector + Clone + 'static>(registry: &Registry, metric: C) -> C {
    // Registration fails only for a duplicate name, which the metrics test would detect.
    let _ = registry.register(Box::new(metric.clone()));
    metric
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::with_opts(options(name, help)).expect("valid metric name");
    register(registry, metric)
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(options(name, help), labels).expect("valid metric name");
    register(registry, metric)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::with_opts(options(name, help)).expect("valid metric name");
    register(registry, metric)
}

fn histogram(registry: &Registry, name: &str, help: &str, buckets: &[f64]) -> Histogram {
    let options = HistogramOpts::from(options(name, help)).buckets(buckets.to_vec());
    let metric = Histogram::with_opts(options).expect("valid metric name");
    register(registry, metric)
}
