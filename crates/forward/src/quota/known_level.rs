//! What a node that does not own a tenant knows of its bucket.

use millford_api::config::TokenQuota;
use millford_core::{Duration, MonotonicTime};

use super::cluster_bucket::BucketFigures;
use super::grant::Grant;

/// Nodes that hold a quota together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// All of them, at least 1.
    pub nodes: usize,
    /// Those of this node's zone, at least 1: they lose the same owners together.
    pub in_zone: usize,
}

/// Why a node decides on a request alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Alone {
    /// An answer did not come in time. The other nodes of the zone have theirs.
    AnswerLost,
    /// No owner that this zone asks has answered lately: all its nodes decide alone.
    OwnersUnreachable,
}

impl Alone {
    /// As metrics name it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Alone::AnswerLost => "answer_lost",
            Alone::OwnersUnreachable => "owners_gone",
        }
    }
}

impl FleetSize {
    /// The zone's part of the fleet.
    fn zone_share(self) -> f64 {
        self.in_zone as f64 / self.nodes.max(self.in_zone) as f64
    }
}

/// The owner's last answer, and what this node admitted since without one.
///
/// # Why a refusal without asking is right
/// Only time adds to the owner's bucket, at the quota's rate. What the owner last told, and all that
/// the rate gave since, is therefore at least what is left.
#[derive(Clone, Copy, Debug)]
pub struct KnownLevel {
    figures: BucketFigures,
    level: f64,
    told: MonotonicTime,
    admitted_per_second: f64,
    admitted_alone: f64,
    fleet: FleetSize,
}

impl KnownLevel {
    /// Nothing was told yet: the node goes by its equal share of the fleet. A whole bucket at each node that
    /// has just started would be many times the quota.
    #[must_use]
    pub fn unknown(quota: &TokenQuota, fleet: FleetSize, now: MonotonicTime) -> Self {
        let figures = BucketFigures::of(quota);
        let share = 1.0 / fleet.nodes.max(1) as f64;
        Self {
            figures,
            level: figures.burst * share,
            told: now,
            admitted_per_second: figures.rate * (1.0 - share),
            admitted_alone: 0.0,
            fleet,
        }
    }

    /// An owner answered.
    pub fn take(
        &mut self,
        now: MonotonicTime,
        quota: &TokenQuota,
        fleet: FleetSize,
        grant: &Grant,
    ) {
        *self = Self {
            figures: BucketFigures::of(quota),
            level: grant.level_tokens as f64,
            told: now,
            admitted_per_second: grant.admitted_per_second as f64,
            admitted_alone: 0.0,
            fleet,
        };
    }

    /// The time until anything can be left, when certainly nothing is left now.
    #[must_use]
    pub fn certain_wait(&self, now: MonotonicTime) -> Option<Duration> {
        let passed = now.since(self.told).as_secs_f64();
        let most = self.level + passed * self.figures.rate;
        (most <= 0.0).then(|| self.figures.wait(most))
    }

    /// Admits a request while no owner answers. The fleet is assumed to go on as before, with this zone's
    /// part of what it admitted left to this zone.
    ///
    /// # Why this node's admissions count for the whole zone once its owners are gone
    /// They are lost for all its nodes together, and each of them was told the same. If each took what is
    /// left for itself, the zone would admit all that a tenant asks for.
    ///
    /// # Errors
    /// The time until something is left.
    pub fn admit_degraded(
        &mut self,
        now: MonotonicTime,
        why: Alone,
        tokens: u64,
    ) -> Result<(), Duration> {
        let passed = now.since(self.told).as_secs_f64();
        let usual = self.admitted_per_second;
        let unspent = self.level + passed * (self.figures.rate - usual);
        let zone_usual = passed * usual * self.fleet.zone_share();
        let nodes_alone = match why {
            Alone::AnswerLost => 1,
            Alone::OwnersUnreachable => self.fleet.in_zone.max(1),
        };
        let zone_admitted = self.admitted_alone * nodes_alone as f64;
        let left = unspent.min(self.figures.burst) + zone_usual - zone_admitted;
        if left <= 0.0 {
            return Err(self.figures.wait(left));
        }
        self.admitted_alone += tokens as f64;
        Ok(())
    }
}
