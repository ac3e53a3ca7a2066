//! Choice of a backend: a home of the request's key while it pays, else the better of two.

use crate::rendezvous;
use crate::serving_pool::FULL_WEIGHT_MILLI;

/// How far a home that saves all prefill may be behind the alternative, as a multiple of the mean load.
pub const HOME_LOAD_TOLERANCE: f64 = 1.5;

/// How many backends of a key's rendezvous order are considered before the key's affinity is given up.
pub const HOMES_TRIED: usize = 2;

/// A backend that may take the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Id of the backend.
    pub backend_id: String,
    /// Relative share of new work, in thousandths.
    pub weight_milli: u32,
    /// Estimated processor time of the work in flight over the cores, in milliseconds.
    pub load: f64,
}

/// Which candidate was chosen and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Position in the list of candidates.
    pub index: usize,
    /// Whether it is a home of the request's affinity key.
    pub by_affinity: bool,
}

/// What keeps related requests on one backend, and what that is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Affinity {
    /// Hash of the session or the shared prefix.
    pub key: u64,
    /// What the warm cache at home saves, in the unit of [`Candidate::load`].
    pub saving: f64,
    /// Share of the request's prefill that the warm cache at home saves.
    pub gain: f64,
}

/// Chooses a candidate; nothing only if there is none.
///
/// The request goes to a home of its key unless the better of two drawn candidates is ahead of it by more
/// than the warm cache at home saves, with some tolerance in proportion to the gain: a busy home keeps only what
/// still gains there. `random` are two fresh random numbers.
#[must_use]
pub fn choose(
    candidates: &[Candidate],
    affinity: Option<Affinity>,
    random: [u64; 2],
) -> Option<Choice> {
    let index = better_of_two(candidates, random)?;
    let alternative = weighed_load(&candidates[index]);
    let home = affinity.and_then(|affinity| home_worth_it(candidates, affinity, alternative));
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

/// The first home in rendezvous order that is worth its load.
fn home_worth_it(candidates: &[Candidate], affinity: Affinity, alternative: f64) -> Option<usize> {
    let total: f64 = candidates.iter().map(weighed_load).sum();
    let mean = total / candidates.len().max(1) as f64;
    // A miss costs the request its saving, and the fleet as much work again that its cache was to spare:
    // the busier the fleet is, the more a home may be behind.
    let tolerance = affinity.gain * HOME_LOAD_TOLERANCE * mean;
    let bound = alternative + affinity.saving + tolerance;
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by(|left, right| {
        let left = home_score(affinity.key, &candidates[*left]);
        let right = home_score(affinity.key, &candidates[*right]);
        right.total_cmp(&left)
    });
    let mut homes = order.into_iter().take(HOMES_TRIED);
    homes.find(|index| weighed_load(&candidates[*index]) <= bound)
}

/// Load of a candidate for its share of new work.
fn weighed_load(candidate: &Candidate) -> f64 {
    candidate.load * f64::from(FULL_WEIGHT_MILLI) / f64::from(candidate.weight_milli.max(1))
}

fn home_score(key: u64, candidate: &Candidate) -> f64 {
    rendezvous::score(key, &candidate.backend_id, candidate.weight_milli.max(1))
}

/// Draws two different candidates by weight and takes the one with less load for its weight.
fn better_of_two(candidates: &[Candidate], random: [u64; 2]) -> Option<usize> {
    let first = draw_by_weight(candidates, None, random[0])?;
    let Some(second) = draw_by_weight(candidates, Some(first), random[1]) else {
        return Some(first);
    };
    let prefer_first = weighed_load(&candidates[first]) <= weighed_load(&candidates[second]);
    Some(if prefer_first { first } else { second })
}

fn draw_by_weight(candidates: &[Candidate], without: Option<usize>, random: u64) -> Option<usize> {
    let weight = |index: usize| u64::from(candidates[index].weight_milli.max(1));
    let eligible: Vec<usize> = (0..candidates.len())
        .filter(|index| Some(*index) != without)
        .collect();
    let total: u64 = eligible.iter().map(|index| weight(*index)).sum();
    if total == 0 {
        return None;
    }
    let mut left = random % total;
    for index in eligible {
        if left < weight(index) {
            return Some(index);
        }
        left -= weight(index);
    }
    None
}
