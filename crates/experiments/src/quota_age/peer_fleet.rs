//! Nodes that each keep the whole bucket and tell each other what they admitted.

use millford_core::{Duration, MonotonicTime};
use millford_forward::quota::{PeerCount, TenantQuotas};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::admissions::Admissions;
use super::fleet_quota::{Pressure, REQUEST, STEP_MS, quota, tenant};

/// Between two rounds of a node, in steps.
const ROUND_STEPS: usize = 20;

/// Nodes, each of which tells some others in each round.
#[derive(Debug)]
pub struct PeerFleet {
    nodes: Vec<TenantQuotas>,
    names: Vec<String>,
    /// Peers that hear a round, and the first of each node's next ones.
    told_in_round: usize,
    next_told: Vec<usize>,
    now: MonotonicTime,
    step: usize,
    random: ChaCha8Rng,
    /// What was admitted.
    pub admissions: Admissions,
}

impl PeerFleet {
    /// A fleet whose bucket is full, in which each node tells `told_in_round` peers each 100 ms.
    #[must_use]
    pub fn new(nodes: usize, told_in_round: usize, seed: u64) -> Self {
        Self {
            nodes: (0..nodes).map(|_| TenantQuotas::default()).collect(),
            names: (0..nodes).map(|node| format!("node-{node}")).collect(),
            told_in_round: told_in_round.min(nodes - 1),
            next_told: (0..nodes).collect(),
            now: MonotonicTime::from_millis(1000),
            step: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            admissions: Admissions::default(),
        }
    }

    /// Requests at random nodes, at so many times the quota's rate.
    pub fn press(&mut self, seconds: u64, times: f64) {
        let mut pressure = Pressure::of(times);
        for _ in 0..seconds * 1000 / STEP_MS {
            for _ in 0..pressure.due_now() {
                let node = self.random.random_range(0..self.nodes.len());
                let admitted = self.nodes[node].admit(self.now, &tenant(), REQUEST);
                self.admissions.note(self.now, admitted.is_ok());
            }
            self.pass();
        }
    }

    /// The nodes whose round it is tell their peers; then a step passes.
    fn pass(&mut self) {
        for node in 0..self.nodes.len() {
            if (self.step + node).is_multiple_of(ROUND_STEPS) {
                self.tell(node);
                self.nodes[node].tick(self.now, "");
            }
        }
        self.step += 1;
        self.now = self.now + Duration::from_millis(STEP_MS);
    }

    fn tell(&mut self, node: usize) {
        let levels = self.nodes[node].levels(self.now);
        let Some(level) = levels.first() else {
            return;
        };
        for _ in 0..self.told_in_round {
            let mut peer = (self.next_told[node] + 1) % self.nodes.len();
            if peer == node {
                peer = (peer + 1) % self.nodes.len();
            }
            self.next_told[node] = peer;
            let count = PeerCount {
                member: &self.names[node],
                boot_id: 1,
                tenant: &level.tenant,
                used_tokens: level.used_tokens,
                level_tokens: level.level_tokens,
                counted_for: Some(level.counted_for),
                owner_zone: None,
            };
            self.nodes[peer].apply_peer_count(self.now, &quota(), count);
            self.admissions.datagrams += 1;
        }
    }
}
