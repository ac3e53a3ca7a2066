//! News of peers: the newest ones count, restarts begin anew.

use millford_api::exchange::PeerMessage;
use millford_forward::exchange::PeerSequences;

fn news(boot_id: u64, sequence: u64) -> PeerMessage {
    PeerMessage {
        member: "node-2".to_owned(),
        boot_id,
        sequence,
        ..PeerMessage::default()
    }
}

#[test]
fn only_newer_messages_are_accepted_until_a_restart() {
    let mut sequences = PeerSequences::default();
    assert!(sequences.accept(&news(1, 5)));
    assert!(!sequences.accept(&news(1, 4)), "older");
    assert!(!sequences.accept(&news(1, 5)), "the same again");
    assert!(sequences.accept(&news(1, 6)));
    assert!(sequences.accept(&news(2, 1)), "restarted");
}
