//! Fleet of proxy nodes in several zones, in each of which two owners grant the tokens of the tenant's quota.
//!
//! [`OwnerFleet`] reimplements the forwarding proxy's `QuotaClient`, step by step and without sockets; the owners use
//! the real `TenantQuotas`. A change to the client's order of owners, its limits or its degraded admission must be
//! repeated here.

use std::collections::BTreeMap;

use millford_core::{Duration, MonotonicTime};
use millford_forward::quota::{DegradedReason, FleetSize, LevelEstimate, PeerCount, TenantQuotas};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::admissions::Admissions;
use super::fleet_quota::{REQUEST, RequestSource, STEP_MS, quota, tenant};

/// Default interval of the owners' usage reports, in steps. Owners without new usage skip a report.
pub const REPORT_INTERVAL_STEPS: usize = 4;
/// Largest number of owners that are tried for one request; equal to the limit in `QuotaClient`.
const MAX_OWNERS_TRIED: usize = 3;
/// Consecutive unanswered requests after which an owner is suspected; equal to the limit in `PendingRequests`.
const UNANSWERED_TO_SUSPECT: u32 = 2;
/// Time for which a suspected owner is skipped, in steps.
const SUSPECT_STEPS: usize = 200;
/// Interval at which owners report their usage even when it did not change, in steps.
const FULL_REPORT_STEPS: usize = 200;

/// One of the two owners in a zone.
#[derive(Debug)]
pub struct Owner {
    quotas: TenantQuotas,
    boot_id: u64,
    reported_tokens: u64,
    /// Whether the owner answers requests and sends reports.
    pub is_up: bool,
}

impl Owner {
    fn new() -> Self {
        Self {
            quotas: TenantQuotas::default(),
            boot_id: 1,
            reported_tokens: 0,
            is_up: true,
        }
    }
}

/// Identifies an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OwnerId {
    zone: usize,
    /// 0 for the first owner of the zone, 1 for the second.
    index: usize,
}

/// A requesting node: its estimate of the quota's level and its record of unanswered requests.
#[derive(Clone, Debug)]
struct Node {
    estimate: LevelEstimate,
    uncharged: i64,
    /// By owner: number of consecutive unanswered requests, and the step until which the owner is suspected.
    unanswered_by_owner: BTreeMap<OwnerId, (u32, usize)>,
}

impl Node {
    fn is_suspected(&self, step: usize, owner: OwnerId) -> bool {
        let entry = self.unanswered_by_owner.get(&owner);
        entry.is_some_and(|(_, until)| step < *until)
    }

    fn record_unanswered(&mut self, step: usize, owner: OwnerId) {
        let (unanswered, until) = self.unanswered_by_owner.entry(owner).or_default();
        *unanswered += 1;
        if *unanswered >= UNANSWERED_TO_SUSPECT {
            *until = step + SUSPECT_STEPS;
        }
    }
}

/// Nodes that request tokens from owners, first from those of their own zone, and owners that report their usage
/// to each other.
#[derive(Debug)]
pub struct OwnerFleet {
    /// The two owners of each zone.
    pub owners: Vec<[Owner; 2]>,
    /// The nodes of each zone.
    nodes: Vec<Vec<Node>>,
    fleet: FleetSize,
    now: MonotonicTime,
    step: usize,
    random: ChaCha8Rng,
    /// Interval of the owners' usage reports, in steps.
    pub report_interval_steps: usize,
    /// Probability that a datagram is lost, in percent.
    pub loss_percent: u32,
    /// Zone that is partitioned from all others; `None` without a partition.
    pub partitioned_zone: Option<usize>,
    /// Decisions on all requests so far.
    pub admissions: Admissions,
    /// Number of tokens admitted in each zone.
    pub by_zone: BTreeMap<usize, u64>,
}

impl OwnerFleet {
    /// Creates a fleet whose token bucket is full.
    #[must_use]
    pub fn new(zones: usize, nodes_in_zone: usize, seed: u64) -> Self {
        let now = MonotonicTime::from_millis(1000);
        let fleet = FleetSize {
            nodes: zones * nodes_in_zone,
            in_zone: nodes_in_zone,
        };
        let node = Node {
            estimate: LevelEstimate::unknown(&quota(), fleet, now),
            uncharged: 0,
            unanswered_by_owner: BTreeMap::new(),
        };
        Self {
            owners: (0..zones).map(|_| [Owner::new(), Owner::new()]).collect(),
            nodes: vec![vec![node; nodes_in_zone]; zones],
            fleet,
            now,
            step: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            report_interval_steps: REPORT_INTERVAL_STEPS,
            loss_percent: 0,
            partitioned_zone: None,
            admissions: Admissions::default(),
            by_zone: BTreeMap::new(),
        }
    }

    fn draw_loss(&mut self) -> bool {
        self.random.random_range(0..100) < self.loss_percent
    }

    fn request(&mut self, zone: usize, node: usize) {
        let is_admitted = self.decide(zone, node).is_ok();
        self.admissions.record(self.now, is_admitted);
        if is_admitted {
            *self.by_zone.entry(zone).or_default() += REQUEST;
        }
    }

    /// Decides on a request as `QuotaClient` does; the error is the time to wait.
    fn decide(&mut self, zone: usize, node: usize) -> Result<(), Duration> {
        let mut tried = Vec::with_capacity(MAX_OWNERS_TRIED);
        for _ in 0..MAX_OWNERS_TRIED {
            let Some(id) = self.next_owner(zone, node, &tried) else {
                break;
            };
            if let Some(wait) = self.nodes[zone][node].estimate.certain_wait(self.now) {
                return Err(wait);
            }
            if let Some(decision) = self.query_owner(zone, node, id) {
                return decision;
            }
            tried.push(id);
        }
        let reason = match self.next_owner(zone, node, &[]) {
            Some(_) => DegradedReason::AnswerLost,
            None => DegradedReason::OwnersUnreachable,
        };
        let node = &mut self.nodes[zone][node];
        node.estimate.admit_degraded(self.now, reason, REQUEST)?;
        node.uncharged += i64::try_from(REQUEST).expect("small");
        Ok(())
    }

    /// Returns the next owner to try that is neither tried nor suspected nor partitioned from the node. Both owners
    /// of the node's own zone come first, then the first owner of each other zone.
    fn next_owner(&self, zone: usize, node: usize, tried: &[OwnerId]) -> Option<OwnerId> {
        let own = [0, 1].map(|index| OwnerId { zone, index });
        let others = (0..self.owners.len()).filter(|other| *other != zone);
        let first = |zone| OwnerId { zone, index: 0 };
        let mut owners = own.into_iter().chain(others.map(first));
        let node = &self.nodes[zone][node];
        owners.find(|owner| {
            !tried.contains(owner)
                && !node.is_suspected(self.step, *owner)
                && (owner.zone == zone
                    || self
                        .partitioned_zone
                        .is_none_or(|partitioned| partitioned != zone && partitioned != owner.zone))
        })
    }

    /// Requests tokens from an owner and returns its decision; `None` when the request or the reply was lost or the
    /// owner is down.
    fn query_owner(
        &mut self,
        zone: usize,
        node: usize,
        id: OwnerId,
    ) -> Option<Result<(), Duration>> {
        let (request_lost, reply_lost) = (self.draw_loss(), self.draw_loss());
        self.admissions.datagrams += 2;
        let owner = &self.owners[id.zone][id.index];
        let node = &mut self.nodes[zone][node];
        let grant = (owner.is_up && !request_lost).then(|| {
            let grant = owner
                .quotas
                .grant(self.now, &tenant(), REQUEST, node.uncharged);
            grant.expect("the tenant has a quota")
        });
        let Some(grant) = grant.filter(|_| !reply_lost) else {
            node.record_unanswered(self.step, id);
            return None;
        };
        node.unanswered_by_owner.remove(&id);
        node.uncharged = 0;
        node.estimate.apply(self.now, &quota(), self.fleet, &grant);
        Some(grant.decision)
    }

    /// Lets the owners send the usage reports that are due, then advances the time by one step.
    fn advance_step(&mut self) {
        let is_full_report = self.step.is_multiple_of(FULL_REPORT_STEPS);
        if is_full_report || self.step.is_multiple_of(self.report_interval_steps) {
            // Real owners do not report at the same moment, and later reports include what earlier ones brought. A
            // random first zone varies that order.
            let first = self.random.random_range(0..self.owners.len());
            for turn in 0..self.owners.len() {
                let zone = (first + turn) % self.owners.len();
                for index in 0..2 {
                    self.report_usage(zone, index, is_full_report);
                }
            }
        }
        for (zone, owners) in self.owners.iter().enumerate() {
            for owner in owners.iter().filter(|owner| owner.is_up) {
                owner.quotas.tick(self.now, &zone.to_string());
            }
        }
        self.step += 1;
        self.now = self.now + Duration::from_millis(STEP_MS);
    }

    fn report_usage(&mut self, zone: usize, index: usize, is_full_report: bool) {
        let owner = &mut self.owners[zone][index];
        let levels = owner.quotas.levels(self.now);
        let Some(level) = levels.first().filter(|_| owner.is_up) else {
            return;
        };
        if !is_full_report && level.used_tokens == owner.reported_tokens {
            return;
        }
        owner.reported_tokens = level.used_tokens;
        let boot_id = owner.boot_id;
        for other in 0..self.owners.len() {
            for other_index in 0..2 {
                let is_itself = (other, other_index) == (zone, index);
                let is_partitioned = other != zone
                    && self
                        .partitioned_zone
                        .is_some_and(|partitioned| partitioned == zone || partitioned == other);
                self.admissions.datagrams += u64::from(!is_itself);
                if is_itself
                    || is_partitioned
                    || self.draw_loss()
                    || !self.owners[other][other_index].is_up
                {
                    continue;
                }
                let count = PeerCount {
                    member: &format!("owner-{zone}-{index}"),
                    boot_id,
                    tenant: &level.tenant,
                    used_tokens: level.used_tokens,
                    level_tokens: level.level_tokens,
                    counted_for: Some(level.counted_for),
                    owner_zone: Some(&zone.to_string()),
                };
                let quotas = &self.owners[other][other_index].quotas;
                quotas.apply_peer_count(self.now, &quota(), count);
            }
        }
    }

    /// Replaces an owner by a new process without state, as after a restart or a change of ownership.
    pub fn replace(&mut self, zone: usize, index: usize) {
        let owner = &mut self.owners[zone][index];
        let boot_id = owner.boot_id + 1;
        *owner = Owner {
            boot_id,
            ..Owner::new()
        };
    }

    /// Sends requests to random nodes of all zones at `times` the quota's rate, for `seconds` of simulated time.
    pub fn send_requests(&mut self, seconds: u64, times: f64) {
        let mut source = RequestSource::of(times);
        for _ in 0..seconds * 1000 / STEP_MS {
            for _ in 0..source.due_now() {
                let zone = self.random.random_range(0..self.nodes.len());
                let node = self.random.random_range(0..self.nodes[zone].len());
                self.request(zone, node);
            }
            self.advance_step();
        }
    }
}
