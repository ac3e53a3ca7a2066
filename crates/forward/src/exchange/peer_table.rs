//! The newest news of each peer.

use std::collections::BTreeMap;

use millford_api::exchange::{ProxyNews, ReplicaWork};
use millford_core::{Duration, MonotonicTime};
use millford_routing::{ReplicaCounts, ReplicaKey};

/// Work of a peer that was not heard for this long counts no more.
const WORK_KEPT_FOR: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct Peer {
    boot_id: u64,
    sequence: u64,
    heard: MonotonicTime,
    work: BTreeMap<ReplicaKey, ReplicaCounts>,
}

/// Peers by name.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<String, Peer>,
}

impl PeerTable {
    /// Takes news. False: they are older than what is known, and nothing of them counts.
    pub fn take(&mut self, now: MonotonicTime, news: &ProxyNews) -> bool {
        let peer = self.peers.entry(news.member.clone()).or_default();
        let same_start = peer.boot_id == news.boot_id;
        if same_start && news.sequence <= peer.sequence {
            return false;
        }
        peer.boot_id = news.boot_id;
        peer.sequence = news.sequence;
        peer.heard = now;
        if news.work_complete {
            peer.work.clear();
        }
        for work in &news.work {
            peer.work.insert(key_of(work), counts_of(work));
        }
        true
    }

    /// Work in flight of all peers that were heard lately.
    #[must_use]
    pub fn work(&self, now: MonotonicTime) -> BTreeMap<ReplicaKey, ReplicaCounts> {
        let mut total: BTreeMap<ReplicaKey, ReplicaCounts> = BTreeMap::new();
        let live = self
            .peers
            .values()
            .filter(|peer| now.since(peer.heard) < WORK_KEPT_FOR);
        for (key, counts) in live.flat_map(|peer| &peer.work) {
            let sum = total.entry(key.clone()).or_default();
            sum.prefill_tokens += counts.prefill_tokens;
            sum.decode_streams += counts.decode_streams;
            sum.held_requests += counts.held_requests;
        }
        total
    }
}

fn key_of(work: &ReplicaWork) -> ReplicaKey {
    ReplicaKey {
        backend_id: work.backend_id.clone(),
        pool: work.pool.clone(),
        model: work.model.clone(),
        version: work.version.clone(),
    }
}

fn counts_of(work: &ReplicaWork) -> ReplicaCounts {
    ReplicaCounts {
        prefill_tokens: work.prefill_tokens,
        decode_streams: work.decode_streams,
        held_requests: work.held_requests,
    }
}
