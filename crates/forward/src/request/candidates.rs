//! Which backends are looked at for a request, and what of its prompt each of them keeps.

use millford_routing::{ModelRequest, PrefixBlock, ServingPool, ServingReplica, rendezvous};
use rand::Rng;
use rand::seq::SliceRandom;
use xxhash_rust::xxh3::xxh3_64;

use crate::node::ForwardNode;
use crate::prefix_index::BackendsByBlock;
use crate::protocol::ForwardProtocol;
use crate::request::plan::Plan;

/// Share of a part that nobody keeps that its home counts as saving, so that nodes which meet the
/// part at the same time send it to the same backend.
const HOME_SAVING: f64 = 0.3;

/// Pools of at most this many backends are looked at whole.
const MAX_FULL_SCAN: usize = 8;

/// Most backends looked at because they save reading.
const MAX_CACHED_CANDIDATES: usize = 4;

/// Backends looked at beside these. With counts of the moment the longest queue shrinks steeply with the
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

/// Candidates to look at, by their place: those where least is read again, then others at random.
pub fn shortlist(
    candidates: &[&ServingReplica],
    reread: &[u64],
    random: &mut impl Rng,
) -> Vec<usize> {
    if candidates.len() <= MAX_FULL_SCAN {
        return (0..candidates.len()).collect();
    }
    let (least, most) = (reread.iter().min(), reread.iter().max());
    let caches = |index: &usize| least != most && Some(&reread[*index]) == least;
    let (mut caching, mut others): (Vec<usize>, Vec<usize>) =
        (0..candidates.len()).partition(caches);
    caching.partial_shuffle(random, MAX_CACHED_CANDIDATES);
    caching.truncate(MAX_CACHED_CANDIDATES);
    let (drawn, _) = others.partial_shuffle(random, RANDOM_CANDIDATES);
    caching.extend_from_slice(drawn);
    caching
}

/// For each candidate, the tokens of the most special shared part that it would read although another
/// one keeps them. Where nobody keeps the part its home counts as saving some, so that nodes which
/// meet the part at the same time send it to the same backend.
///
/// The beginnings that many prompts have in common are soon kept everywhere; what is to stay in one
/// place is the part that few prompts share.
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
    let cached_on = |id: &str| is_cached(locations, specific.id, id);
    let home = match ids.iter().any(|id| cached_on(id)) {
        true => None,
        false => home_of(specific, &ids),
    };
    let tokens = u64::from(specific.tokens);
    let saved_at_home = (tokens as f64 * HOME_SAVING) as u64;
    let reread = ids.iter().enumerate().map(|(index, id)| {
        if cached_on(id) {
            0
        } else if home == Some(index) {
            tokens - saved_at_home
        } else {
            tokens
        }
    });
    reread.collect()
}

fn is_cached(locations: &BackendsByBlock, block: u64, backend_id: &str) -> bool {
    let locations = locations.get(&block);
    locations.is_some_and(|locations| locations.iter().any(|backend| backend == backend_id))
}

/// Tokens of the parts that a backend keeps, each with all parts before it.
pub fn cached_tokens(blocks: &[PrefixBlock], locations: &BackendsByBlock, backend_id: &str) -> u64 {
    let cached = blocks
        .iter()
        .take_while(|block| is_cached(locations, block.id, backend_id));
    cached.map(|block| u64::from(block.tokens)).sum()
}

fn home_of(block: &PrefixBlock, ids: &[&str]) -> Option<usize> {
    let key = xxh3_64(&block.id.to_be_bytes());
    let scores = ids
        .iter()
        .enumerate()
        .map(|(index, id)| (rendezvous::score(key, id, 1000), index));
    let best = scores.max_by(|(left, _), (right, _)| left.total_cmp(right))?;
    Some(best.1)
}
