//! Which message of each peer is the newest.

use std::collections::BTreeMap;

use millford_api::exchange::PeerMessage;

/// The newest message of one peer.
#[derive(Debug, Default)]
struct Newest {
    boot_id: u64,
    sequence: u64,
}

/// The newest messages by the name of their sender.
#[derive(Debug, Default)]
pub struct PeerSequences {
    peers: BTreeMap<String, Newest>,
}

impl PeerSequences {
    /// Whether a message is newer than all before it of the same incarnation of the peer. One that is not
    /// must be ignored.
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
