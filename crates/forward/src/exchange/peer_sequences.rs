//! Which news of each peer are the newest.

use std::collections::BTreeMap;

use millford_api::exchange::PeerMessage;

#[derive(Debug, Default)]
struct Peer {
    boot_id: u64,
    sequence: u64,
}

/// Peers by name.
#[derive(Debug, Default)]
pub struct PeerSequences {
    peers: BTreeMap<String, Peer>,
}

impl PeerSequences {
    /// Takes news. False: they are older than what is known, and nothing of them counts.
    pub fn accept(&mut self, message: &PeerMessage) -> bool {
        let peer = self.peers.entry(message.member.clone()).or_default();
        let same_start = peer.boot_id == message.boot_id;
        if same_start && message.sequence <= peer.sequence {
            return false;
        }
        peer.boot_id = message.boot_id;
        peer.sequence = message.sequence;
        true
    }
}
