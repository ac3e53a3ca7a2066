//! Tracks the newest usage message of each peer.

use std::collections::BTreeMap;

use millford_api::exchange::PeerMessage;

/// Identifies the newest message of one peer.
#[derive(Debug, Default)]
struct Newest {
    boot_id: u64,
    sequence: u64,
}

/// The newest messages, by the sender's name.
#[derive(Debug, Default)]
pub struct PeerSequences {
    peers: BTreeMap<String, Newest>,
}

impl PeerSequences {
    /// Records a message. Returns `false` if it is not newer than all earlier ones of the same incarnation of the
    /// peer, so that it must be ignored.
    pub fn accept(&mut self, message: &PeerMessage) -> bool {
        let newest = self.peers.entry(message.member.clone()).or_default();
        let same_incarnation = newest.boot_id == message.boot_id;
        if same_incarnation && message.sequence <= newest.sequence {
            return false;
        }
        newest.boot_id = message.boot_id;
        newest.sequence = message.sequence;
        true
    }
}
