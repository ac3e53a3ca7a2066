//! Sequence numbers of peer messages: outdated messages are rejected, and a restarted peer starts again.

use millford_api::exchange::PeerMessage;
use millford_forward::exchange::PeerSequences;
use millford_forward::exchange::peer_sequences::MAX_PEERS;

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

#[test]
fn the_number_of_tracked_peers_is_limited_and_the_oldest_is_forgotten() {
    let mut sequences = PeerSequences::default();
    for number in 0..=MAX_PEERS as u64 {
        let message = PeerMessage {
            member: format!("peer-{number}"),
            boot_id: 1,
            sequence: 1,
            ..PeerMessage::default()
        };
        assert!(sequences.accept(&message));
    }
    assert_eq!(sequences.len(), MAX_PEERS);
}
