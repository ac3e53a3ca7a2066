//! News of peers: newest first, restarts, silence.

use millford_api::exchange::{ProxyNews, ReplicaWork};
use millford_core::MonotonicTime;
use millford_forward::exchange::PeerTable;

fn news(boot_id: u64, sequence: u64, work: &[(&str, u64)], work_complete: bool) -> ProxyNews {
    let work = work.iter().map(|(backend, tokens)| ReplicaWork {
        backend_id: (*backend).to_owned(),
        prefill_tokens: *tokens,
        ..ReplicaWork::default()
    });
    ProxyNews {
        member: "node-2".to_owned(),
        boot_id,
        sequence,
        work: work.collect(),
        work_complete,
        ..ProxyNews::default()
    }
}

fn tokens(table: &PeerTable, now: MonotonicTime) -> u64 {
    table
        .work(now)
        .values()
        .map(|counts| counts.prefill_tokens)
        .sum()
}

#[test]
fn the_newest_counts_stand() {
    let mut table = PeerTable::default();
    let now = MonotonicTime::from_millis(1000);
    assert!(table.take(now, &news(1, 5, &[("a", 10), ("b", 20)], true)));
    assert!(!table.take(now, &news(1, 4, &[("a", 99)], true)), "older");
    assert!(
        !table.take(now, &news(1, 5, &[("a", 99)], true)),
        "the same again"
    );
    assert_eq!(tokens(&table, now), 30);
    assert!(table.take(now, &news(1, 6, &[], false)), "usage only");
    assert_eq!(tokens(&table, now), 30);
    assert!(table.take(now, &news(1, 7, &[("b", 5)], true)));
    assert_eq!(tokens(&table, now), 5, "what is not listed is idle");
    assert!(table.take(now, &news(2, 1, &[("a", 1)], true)), "restarted");
    assert_eq!(tokens(&table, now), 1);
}

#[test]
fn a_silent_peer_counts_no_more() {
    let mut table = PeerTable::default();
    table.take(
        MonotonicTime::from_millis(0),
        &news(1, 1, &[("a", 10)], true),
    );
    assert_eq!(tokens(&table, MonotonicTime::from_millis(2900)), 10);
    assert_eq!(tokens(&table, MonotonicTime::from_millis(3100)), 0);
}
