//! Checks that the flags, settings keys, metrics and headers of the proxy match the committed
//! lists. Operators and other programs use these names; the lists hold them as of commit b3d3e00.

#[path = "../../api/tests/support/committed.rs"]
mod committed;
#[path = "../../settings/tests/support/daemon_flags.rs"]
mod daemon_flags;

use std::fmt::Write;

use committed::assert_committed;
use daemon_flags::DaemonUnderTest;
use http::{HeaderMap, HeaderValue};
use millford_data_plane::proxy_metrics::ProxyMetrics;
use millford_proxy::backend_protocol;
use millford_proxy::daemon::caller_headers::read_headers;
use millford_proxy::daemon::responses;
use millford_settings::metrics::render;
use prometheus::core::Collector;

const DATA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/outside");

const DAEMON: DaemonUnderTest<'_> = DaemonUnderTest {
    program: env!("CARGO_BIN_EXE_millford-proxy"),
    data: DATA,
    address_flag: "--caller-address",
    address_taken_status: 1,
};

#[test]
fn flags_are_the_committed_ones() {
    DAEMON.assert_flags();
}

#[test]
fn settings_keys_are_the_committed_ones() {
    DAEMON.assert_keys();
}

#[test]
fn exit_statuses_are_the_committed_ones() {
    DAEMON.assert_exit_statuses();
}

/// Appends the name and labels of a metric, also if it has no sample.
fn describe(lines: &mut Vec<String>, metric: &dyn Collector) {
    for description in metric.desc() {
        let labels = description.variable_labels.join(",");
        lines.push(format!("{} {{{labels}}}\n", description.fq_name));
    }
}

#[test]
fn metrics_are_the_committed_ones() {
    let metrics = ProxyMetrics::default();
    let mut lines = Vec::new();
    let listed: [&dyn Collector; 14] = [
        &metrics.requests,
        &metrics.first_token_seconds,
        &metrics.inter_token_seconds,
        &metrics.first_sends,
        &metrics.second_sends,
        &metrics.moved_streams,
        &metrics.ejections,
        &metrics.open_streams,
        &metrics.open_requests,
        &metrics.applied_revision,
        &metrics.agent_connected,
        &metrics.dropped_answers,
        &metrics.verdicts,
        &metrics.over_limit,
    ];
    for metric in listed {
        describe(&mut lines, metric);
    }
    lines.sort();
    // The scrape of a proxy that has served no request shows types and buckets too.
    let text = render(&metrics.registry);
    let samples = text.lines().filter(|line| !line.starts_with("# HELP"));
    lines.extend(samples.map(|line| format!("{line}\n")));
    assert_committed(&format!("{DATA}/metrics.txt"), &lines.concat());
}

#[test]
fn headers_towards_backends_and_callers_are_the_committed_ones() {
    let names = [
        ("attempt", backend_protocol::ATTEMPT_HEADER),
        ("run", backend_protocol::RUN_HEADER),
        ("deadline", backend_protocol::DEADLINE_HEADER),
        ("resume from", backend_protocol::RESUME_FROM_HEADER),
        ("resume at", backend_protocol::RESUME_AT_HEADER),
        ("run state", backend_protocol::RUN_STATE_HEADER),
        ("not run", backend_protocol::RUN_STATE_NOT_RUN),
        ("version", backend_protocol::VERSION_HEADER),
        ("stage", backend_protocol::STAGE_HEADER),
        ("adapter", backend_protocol::ADAPTER_HEADER),
        ("completions", backend_protocol::COMPLETIONS_PATH),
        ("health", backend_protocol::HEALTH_PATH),
        ("attempts", backend_protocol::ATTEMPTS_PATH),
        ("attempt age", backend_protocol::ATTEMPT_AGE_HEADER),
        ("field of an event", backend_protocol::CHUNK_FIELD),
        ("end of a stream", backend_protocol::DONE_MARKER),
        ("failure of a stream", backend_protocol::ERROR_EVENT),
        ("request id", responses::REQUEST_ID_HEADER),
        ("revision", responses::REVISION_HEADER),
    ];
    let mut lines = String::new();
    for (what, name) in names {
        writeln!(lines, "{what}: {name}").expect("write to a string");
    }
    assert_committed(&format!("{DATA}/headers.txt"), &lines);
}

#[test]
fn callers_headers_are_read_under_the_committed_names() {
    let mut headers = HeaderMap::new();
    for name in [
        "authorization",
        "content-type",
        "idempotency-key",
        "x-millford-session",
        "x-millford-deadline-ms",
        "x-millford-stage",
        "x-millford-adapter",
    ] {
        headers.insert(name, HeaderValue::from_static(name));
    }
    let read = read_headers(&headers, 4096).expect("valid headers");
    assert_eq!(read.authorization.as_deref(), Some("authorization"));
    assert_eq!(read.content_type.as_deref(), Some("content-type"));
    assert_eq!(read.idempotency_key.as_deref(), Some("idempotency-key"));
    assert_eq!(read.session.as_deref(), Some("x-millford-session"));
    assert_eq!(read.deadline_ms.as_deref(), Some("x-millford-deadline-ms"));
    assert_eq!(read.stage.as_deref(), Some("x-millford-stage"));
    assert_eq!(read.adapter.as_deref(), Some("x-millford-adapter"));
}
