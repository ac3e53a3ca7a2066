//! Which backends are considered for a request, and what of its prompt each of them has cached.

use millford_routing::{ModelRequest, PrefixBlock, ServingPool, ServingReplica, rendezvous};
use rand::Rng;
use rand::seq::SliceRandom;
use xxhash_rust::xxh3::xxh3_64;

use crate::node::ForwardNode;
use crate::prefix_index::BackendsByBlock;
use crate::protocol::ForwardProtocol;
use crate::request::plan::Plan;

/// Share of a block that no backend has cached that counts as saved at its home, so that nodes which receive
/// the block at the same time send it to the same backend.
const HOME_SAVING: f64 = 0.3;

/// Weight of each backend in the choice of a block's home, in thousandths.
const HOME_WEIGHT_MILLI: u32 = 1000;

/// Of a pool of at most this many backends all are considered.
const MAX_FULL_SCAN: usize = 8;

/// Most backends considered because they save reading.
const MAX_CACHED_CANDIDATES: usize = 4;

/// Backends considered beside these. With current counts the longest queue shrinks steeply with the
/// second draw and slowly after; more draws find idle backends for prompts whose home is busy.
const RANDOM_CANDIDATES: usize = 4;

/// Backends that take new work and were not tried; ejected ones only when there are no others.
pub fn usable<'a, P: ForwardProtocol>(
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

/// Indices of the candidates to consider: those where least is read again, then others at random. `reread`
/// are the tokens that each candidate would read again.
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

/// For each candidate, the tokens of the most specific shareable block that it would read although another
/// one has them cached. Where none has the block cached, some of it counts as saved at its home, so that
/// nodes which receive the block at the same time send it to the same backend.
///
/// The beginnings that many prompts have in common are soon cached everywhere; what is to stay in one
/// place is the block that few prompts share.
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
    let saved_at_home = (tokens as f64 * HOME_SAVING) as u64;
    let reread = ids.iter().enumerate().map(|(index, id)| {
        if is_cached_on(id) {
            0
        } else if home == Some(index) {
            tokens - saved_at_home
        } else {
            tokens
        }
    });
    reread.collect()
}

/// Tokens of the blocks that a backend has cached, each with all blocks before it.
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

/// Index of the backend that is the block's home.
fn home_of(block: &PrefixBlock, ids: &[&str]) -> Option<usize> {
    let key = xxh3_64(&block.id.to_be_bytes());
    let scores = ids
        .iter()
        .enumerate()
        .map(|(index, id)| (rendezvous::score(key, id, HOME_WEIGHT_MILLI), index));
    let best = scores.max_by(|(left, _), (right, _)| left.total_cmp(right))?;
    Some(best.1)
}
