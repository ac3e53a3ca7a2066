//! Prometheus metrics of the agent.

use millford_bounded_io::MemoryBudget;
use millford_settings::metrics::render;
use prometheus::{IntGauge, Opts, Registry};

use crate::daemon::report::AgentReport;
use crate::daemon::traffic_meter::TrafficMeter;

/// Prefix of all metric names.
pub const NAMESPACE: &str = "millford_agent";

/// One metric with its value at the time of a scrape.
struct Metric {
    name: &'static str,
    help: &'static str,
    value: u64,
}

impl Metric {
    const fn new(name: &'static str, help: &'static str, value: u64) -> Self {
        Self { name, help, value }
    }
}

/// Renders all metrics in the Prometheus text format.
#[must_use]
pub fn text(report: &AgentReport, meter: &TrafficMeter, memory: &MemoryBudget) -> String {
    let registry = Registry::new();
    let metrics = status_metrics(report)
        .into_iter()
        .chain(control_metrics(report))
        .chain(quota_metrics(report))
        .chain(claim_metrics(report))
        .chain(traffic_metrics(meter));
    for metric in metrics {
        register(&registry, &metric);
    }
    for metric in memory.collectors() {
        // Only a duplicate name could fail here; the other metrics are still rendered.
        let _ = registry.register(metric);
    }
    render(&registry)
}

fn register(registry: &Registry, metric: &Metric) {
    let options = Opts::new(metric.name, metric.help).namespace(NAMESPACE);
    // Only an invalid name in the tables below could fail here; the other metrics are still
    // rendered.
    let Ok(gauge) = IntGauge::with_opts(options) else {
        return;
    };
    gauge.set(i64::try_from(metric.value).unwrap_or(i64::MAX));
    let _ = registry.register(Box::new(gauge));
}

fn status_metrics(report: &AgentReport) -> [Metric; 6] {
    [
        Metric::new(
            "in_touch",
            "1 while connected to a control node that has quorum contact",
            u64::from(report.connected),
        ),
        Metric::new(
            "complete",
            "1 once every shard has been confirmed",
            u64::from(report.complete),
        ),
        Metric::new(
            "proxy_linked",
            "1 while the proxy is connected",
            u64::from(report.proxy_connected),
        ),
        Metric::new(
            "session_epoch",
            "epoch of the open session, 0 without one",
            report.session_epoch,
        ),
        Metric::new(
            "config_revision",
            "newest configuration revision received",
            report.revision,
        ),
        Metric::new(
            "settles_waiting",
            "claim outcomes not acknowledged yet",
            report.pending_resolutions as u64,
        ),
    ]
}

fn control_metrics(report: &AgentReport) -> [Metric; 7] {
    let counters = &report.counters;
    [
        Metric::new(
            "control_links_total",
            "connections to control nodes",
            counters.links_up,
        ),
        Metric::new(
            "control_fail_overs_total",
            "failovers to another control node",
            counters.fail_overs,
        ),
        Metric::new(
            "sessions_opened_total",
            "sessions opened",
            counters.sessions_opened,
        ),
        Metric::new(
            "feed_changes_total",
            "feed messages that changed the state",
            counters.feed_changes,
        ),
        Metric::new(
            "feed_stale_total",
            "feed messages refused as stale",
            counters.feed_stale,
        ),
        Metric::new(
            "feed_gaps_total",
            "subscriptions repeated after a gap",
            counters.feed_gaps,
        ),
        Metric::new(
            "registry_views_total",
            "registry lists applied while a shard was unconfirmed",
            counters.registry_views,
        ),
    ]
}

fn quota_metrics(report: &AgentReport) -> [Metric; 3] {
    let counters = &report.counters;
    [
        Metric::new(
            "quota_granted_total",
            "quota requests granted",
            counters.quota_granted,
        ),
        Metric::new(
            "quota_refused_total",
            "quota requests refused: quota exceeded",
            counters.quota_refused,
        ),
        Metric::new(
            "quota_unavailable_total",
            "quota requests refused: no decision before the timeout",
            counters.quota_unavailable,
        ),
    ]
}

fn claim_metrics(report: &AgentReport) -> [Metric; 4] {
    let counters = &report.counters;
    [
        Metric::new(
            "claims_answered_total",
            "claims answered",
            counters.claims_answered,
        ),
        Metric::new(
            "claims_unavailable_total",
            "claims abandoned: no answer before the timeout",
            counters.claims_unavailable,
        ),
        Metric::new(
            "settles_acknowledged_total",
            "claim outcomes acknowledged",
            counters.resolutions_acknowledged,
        ),
        Metric::new(
            "settles_dropped_total",
            "claim outcomes refused: queue full",
            counters.resolutions_dropped,
        ),
    ]
}

fn traffic_metrics(meter: &TrafficMeter) -> [Metric; 4] {
    [
        Metric::new(
            "control_bytes_in_total",
            "bytes received from control nodes",
            meter.bytes_in(),
        ),
        Metric::new(
            "control_bytes_out_total",
            "bytes sent to control nodes",
            meter.bytes_out(),
        ),
        Metric::new(
            "control_frames_in_total",
            "frames received from control nodes",
            meter.frames_in(),
        ),
        Metric::new(
            "control_frames_out_total",
            "frames sent to control nodes",
            meter.frames_out(),
        ),
    ]
}
