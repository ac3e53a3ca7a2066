//! Selects the candidate backends for a request and determines how much of its prompt each has cached.

use millford_routing::{ModelRequest, PrefixBlock, ServingPool, ServingReplica, rendezvous};
use rand::Rng;
use rand::seq::SliceRandom;
use xxhash_rust::xxh3::xxh3_64;

use crate::node::ForwardNode;
use crate::prefix_index::BackendsByBlock;
use crate::protocol::ForwardProtocol;
use crate::request::plan::Plan;

/// Share of a block that counts as cached on the block's home backend while no backend has it cached, so that
/// nodes that receive the block at the same time send it to the same backend.
const HOME_CACHED_SHARE: f64 = 0.3;

/// Weight of each backend in the choice of a block's home backend, in thousandths; the same for all.
const HOME_WEIGHT_MILLI: u32 = 1000;

/// Number of candidates up to which all are shortlisted.
const MAX_FULL_SCAN: usize = 8;

/// Most backends that are shortlisted because they have the most specific block cached.
const MAX_CACHED_CANDIDATES: usize = 4;

/// Other backends that are shortlisted, drawn at random. With fresh load counts, the second random choice
/// shortens the longest queue considerably and each further one only slightly; the additional ones find idle
/// backends for prompts whose home backend is busy.
const RANDOM_CANDIDATES: usize = 4;

/// Returns the backends that accept new work for the request's model and were not `tried`. Ejected backends are
/// included only if all of them are ejected.
pub fn usable_candidates<'a, P: ForwardProtocol>(
    node: &ForwardNode<P>,
    pool: &'a ServingPool,
    plan: &Plan,
    tried: &[String],
) -> Vec<&'a ServingReplica> {
    let requested = ModelRequest {
        model: plan.facts.model.clone(),
        ..ModelRequest::default()
    };
    let mut candidates = pool.candidates(&requested);
    if candidates.is_empty() {
        // Backends that declare no model accept every request that the routes send to their pool.
        candidates = pool.candidates(&ModelRequest::default());
    }
    candidates.retain(|replica| !tried.contains(&replica.backend.id));
    let healthy = |replica: &&ServingReplica| node.state.health.is_usable(&replica.backend.id);
    if candidates.iter().any(healthy) {
        candidates.retain(healthy);
    }
    candidates
}

/// Returns the indices of the candidates whose costs are compared: those with the fewest reread tokens, then
/// others drawn at random. `reread` holds the result of [`reread_tokens`] for each candidate.
pub fn shortlist(
    candidates: &[&ServingReplica],
    reread: &[u64],
    random: &mut impl Rng,
) -> Vec<usize> {
    if candidates.len() <= MAX_FULL_SCAN {
        return (0..candidates.len()).collect();
    }
    let (least, most) = (reread.iter().min(), reread.iter().max());
    let is_cached = |index: &usize| least != most && Some(&reread[*index]) == least;
    let (mut cached, mut others): (Vec<usize>, Vec<usize>) =
        (0..candidates.len()).partition(is_cached);
    cached.partial_shuffle(random, MAX_CACHED_CANDIDATES);
    cached.truncate(MAX_CACHED_CANDIDATES);
    let (drawn, _) = others.partial_shuffle(random, RANDOM_CANDIDATES);
    cached.extend_from_slice(drawn);
    cached
}

/// Returns, for each candidate, the tokens of the most specific shareable block that it would prefill although
/// another backend has them cached. If no backend has the block cached, the share `HOME_CACHED_SHARE` of it counts
/// as cached on its home backend.
///
/// Prefixes that many prompts share are soon cached on every backend; it is the block that few prompts share
/// that should stay on one backend.
pub fn reread_tokens(
    specific: Option<&PrefixBlock>,
    locations: &BackendsByBlock,
    candidates: &[&ServingReplica],
) -> Vec<u64> {
    let Some(specific) = specific else {
        return vec![0; candidates.len()];
    };
    let ids: Vec<&str> = candidates
        .iter()
        .map(|replica| replica.backend.id.as_str())
        .collect();
    let is_cached_on = |id: &str| is_cached(locations, specific.id, id);
    let home = if ids.iter().any(|id| is_cached_on(id)) {
        None
    } else {
        home_of(specific, &ids)
    };
    let tokens = u64::from(specific.tokens);
    let cached_at_home = (tokens as f64 * HOME_CACHED_SHARE) as u64;
    let reread = ids.iter().enumerate().map(|(index, id)| {
        if is_cached_on(id) {
            0
        } else if home == Some(index) {
            tokens - cached_at_home
        } else {
            tokens
        }
    });
    reread.collect()
}

/// Returns the tokens of the longest prefix of `blocks` that a backend has cached.
pub fn cached_tokens(blocks: &[PrefixBlock], locations: &BackendsByBlock, backend_id: &str) -> u64 {
    let cached = blocks
        .iter()
        .take_while(|block| is_cached(locations, block.id, backend_id));
    cached.map(|block| u64::from(block.tokens)).sum()
}

fn is_cached(locations: &BackendsByBlock, block: u64, backend_id: &str) -> bool {
    let backends = locations.get(&block);
    backends.is_some_and(|backends| backends.iter().any(|backend| backend == backend_id))
}

/// Returns the index of the block's home backend: the one that rendezvous hashing of the block's id selects.
fn home_of(block: &PrefixBlock, ids: &[&str]) -> Option<usize> {
    let key = xxh3_64(&block.id.to_be_bytes());
    let scores = ids
        .iter()
        .enumerate()
        .map(|(index, id)| (rendezvous::score(key, id, HOME_WEIGHT_MILLI), index));
    let best = scores.max_by(|(left, _), (right, _)| left.total_cmp(right))?;
    Some(best.1)
}
