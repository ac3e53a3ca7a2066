//! What a node that does not own a tenant's bucket knows of its level.

use millford_api::config::TokenQuota;
use millford_core::{Duration, MonotonicTime};

use super::cluster_bucket::BucketFigures;
use super::grant::Grant;

/// Nodes that share a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// All of them, at least 1.
    pub nodes: usize,
    /// Those of this node's zone, at least 1: they lose the same owners together.
    pub in_zone: usize,
}

/// Why a node decides on a request without an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DegradedReason {
    /// A reply did not come in time. The other nodes of the zone get theirs.
    AnswerLost,
    /// No owner that this zone uses has replied lately: none of its nodes has an owner.
    OwnersUnreachable,
}

impl DegradedReason {
    /// Every reason.
    pub const ALL: [DegradedReason; 2] = [
        DegradedReason::AnswerLost,
        DegradedReason::OwnersUnreachable,
    ];

    /// The value of the metric's label, which dates from before the present terms.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            DegradedReason::AnswerLost => "answer_lost",
            DegradedReason::OwnersUnreachable => "owners_gone",
        }
    }
}

impl FleetSize {
    /// The zone's part of the fleet.
    fn zone_share(self) -> f64 {
        self.in_zone as f64 / self.nodes.max(self.in_zone) as f64
    }
}

/// The owner's last reply, and what this node admitted since without one.
///
/// # Why a refusal without a request is right
/// Only time adds to the owner's bucket, at the quota's rate. What the owner last reported, and all that
/// the rate added since, is therefore at least what is left.
#[derive(Clone, Copy, Debug)]
pub struct LevelEstimate {
    figures: BucketFigures,
    /// Tokens left, as the owner reported it.
    level: f64,
    reported_at: MonotonicTime,
    /// What the whole fleet admits, in tokens a second.
    admitted_per_second: f64,
    /// Tokens that this node admitted since without a reply.
    admitted_degraded: f64,
    fleet: FleetSize,
}

impl LevelEstimate {
    /// Nothing was reported yet: the node goes by its equal share of the fleet. A full bucket at each node
    /// that has just started would be many times the quota.
    #[must_use]
    pub fn unknown(quota: &TokenQuota, fleet: FleetSize, now: MonotonicTime) -> Self {
        let figures = BucketFigures::of(quota);
        let share = 1.0 / fleet.nodes.max(1) as f64;
        Self {
            figures,
            level: figures.burst * share,
            reported_at: now,
            admitted_per_second: figures.rate * (1.0 - share),
            admitted_degraded: 0.0,
            fleet,
        }
    }

    /// An owner replied.
    pub fn apply(
        &mut self,
        now: MonotonicTime,
        quota: &TokenQuota,
        fleet: FleetSize,
        grant: &Grant,
    ) {
        *self = Self {
            figures: BucketFigures::of(quota),
            level: grant.level_tokens as f64,
            reported_at: now,
            admitted_per_second: grant.admitted_per_second as f64,
            admitted_degraded: 0.0,
            fleet,
        };
    }

    /// The time until anything can be left, when certainly nothing is left now.
    #[must_use]
    pub fn certain_wait(&self, now: MonotonicTime) -> Option<Duration> {
        let passed = now.since(self.reported_at).as_secs_f64();
        let upper_bound = self.level + passed * self.figures.rate;
        (upper_bound <= 0.0).then(|| self.figures.wait(upper_bound))
    }

    /// Admits a request while no owner replies. The fleet is assumed to go on as before, with this zone's
    /// share of what it admitted left to this zone.
    ///
    /// # Why this node's admissions count for the whole zone once its owners are unreachable
    /// They are lost for all its nodes together, and each of them has the same report. If each took what is
    /// left for itself, the zone would admit all that a tenant sends.
    ///
    /// # Errors
    /// The time until something is left.
    pub fn admit_degraded(
        &mut self,
        now: MonotonicTime,
        reason: DegradedReason,
        tokens: u64,
    ) -> Result<(), Duration> {
        let passed = now.since(self.reported_at).as_secs_f64();
        let expected_rate = self.admitted_per_second;
        let unspent = self.level + passed * (self.figures.rate - expected_rate);
        let zone_expected = passed * expected_rate * self.fleet.zone_share();
        let degraded_nodes = match reason {
            DegradedReason::AnswerLost => 1,
            DegradedReason::OwnersUnreachable => self.fleet.in_zone.max(1),
        };
        let zone_admitted = self.admitted_degraded * degraded_nodes as f64;
        let left = unspent.min(self.figures.burst) + zone_expected - zone_admitted;
        if left <= 0.0 {
            return Err(self.figures.wait(left));
        }
        self.admitted_degraded += tokens as f64;
        Ok(())
    }
}
