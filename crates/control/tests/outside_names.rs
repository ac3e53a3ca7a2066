//! Compatibility of the control node's outer names with those of commit b3d3e00: flags, settings
//! keys, exit statuses and metrics.

#[path = "../../api/tests/support/committed.rs"]
mod committed;
#[path = "../../settings/tests/support/daemon_flags.rs"]
mod daemon_flags;
mod support;

use std::time::Duration;

use committed::assert_committed;
use daemon_flags::DaemonUnderTest;
use millford_control::daemon::shared::NodeShared;
use millford_settings::metrics::render;
use support::orders::cluster_with_leaders;

const DATA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/outside");

const DAEMON: DaemonUnderTest<'_> = DaemonUnderTest {
    program: env!("CARGO_BIN_EXE_millford-control"),
    data: DATA,
    address_flag: "--internal-address",
    address_taken_status: 1,
};

#[test]
fn flags_equal_the_committed_ones() {
    DAEMON.assert_flags();
}

#[test]
fn settings_keys_equal_the_committed_ones() {
    DAEMON.assert_keys();
}

#[test]
fn exit_statuses_equal_the_committed_ones() {
    DAEMON.assert_exit_statuses();
}

#[test]
fn metrics_equal_the_committed_ones() {
    let mut cluster = cluster_with_leaders(3, 1);
    cluster.run(Duration::from_millis(20));
    let shared = NodeShared::new().expect("the metrics");
    shared.publish(cluster.node("node-1").gateway(), 1);
    let text = render(shared.registry());
    assert_committed(
        &format!("{DATA}/metrics.txt"),
        &daemon_flags::metrics(&text),
    );
}
