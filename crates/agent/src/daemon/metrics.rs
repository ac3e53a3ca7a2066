//! Metrics of the agent.

use millford_settings::metrics::render;
use prometheus::{IntGauge, Opts, Registry};

use crate::daemon::report::AgentReport;
use crate::daemon::traffic_meter::TrafficMeter;

/// The metrics in the Prometheus text form.
#[must_use]
pub fn text(report: &AgentReport, meter: &TrafficMeter) -> String {
    let registry = Registry::new();
    let counters = &report.counters;
    let values = [
        (
            "in_touch",
            "1 while a control node in touch with its quorum answers",
            u64::from(report.in_touch),
        ),
        (
            "complete",
            "1 once every shard was confirmed",
            u64::from(report.complete),
        ),
        (
            "proxy_linked",
            "1 while the proxy is linked",
            u64::from(report.proxy_linked),
        ),
        (
            "session_epoch",
            "epoch of the open session",
            report.session_epoch,
        ),
        (
            "config_revision",
            "configuration revision held",
            report.revision,
        ),
        (
            "settles_waiting",
            "settlements not recorded yet",
            report.settles_waiting as u64,
        ),
        (
            "control_links_total",
            "connections to control nodes",
            counters.links_up,
        ),
        (
            "control_fail_overs_total",
            "control nodes left",
            counters.fail_overs,
        ),
        (
            "sessions_opened_total",
            "sessions opened",
            counters.sessions_opened,
        ),
        (
            "feed_changes_total",
            "feed messages that changed the state",
            counters.feed_changes,
        ),
        (
            "feed_stale_total",
            "feed messages refused as stale",
            counters.feed_stale,
        ),
        (
            "feed_gaps_total",
            "subscriptions repeated after a gap",
            counters.feed_gaps,
        ),
        (
            "quota_granted_total",
            "calls granted quota",
            counters.quota_granted,
        ),
        (
            "quota_refused_total",
            "calls refused: quota used up",
            counters.quota_refused,
        ),
        (
            "quota_unavailable_total",
            "calls refused: no quota decision in time",
            counters.quota_unavailable,
        ),
        (
            "claims_answered_total",
            "claims answered",
            counters.claims_answered,
        ),
        (
            "claims_unavailable_total",
            "claims given up",
            counters.claims_unavailable,
        ),
        (
            "settles_acknowledged_total",
            "settlements recorded",
            counters.settles_acknowledged,
        ),
        (
            "settles_dropped_total",
            "settlements refused: queue full",
            counters.settles_dropped,
        ),
        (
            "registry_views_total",
            "registry lists read while out of touch",
            counters.registry_views,
        ),
        (
            "control_bytes_in_total",
            "bytes received from control nodes",
            meter.bytes_in(),
        ),
        (
            "control_bytes_out_total",
            "bytes sent to control nodes",
            meter.bytes_out(),
        ),
        (
            "control_frames_in_total",
            "frames received from control nodes",
            meter.frames_in(),
        ),
        (
            "control_frames_out_total",
            "frames sent to control nodes",
            meter.frames_out(),
        ),
    ];
    for (name, help, value) in values {
        let options = Opts::new(name, help).namespace("millford_agent");
        // A wrong name would be a fault of the table above; a scrape shows the rest all the same.
        let Ok(gauge) = IntGauge::with_opts(options) else {
            continue;
        };
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        let _ = registry.register(Box::new(gauge));
    }
    render(&registry)
}
