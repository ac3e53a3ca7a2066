//! Estimates the level of a tenant's bucket on a node that does not own it.

use millford_api::config::TokenQuota;
use millford_core::{Duration, MonotonicTime};

use super::cluster_bucket::BucketParameters;
use super::grant::Grant;

/// Number of nodes that share a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Nodes of the whole fleet, at least 1.
    pub nodes: usize,
    /// Nodes in this node's zone, at least 1. They use the same owners and so lose contact with them together.
    pub in_zone: usize,
}

/// Why a node decides on a request without an owner's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DegradedReason {
    /// An owner's reply did not arrive in time, or the owner has not received the quota yet. The zone's other
    /// nodes are assumed to receive their replies.
    AnswerLost,
    /// All owners that this zone uses are unresponsive. None of the zone's nodes is assumed to reach an owner.
    OwnersUnreachable,
}

impl DegradedReason {
    /// All reasons.
    pub const ALL: [DegradedReason; 2] = [
        DegradedReason::AnswerLost,
        DegradedReason::OwnersUnreachable,
    ];

    /// Returns the value of the metric's label `reason`. The values are kept for compatibility, although some
    /// differ from the variants' names.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            DegradedReason::AnswerLost => "answer_lost",
            DegradedReason::OwnersUnreachable => "owners_gone",
        }
    }
}

impl FleetSize {
    /// Returns the share of the fleet's nodes that are in this node's zone, between 0 and 1.
    fn zone_share(self) -> f64 {
        self.in_zone as f64 / self.nodes.max(self.in_zone) as f64
    }
}

/// The level that an owner last reported, and what this node has admitted since then without a reply.
///
/// # Why a refusal without a request to the owner is correct
/// The owner's bucket is only refilled over time, at the quota's rate. The level that the owner last reported
/// plus the refill since then is therefore an upper bound of the present level.
#[derive(Clone, Copy, Debug)]
pub struct LevelEstimate {
    parameters: BucketParameters,
    /// Tokens left, as reported by the owner.
    level: f64,
    reported_at: MonotonicTime,
    /// Admission rate of the whole fleet, in tokens per second.
    admitted_per_second: f64,
    /// Tokens that this node admitted without a reply since `reported_at`.
    admitted_degraded: f64,
    fleet: FleetSize,
}

impl LevelEstimate {
    /// Creates the estimate for a node that has received no report yet: its equal share of the fleet's quota. If
    /// each node that has just started assumed a full bucket, together they would admit many times the quota.
    #[must_use]
    pub fn unknown(quota: &TokenQuota, fleet: FleetSize, now: MonotonicTime) -> Self {
        let parameters = BucketParameters::of(quota);
        let share = 1.0 / fleet.nodes.max(1) as f64;
        Self {
            parameters,
            level: parameters.burst * share,
            reported_at: now,
            admitted_per_second: parameters.rate * (1.0 - share),
            admitted_degraded: 0.0,
            fleet,
        }
    }

    /// Replaces the estimate with the one that an owner replied.
    pub fn apply(
        &mut self,
        now: MonotonicTime,
        quota: &TokenQuota,
        fleet: FleetSize,
        grant: &Grant,
    ) {
        *self = Self {
            parameters: BucketParameters::of(quota),
            level: grant.level_tokens as f64,
            reported_at: now,
            admitted_per_second: grant.admitted_per_second as f64,
            admitted_degraded: 0.0,
            fleet,
        };
    }

    /// Returns the shortest time until the bucket can admit requests again, or `None` unless it is certainly
    /// empty now.
    #[must_use]
    pub fn certain_wait(&self, now: MonotonicTime) -> Option<Duration> {
        let passed = now.since(self.reported_at).as_secs_f64();
        let upper_bound = self.level + passed * self.parameters.rate;
        (upper_bound <= 0.0).then(|| self.parameters.wait(upper_bound))
    }

    /// Admits a request without an owner's reply. The fleet is assumed to keep its admission rate, of which this
    /// zone may use its share.
    ///
    /// # Why this node's admissions count for the whole zone once its owners are unreachable
    /// All nodes of the zone lose contact with the owners together, and each has about the same last report. If
    /// each of them admitted all the tokens that were left, the zone would admit all that a tenant sends.
    ///
    /// # Errors
    /// Returns the time until the estimated level is above 0 again.
    pub fn admit_degraded(
        &mut self,
        now: MonotonicTime,
        reason: DegradedReason,
        tokens: u64,
    ) -> Result<(), Duration> {
        let passed = now.since(self.reported_at).as_secs_f64();
        let expected_rate = self.admitted_per_second;
        let unspent = self.level + passed * (self.parameters.rate - expected_rate);
        let zone_expected = passed * expected_rate * self.fleet.zone_share();
        let degraded_nodes = match reason {
            DegradedReason::AnswerLost => 1,
            DegradedReason::OwnersUnreachable => self.fleet.in_zone.max(1),
        };
        let zone_admitted = self.admitted_degraded * degraded_nodes as f64;
        let left = unspent.min(self.parameters.burst) + zone_expected - zone_admitted;
        if left <= 0.0 {
            return Err(self.parameters.wait(left));
        }
        self.admitted_degraded += tokens as f64;
        Ok(())
    }
}
