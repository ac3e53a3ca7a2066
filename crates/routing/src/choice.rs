//! Choice of a backend: affinity within a load bound, then the better of two.

use crate::rendezvous;

/// A home may carry this many times the mean load before its keys go elsewhere.
pub const BOUNDED_LOAD_FACTOR: f64 = 1.25;

/// How many backends of a key's rendezvous order are tried before the key's affinity is given up.
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

/// Chooses a candidate; nothing only if there is none.
///
/// `own_load` is what the request itself adds, in the unit of [`Candidate::load`]; `random` are
/// two fresh random numbers.
#[must_use]
pub fn choose(
    candidates: &[Candidate],
    affinity: Option<u64>,
    own_load: f64,
    random: [u64; 2],
) -> Option<Choice> {
    let home = affinity.and_then(|key| home_within_bound(candidates, key, own_load));
    if let Some(index) = home {
        return Some(Choice {
            index,
            by_affinity: true,
        });
    }
    let index = better_of_two(candidates, random)?;
    Some(Choice {
        index,
        by_affinity: false,
    })
}

/// The load that a home may carry before the request is added to it.
#[must_use]
pub fn load_bound(candidates: &[Candidate], own_load: f64) -> f64 {
    let total: f64 = candidates.iter().map(|candidate| candidate.load).sum();
    let mean = (total + own_load) / candidates.len().max(1) as f64;
    mean * BOUNDED_LOAD_FACTOR
}

/// The first homes in rendezvous order that stay within the bound.
fn home_within_bound(candidates: &[Candidate], key: u64, own_load: f64) -> Option<usize> {
    let bound = load_bound(candidates, own_load);
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by(|left, right| {
        let left = home_score(key, &candidates[*left]);
        let right = home_score(key, &candidates[*right]);
        right.total_cmp(&left)
    });
    let mut homes = order.into_iter().take(HOMES_TRIED);
    homes.find(|index| candidates[*index].load <= bound)
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
    let weighed = |index: usize| {
        let candidate = &candidates[index];
        candidate.load / f64::from(candidate.weight_milli.max(1))
    };
    let keep_first = weighed(first) <= weighed(second);
    Some(if keep_first { first } else { second })
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
