//! Tracks the newest usage message of each peer.

use std::collections::BTreeMap;

use millford_api::exchange::PeerMessage;

/// Most peers that are tracked, since senders choose their names; many times the nodes of the planned fleet.
pub const MAX_PEERS: usize = 4096;

/// Identifies the newest message of one peer.
#[derive(Debug, Default)]
struct Newest {
    boot_id: u64,
    sequence: u64,
    /// Position of the message among all accepted ones.
    accepted: u64,
}

/// The newest messages, by the sender's name.
#[derive(Debug, Default)]
pub struct PeerSequences {
    peers: BTreeMap<String, Newest>,
    accepted: u64,
}

impl PeerSequences {
    /// Records a message. Returns `false` if it is not newer than all earlier ones of the same incarnation of the
    /// peer, so that it must be ignored.
    pub fn accept(&mut self, message: &PeerMessage) -> bool {
        if !self.peers.contains_key(&message.member) && self.peers.len() >= MAX_PEERS {
            self.forget_oldest();
        }
        let newest = self.peers.entry(message.member.clone()).or_default();
        let same_incarnation = newest.boot_id == message.boot_id;
        if same_incarnation && message.sequence <= newest.sequence {
            return false;
        }
        self.accepted += 1;
        newest.boot_id = message.boot_id;
        newest.sequence = message.sequence;
        newest.accepted = self.accepted;
        true
    }

    /// Returns the number of tracked peers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no peer is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Removes the peer whose last accepted message is the oldest: most likely it has left.
    fn forget_oldest(&mut self) {
        let oldest = self.peers.iter().min_by_key(|(_, newest)| newest.accepted);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.peers.remove(&name);
        }
    }
}
