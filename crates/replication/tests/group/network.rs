//! A network that loses, delays, reorders and repeats messages.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::replication::ReplicationMessage;
use millford_core::{Duration, MonotonicTime, NodeId};
use rand::Rng;
use rand::rngs::StdRng;

/// Probabilities and delays.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    pub loss: f64,
    pub duplication: f64,
    pub max_delay: Duration,
}

impl NetworkConditions {
    pub const CALM: NetworkConditions = NetworkConditions {
        loss: 0.0,
        duplication: 0.0,
        max_delay: Duration::from_millis(4),
    };
}

/// Messages under way.
#[derive(Debug)]
pub struct Network {
    pub conditions: NetworkConditions,
    /// Directed links that deliver nothing.
    pub cut: BTreeSet<(NodeId, NodeId)>,
    due: BTreeMap<(MonotonicTime, u64), ReplicationMessage>,
    next_number: u64,
}

impl Network {
    pub fn new(conditions: NetworkConditions) -> Self {
        Self {
            conditions,
            cut: BTreeSet::new(),
            due: BTreeMap::new(),
            next_number: 0,
        }
    }

    pub fn send(&mut self, now: MonotonicTime, message: ReplicationMessage, random: &mut StdRng) {
        if self.conditions.loss > 0.0 && random.random_bool(self.conditions.loss) {
            return;
        }
        if self.conditions.duplication > 0.0 && random.random_bool(self.conditions.duplication) {
            self.enqueue(now, message.clone(), random);
        }
        self.enqueue(now, message, random);
    }

    fn enqueue(&mut self, now: MonotonicTime, message: ReplicationMessage, random: &mut StdRng) {
        let longest = self.conditions.max_delay;
        let delay = random.random_range(Duration::from_micros(100)..=longest);
        self.due.insert((now + delay, self.next_number), message);
        self.next_number += 1;
    }

    /// The next message that is due, unless its link is cut.
    pub fn receive(&mut self, now: MonotonicTime) -> Option<ReplicationMessage> {
        loop {
            let first = self.due.first_entry()?;
            if first.key().0 > now {
                return None;
            }
            let message = first.remove();
            let link = (NodeId(message.from), NodeId(message.to));
            if !self.cut.contains(&link) {
                return Some(message);
            }
        }
    }
}
