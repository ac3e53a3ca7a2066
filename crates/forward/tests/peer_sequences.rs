//! Sequence numbers of peer messages: outdated messages are rejected, and a restarted peer starts again.

use millford_api::exchange::PeerMessage;
use millford_forward::exchange::PeerSequences;

fn message(boot_id: u64, sequence: u64) -> PeerMessage {
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
    assert!(sequences.accept(&message(1, 5)));
    assert!(!sequences.accept(&message(1, 4)), "an older message");
    assert!(!sequences.accept(&message(1, 5)), "a repeated message");
    assert!(sequences.accept(&message(1, 6)));
    assert!(sequences.accept(&message(2, 1)), "the peer was restarted");
}
