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
pub struct PeerTable {
    peers: BTreeMap<String, Peer>,
}

impl PeerTable {
    /// Takes news. False: they are older than what is known, and nothing of them counts.
    pub fn take(&mut self, news: &PeerMessage) -> bool {
        let peer = self.peers.entry(news.member.clone()).or_default();
        let same_start = peer.boot_id == news.boot_id;
        if same_start && news.sequence <= peer.sequence {
            return false;
        }
        peer.boot_id = news.boot_id;
        peer.sequence = news.sequence;
        true
    }
}
