//! Guards the external names of the forwarding proxy (flags, settings keys, metrics, headers) against changes. The
//! expected names are those of commit b3d3e00.

#[path = "../../api/tests/support/committed.rs"]
mod committed;
#[path = "../../settings/tests/support/daemon_flags.rs"]
mod daemon_flags;

use std::fmt::Write;

use committed::assert_committed;
use daemon_flags::DaemonUnderTest;
use http::{HeaderMap, HeaderName, HeaderValue};
use millford_core::Duration;
use millford_forward::quota::QuotaClient;
use millford_forward::{Dispatch, ForwardProtocol, MillfordProtocol};
use prometheus::core::Collector;

const DATA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/outside");

const DAEMON: DaemonUnderTest<'_> = DaemonUnderTest {
    program: env!("CARGO_BIN_EXE_millford-forward"),
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

#[test]
fn the_metric_of_degraded_quota_decisions_is_the_committed_one() {
    let metric = QuotaClient::default().metric();
    let descriptions = metric.desc();
    let [description] = descriptions[..] else {
        panic!("expected one metric, found {descriptions:?}");
    };
    assert_eq!(description.fq_name, "millford_proxy_quota_decided_alone");
    assert_eq!(description.variable_labels, ["reason"]);
}

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let pairs = pairs.iter().map(|(name, value)| {
        let name = HeaderName::from_static(name);
        (name, HeaderValue::from_static(value))
    });
    pairs.collect()
}

#[test]
fn callers_headers_are_read_under_the_committed_names() {
    let facts = MillfordProtocol.read_request(&headers(&[
        ("x-millford-request-id", "request"),
        ("authorization", "Bearer key"),
        ("x-millford-deadline-ms", "1500"),
        ("x-millford-model", "saga"),
        ("x-millford-tokens", "12,34"),
        ("x-millford-prompt-parts", "ff:5,1:6"),
        ("last-event-id", "7"),
    ]));
    assert_eq!(facts.request_id.as_deref(), Some("request"));
    assert_eq!(facts.tenant_key.as_deref(), Some("key"));
    assert_eq!(facts.time_budget, Some(Duration::from_millis(1500)));
    assert_eq!(facts.model, "saga");
    assert_eq!(facts.prompt_tokens, Some(12));
    assert_eq!(facts.output_tokens, Some(34));
    let blocks: Vec<(u64, u32)> = facts
        .prefix_blocks
        .iter()
        .map(|block| (block.id, block.tokens))
        .collect();
    assert_eq!(blocks, [(0xff, 5), (1, 6)]);
    assert_eq!(facts.resume_after, Some(7));
}

#[test]
fn headers_to_and_from_backends_have_the_committed_names() {
    let mut sent = headers(&[
        ("authorization", "Bearer key"),
        ("x-millford-tenant", "forged"),
    ]);
    let dispatch = Dispatch {
        backend_id: "backend",
        time_left: Duration::from_millis(900),
        tenant: Some("library"),
        urgency: 4,
        resume_after: Some(3),
    };
    MillfordProtocol.write_dispatch(&mut sent, &dispatch);
    let mut lines: Vec<String> = Vec::new();
    for (name, value) in &sent {
        let mut line = String::new();
        let value = value.to_str().expect("the value is text");
        writeln!(line, "{name}: {value}").expect("writing to a string succeeds");
        lines.push(line);
    }
    lines.sort();
    assert_committed(&format!("{DATA}/dispatch.txt"), &lines.concat());
    let facts = MillfordProtocol.read_response(&headers(&[
        ("x-millford-request-id", "request"),
        ("x-millford-run-state", "not_run"),
        ("x-millford-signature", "00"),
        ("keep-alive", "timeout=5"),
    ]));
    assert_eq!(facts.request_id.as_deref(), Some("request"));
    assert!(facts.not_run);
    assert!(facts.signed);
    assert_eq!(facts.keep_alive, Some(Duration::from_secs(5)));
    assert_eq!(MillfordProtocol.readiness_path(), "/readyz");
}
