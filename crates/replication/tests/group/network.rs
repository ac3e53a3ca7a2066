//! A network that loses, delays, reorders and duplicates messages.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::replication::ReplicationMessage;
use millford_core::{Duration, MonotonicTime, NodeId};
use rand::Rng;
use rand::rngs::StdRng;

/// Fault probabilities and the longest delay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NetworkConditions {
    /// Probability that a message is lost.
    pub(crate) loss: f64,
    /// Probability that a message is duplicated.
    pub(crate) duplication: f64,
    /// Upper bound of the random delay, which is at least 100 microseconds.
    pub(crate) max_delay: Duration,
}

impl NetworkConditions {
    /// A network without faults and with short delays.
    pub(crate) const CALM: NetworkConditions = NetworkConditions {
        loss: 0.0,
        duplication: 0.0,
        max_delay: Duration::from_millis(4),
    };
}

/// Messages in transit and blocked links.
#[derive(Debug)]
pub(crate) struct Network {
    pub(crate) conditions: NetworkConditions,
    /// Directed links (sender, receiver) that deliver no messages.
    blocked_links: BTreeSet<(NodeId, NodeId)>,
    /// Messages by delivery time; the sequence number orders messages with the same time.
    in_transit: BTreeMap<(MonotonicTime, u64), ReplicationMessage>,
    next_sequence: u64,
}

impl Network {
    pub(crate) fn new(conditions: NetworkConditions) -> Self {
        Self {
            conditions,
            blocked_links: BTreeSet::new(),
            in_transit: BTreeMap::new(),
            next_sequence: 0,
        }
    }

    /// Blocks messages from `from` to `to`.
    pub(crate) fn block(&mut self, from: NodeId, to: NodeId) {
        self.blocked_links.insert((from, to));
    }

    /// Unblocks all links.
    pub(crate) fn heal(&mut self) {
        self.blocked_links.clear();
    }

    /// Sends a message, which may be lost, duplicated or delayed.
    pub(crate) fn send(
        &mut self,
        now: MonotonicTime,
        message: ReplicationMessage,
        random: &mut StdRng,
    ) {
        if self.conditions.loss > 0.0 && random.random_bool(self.conditions.loss) {
            return;
        }
        if self.conditions.duplication > 0.0 && random.random_bool(self.conditions.duplication) {
            self.enqueue(now, message.clone(), random);
        }
        self.enqueue(now, message, random);
    }

    fn enqueue(&mut self, now: MonotonicTime, message: ReplicationMessage, random: &mut StdRng) {
        let max_delay = self.conditions.max_delay;
        let delay = random.random_range(Duration::from_micros(100)..=max_delay);
        self.in_transit
            .insert((now + delay, self.next_sequence), message);
        self.next_sequence += 1;
    }

    /// Returns the next message that is due. Messages on blocked links are dropped when they are
    /// due.
    pub(crate) fn receive(&mut self, now: MonotonicTime) -> Option<ReplicationMessage> {
        loop {
            let first = self.in_transit.first_entry()?;
            if first.key().0 > now {
                return None;
            }
            let message = first.remove();
            let link = (NodeId(message.from), NodeId(message.to));
            if !self.blocked_links.contains(&link) {
                return Some(message);
            }
        }
    }
}
