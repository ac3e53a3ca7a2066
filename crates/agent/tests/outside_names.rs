//! Compatibility of externally visible names: flags, settings keys, exit statuses and metrics are
//! those of commit b3d3e00.

#[path = "../../api/tests/support/committed.rs"]
mod committed;
#[path = "../../settings/tests/support/daemon_flags.rs"]
mod daemon_flags;

use committed::assert_committed;
use daemon_flags::DaemonUnderTest;
use millford_agent::daemon::metrics;
use millford_agent::daemon::{AgentReport, TrafficMeter};
use millford_bounded_io::MemoryBudget;

const DATA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/outside");

const DAEMON: DaemonUnderTest<'_> = DaemonUnderTest {
    program: env!("CARGO_BIN_EXE_millford-agent"),
    data: DATA,
    address_flag: "--local-address",
    address_taken_status: 3,
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
fn metrics_are_the_committed_ones() {
    let text = metrics::text(
        &AgentReport::default(),
        &TrafficMeter::default(),
        &MemoryBudget::new(metrics::NAMESPACE, &[]),
    );
    assert_committed(
        &format!("{DATA}/metrics.txt"),
        &daemon_flags::metrics(&text),
    );
}
