//! Which backends are looked at for a request, and what of its prompt each of them keeps.

use millford_routing::{ModelRequest, PrefixBlock, ServingPool, ServingReplica, rendezvous};
use rand::Rng;
use rand::seq::SliceRandom;
use xxhash_rust::xxh3::xxh3_64;

use crate::node::ForwardNode;
use crate::parts::BackendsByBlock;
use crate::protocol::ForwardProtocol;
use crate::request::plan::Plan;

/// Share of a part that nobody keeps that its home counts as saving, so that nodes which meet the
/// part at the same time send it to the same backend.
const HOME_SAVING: f64 = 0.3;

/// Pools of at most this many backends are looked at whole.
const LOOK_AT_ALL: usize = 8;

/// Most backends looked at because they save reading.
const MOST_SAVING: usize = 4;

/// Backends looked at beside these. With counts of the moment the longest queue shrinks steeply with the
/// second draw and slowly after; more draws find idle backends for prompts whose home is busy.
const DRAWN_AT_RANDOM: usize = 4;

/// Backends that take new work and were not tried; ejected ones only when there are no others.
pub fn usable<'a, P: ForwardProtocol>(
    node: &ForwardNode<P>,
    pool: &'a ServingPool,
    plan: &Plan,
    tried: &[String],
) -> Vec<&'a ServingReplica> {
    let wanted = ModelRequest {
        model: plan.facts.model.clone(),
        ..ModelRequest::default()
    };
    let mut candidates = pool.candidates(&wanted);
    if candidates.is_empty() {
        // Backends that declare no model take whatever their pool's routes send.
        candidates = pool.candidates(&ModelRequest::default());
    }
    candidates.retain(|replica| !tried.contains(&replica.backend.id));
    let healthy = |replica: &&ServingReplica| node.state.health.is_usable(&replica.backend.id);
    if candidates.iter().any(healthy) {
        candidates.retain(healthy);
    }
    candidates
}

/// Candidates to look at, by their place: those where least is read again, then others at random.
pub fn shortlist(
    candidates: &[&ServingReplica],
    again: &[u64],
    random: &mut impl Rng,
) -> Vec<usize> {
    if candidates.len() <= LOOK_AT_ALL {
        return (0..candidates.len()).collect();
    }
    let (least, most) = (again.iter().min(), again.iter().max());
    let saves = |index: &usize| least != most && Some(&again[*index]) == least;
    let (mut saving, mut others): (Vec<usize>, Vec<usize>) = (0..candidates.len()).partition(saves);
    saving.partial_shuffle(random, MOST_SAVING);
    saving.truncate(MOST_SAVING);
    let (drawn, _) = others.partial_shuffle(random, DRAWN_AT_RANDOM);
    saving.extend_from_slice(drawn);
    saving
}

/// For each candidate, the tokens of the most special shared part that it would read although another
/// one keeps them. Where nobody keeps the part its home counts as saving some, so that nodes which
/// meet the part at the same time send it to the same backend.
///
/// The beginnings that many prompts have in common are soon kept everywhere; what is to stay in one
/// place is the part that few prompts share.
pub fn read_again(
    special: Option<&PrefixBlock>,
    holders: &BackendsByBlock,
    candidates: &[&ServingReplica],
) -> Vec<u64> {
    let Some(special) = special else {
        return vec![0; candidates.len()];
    };
    let ids: Vec<&str> = candidates
        .iter()
        .map(|replica| replica.backend.id.as_str())
        .collect();
    let kept_by = |id: &str| is_kept(holders, special.id, id);
    let home = match ids.iter().any(|id| kept_by(id)) {
        true => None,
        false => home_of(special, &ids),
    };
    let tokens = u64::from(special.tokens);
    let saved_at_home = (tokens as f64 * HOME_SAVING) as u64;
    let again = ids.iter().enumerate().map(|(index, id)| {
        if kept_by(id) {
            0
        } else if home == Some(index) {
            tokens - saved_at_home
        } else {
            tokens
        }
    });
    again.collect()
}

fn is_kept(holders: &BackendsByBlock, part: u64, backend_id: &str) -> bool {
    let holders = holders.get(&part);
    holders.is_some_and(|holders| holders.iter().any(|holder| holder == backend_id))
}

/// Tokens of the parts that a backend keeps, each with all parts before it.
pub fn cached_tokens(parts: &[PrefixBlock], holders: &BackendsByBlock, backend_id: &str) -> u64 {
    let kept = parts
        .iter()
        .take_while(|part| is_kept(holders, part.id, backend_id));
    kept.map(|part| u64::from(part.tokens)).sum()
}

fn home_of(part: &PrefixBlock, ids: &[&str]) -> Option<usize> {
    let key = xxh3_64(&part.id.to_be_bytes());
    let scores = ids
        .iter()
        .enumerate()
        .map(|(index, id)| (rendezvous::score(key, id, 1000), index));
    let best = scores.max_by(|(left, _), (right, _)| left.total_cmp(right))?;
    Some(best.1)
}
