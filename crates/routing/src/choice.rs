//! Choice of a backend: a home of the request's affinity key unless its load outweighs what its warm
//! cache saves, otherwise the less loaded of two random candidates.
//!
//! The homes of a key are the first backends in its rendezvous order.

use crate::rendezvous;
use crate::serving_pool::FULL_WEIGHT_MILLI;

/// Extra load, beyond the alternative's load and the saving, that a home may have if its warm cache
/// saves all prefill; as a multiple of the candidates' mean load.
pub const HOME_LOAD_TOLERANCE: f64 = 1.5;

/// Number of homes that are tried, in rendezvous order, before the key's affinity is ignored.
pub const HOMES_TRIED: usize = 2;

/// A backend that may serve the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Id of the backend in the feed, which also determines its rendezvous score.
    pub backend_id: String,
    /// Relative share of new work, in thousandths.
    pub weight_milli: u32,
    /// Estimated processor time of the work in flight divided by the number of cores, in milliseconds.
    pub load: f64,
}

/// The chosen candidate, and whether affinity decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Position in the list of candidates.
    pub index: usize,
    /// Whether the candidate was chosen as a home of the request's affinity key.
    pub by_affinity: bool,
}

/// Key that routes related requests to the same backend, with the expected benefit of doing so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Affinity {
    /// Hash of the session or the shared prefix.
    pub key: u64,
    /// Processor time that the warm cache of a home saves, in the unit of [`Candidate::load`].
    pub saving: f64,
    /// Share of the request's prefill that the warm cache of a home saves, from 0 to 1.
    pub gain: f64,
}

/// Chooses a candidate. Returns `None` only if `candidates` is empty.
///
/// The alternative to a home is the less loaded of two candidates drawn at random by weight. A home is
/// chosen unless its load exceeds the alternative's by more than the saving plus a tolerance that is
/// proportional to the gain, so a busy home keeps only the requests that still benefit from it.
/// `random` holds two independent random numbers.
#[must_use]
pub fn choose(
    candidates: &[Candidate],
    affinity: Option<Affinity>,
    random: [u64; 2],
) -> Option<Choice> {
    let index = better_of_two(candidates, random)?;
    let alternative = weighted_load(&candidates[index]);
    let home =
        affinity.and_then(|affinity| home_within_load_bound(candidates, affinity, alternative));
    Some(match home {
        Some(home) => Choice {
            index: home,
            by_affinity: true,
        },
        None => Choice {
            index,
            by_affinity: false,
        },
    })
}

/// Returns the first home in rendezvous order whose load is at most the alternative's load plus the
/// saving and the tolerance.
fn home_within_load_bound(
    candidates: &[Candidate],
    affinity: Affinity,
    alternative: f64,
) -> Option<usize> {
    let total: f64 = candidates.iter().map(weighted_load).sum();
    let mean = total / candidates.len().max(1) as f64;
    // A cache miss costs the request its saving and puts the same amount of extra work on the fleet.
    // The tolerance therefore grows with the mean load.
    let tolerance = affinity.gain * HOME_LOAD_TOLERANCE * mean;
    let bound = alternative + affinity.saving + tolerance;
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by(|left, right| {
        let left = home_score(affinity.key, &candidates[*left]);
        let right = home_score(affinity.key, &candidates[*right]);
        right.total_cmp(&left)
    });
    let mut homes = order.into_iter().take(HOMES_TRIED);
    homes.find(|index| weighted_load(&candidates[*index]) <= bound)
}

/// Returns the candidate's load scaled to full weight.
fn weighted_load(candidate: &Candidate) -> f64 {
    candidate.load * f64::from(FULL_WEIGHT_MILLI) / f64::from(candidate.weight_milli.max(1))
}

fn home_score(key: u64, candidate: &Candidate) -> f64 {
    rendezvous::score(key, &candidate.backend_id, candidate.weight_milli.max(1))
}

/// Draws two different candidates by weight and returns the one with the lower weighted load.
fn better_of_two(candidates: &[Candidate], random: [u64; 2]) -> Option<usize> {
    let first = draw_by_weight(candidates, None, random[0])?;
    let Some(second) = draw_by_weight(candidates, Some(first), random[1]) else {
        return Some(first);
    };
    let prefer_first = weighted_load(&candidates[first]) <= weighted_load(&candidates[second]);
    Some(if prefer_first { first } else { second })
}

fn draw_by_weight(candidates: &[Candidate], excluded: Option<usize>, random: u64) -> Option<usize> {
    let weight = |index: usize| u64::from(candidates[index].weight_milli.max(1));
    let eligible: Vec<usize> = (0..candidates.len())
        .filter(|index| Some(*index) != excluded)
        .collect();
    let total: u64 = eligible.iter().map(|index| weight(*index)).sum();
    if total == 0 {
        return None;
    }
    let mut remaining = random % total;
    for index in eligible {
        if remaining < weight(index) {
            return Some(index);
        }
        remaining -= weight(index);
    }
    None
}
