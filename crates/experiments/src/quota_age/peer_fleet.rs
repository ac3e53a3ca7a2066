//! Fleet of nodes that each keep a token bucket for the complete quota and report their usage to each other.

use millford_core::{Duration, MonotonicTime};
use millford_forward::quota::{PeerCount, TenantQuotas};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::admissions::Admissions;
use super::fleet_quota::{REQUEST, RequestSource, STEP_MS, quota, tenant};

/// Interval of a node's usage reports, in steps.
const REPORT_INTERVAL_STEPS: usize = 20;

/// Nodes that each report their usage to the next `fanout` peers in every interval.
#[derive(Debug)]
pub struct PeerFleet {
    nodes: Vec<TenantQuotas>,
    names: Vec<String>,
    /// Number of peers that a node reports to in one interval.
    fanout: usize,
    /// Index of the peer that each node reported to last; the next report goes to the peer after it.
    last_notified: Vec<usize>,
    now: MonotonicTime,
    step: usize,
    random: ChaCha8Rng,
    /// Decisions on all requests so far.
    pub admissions: Admissions,
}

impl PeerFleet {
    /// Creates a fleet whose token bucket is full, in which each node reports to `fanout` peers every 100 ms.
    #[must_use]
    pub fn new(nodes: usize, fanout: usize, seed: u64) -> Self {
        Self {
            nodes: (0..nodes).map(|_| TenantQuotas::default()).collect(),
            names: (0..nodes).map(|node| format!("node-{node}")).collect(),
            fanout: fanout.min(nodes - 1),
            last_notified: (0..nodes).collect(),
            now: MonotonicTime::from_millis(1000),
            step: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            admissions: Admissions::default(),
        }
    }

    /// Sends requests to random nodes at `times` the quota's rate, for `seconds` of simulated time.
    pub fn send_requests(&mut self, seconds: u64, times: f64) {
        let mut source = RequestSource::of(times);
        for _ in 0..seconds * 1000 / STEP_MS {
            for _ in 0..source.due_now() {
                let node = self.random.random_range(0..self.nodes.len());
                let admitted = self.nodes[node].admit(self.now, &tenant(), REQUEST);
                self.admissions.record(self.now, admitted.is_ok());
            }
            self.advance_step();
        }
    }

    /// Lets the nodes whose report is due send it, then advances the time by one step.
    fn advance_step(&mut self) {
        for node in 0..self.nodes.len() {
            if (self.step + node).is_multiple_of(REPORT_INTERVAL_STEPS) {
                self.report_usage(node);
                self.nodes[node].tick(self.now, "");
            }
        }
        self.step += 1;
        self.now = self.now + Duration::from_millis(STEP_MS);
    }

    fn report_usage(&mut self, node: usize) {
        let levels = self.nodes[node].levels(self.now);
        let Some(level) = levels.first() else {
            return;
        };
        for _ in 0..self.fanout {
            let mut peer = (self.last_notified[node] + 1) % self.nodes.len();
            if peer == node {
                peer = (peer + 1) % self.nodes.len();
            }
            self.last_notified[node] = peer;
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
