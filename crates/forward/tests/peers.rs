//! News of peers: the newest ones count, restarts begin anew.

use millford_api::exchange::PeerMessage;
use millford_forward::exchange::PeerTable;

fn news(boot_id: u64, sequence: u64) -> PeerMessage {
    PeerMessage {
        member: "node-2".to_owned(),
        boot_id,
        sequence,
        ..PeerMessage::default()
    }
}

#[test]
fn the_newest_news_stand() {
    let mut table = PeerTable::default();
    assert!(table.take(&news(1, 5)));
    assert!(!table.take(&news(1, 4)), "older");
    assert!(!table.take(&news(1, 5)), "the same again");
    assert!(table.take(&news(1, 6)));
    assert!(table.take(&news(2, 1)), "restarted");
}
