//! Which backend gets a request.

use std::sync::Arc;

use millford_core::MonotonicTime;
use millford_core::time::monotonic_now;
use millford_routing::{
    ModelRequest, PromptPart, ReplicaKey, RoutingTable, ServingPool, ServingReplica, rendezvous,
};
use rand::Rng;
use rand::seq::SliceRandom;
use xxhash_rust::xxh3::xxh3_64;

use crate::node::ForwardNode;
use crate::protocol::ForwardProtocol;
use crate::request::plan::Plan;

/// A request to no model counts as this many prompt tokens, so that backends with fewer of them
/// under way are preferred.
const PLAIN_REQUEST_TOKENS: u64 = 100;

/// What reading a part again costs the fleet beside the time that it takes, as a share of that time:
/// it displaces other parts, and holds up the streams beside it.
const REREAD_PENALTY: f64 = 12.0;

/// Share of a part that nobody keeps that its home counts as saving, so that nodes which meet the
/// part at the same time send it to the same backend.
const HOME_SAVING: f64 = 0.3;

/// What a backend in another zone has to be ahead by, in milliseconds of work.
const OTHER_ZONE_MS: f64 = 2.0;

/// Candidates whose costs differ by less than this share are equal.
const JITTER: f64 = 0.04;

/// Pools of at most this many backends are looked at whole.
const LOOK_AT_ALL: usize = 8;

/// Most backends looked at because they save reading.
const MOST_SAVING: usize = 4;

/// Backends looked at beside these. With counts of the moment the longest queue shrinks steeply with the
/// second draw and slowly after; more draws find idle backends for prompts whose home is busy.
const DRAWN_AT_RANDOM: usize = 4;

/// The backend that a request goes to.
#[derive(Clone, Debug)]
pub struct Target {
    /// What its counts belong to.
    pub key: ReplicaKey,
    /// IP address and port.
    pub address: String,
    /// Prompt tokens that it is expected to read.
    pub uncached_tokens: u64,
    /// Connections that the backend takes from all nodes together.
    pub max_connections: u32,
    /// What was believed when it was chosen.
    pub belief: Belief,
}

/// Why a backend was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Candidates that were looked at.
    pub candidates: u32,
    /// Whether the backend is in this node's zone.
    pub same_zone: bool,
    /// Estimated processor time of the work in flight there, in milliseconds.
    pub work_ms: f64,
    /// What the choice went by, in milliseconds.
    pub cost_ms: f64,
    /// Prompt tokens of other requests under way there.
    pub queued_tokens: u64,
    /// Streams there.
    pub streams: u32,
}

/// The cheapest of a few backends that were not tried yet; nothing when there is none.
///
/// Looked at are the backends that keep the prompt's most special shared part, or its home while
/// nobody keeps it, and some others drawn at random; their counts are asked for first. The cost is the estimated work in flight on the backend, of every model at that model's own cost,
/// plus the request's own: what of its prompt the backend has not read lately. Placement's weights
/// bound the use of the backends' memory bandwidth.
pub async fn choose<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    plan: &Plan,
    tried: &[String],
) -> Option<Target> {
    let now = monotonic_now();
    let table = node.state.table();
    let pool = table.pool(&plan.pool)?;
    let candidates = usable(node, pool, plan, tried);
    let savings = savings(node, now, plan, &candidates);
    let shortlist = shortlist(&candidates, &savings, &mut rand::rng());
    let shortlist = with_fresh_counts(node, &table, &candidates, shortlist).await;
    let costs = &node.state.costs;
    let prompt = plan.prompt_tokens();
    let mut random = rand::rng();
    let looked_at = u32::try_from(shortlist.len()).unwrap_or(u32::MAX);
    let mut best: Option<Estimate<'_>> = None;
    for index in shortlist {
        let (replica, saving) = (candidates[index], savings[index]);
        let own_tokens = own_tokens(plan, prompt, saving.cached);
        let load = node.state.board.backend_load(&replica.backend.id, 1, costs);
        let own = costs.work_ms(&plan.facts.model, own_tokens, 0);
        let again = costs.work_ms(&plan.facts.model, saving.again, 0);
        let weight = f64::from(replica.weight_milli.max(1)) / 1000.0;
        let same_zone = replica.backend.zone == node.zone;
        let zone = if same_zone { 0.0 } else { OTHER_ZONE_MS };
        let jitter = 1.0 + JITTER * random.random::<f64>();
        let cost = ((load + own + REREAD_PENALTY * again) / weight + zone) * jitter;
        if best.as_ref().is_none_or(|best| cost < best.cost) {
            best = Some(Estimate {
                cost,
                replica,
                load,
                own_tokens,
                same_zone,
            });
        }
    }
    let best = best?;
    let replica = best.replica;
    let key = ReplicaKey {
        backend_id: replica.backend.id.clone(),
        pool: plan.pool.clone(),
        model: plan.facts.model.clone(),
        version: replica.version.clone(),
    };
    let counts = node.state.board.counts(&key);
    Some(Target {
        key,
        address: replica.backend.address.clone(),
        uncached_tokens: best.own_tokens,
        max_connections: pool.max_connections,
        belief: Belief {
            candidates: looked_at,
            same_zone: best.same_zone,
            work_ms: best.load,
            cost_ms: best.cost,
            queued_tokens: counts.prefill_tokens,
            streams: counts.decode_streams,
        },
    })
}

/// One candidate's estimate.
struct Estimate<'a> {
    cost: f64,
    replica: &'a ServingReplica,
    load: f64,
    own_tokens: u64,
    same_zone: bool,
}

/// Backends that take new work and were not tried; ejected ones only when there are no others.
fn usable<'a, P: ForwardProtocol>(
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

/// Candidates to look at, by their place: those that save most of the prompt, then others at random.
fn shortlist(
    candidates: &[&ServingReplica],
    savings: &[Saving],
    random: &mut impl Rng,
) -> Vec<usize> {
    if candidates.len() <= LOOK_AT_ALL {
        return (0..candidates.len()).collect();
    }
    let least_again = savings.iter().map(|saving| saving.again).min();
    let most_again = savings.iter().map(|saving| saving.again).max();
    let (mut saving, mut others): (Vec<usize>, Vec<usize>) = (0..candidates.len())
        .partition(|index| least_again != most_again && Some(savings[*index].again) == least_again);
    saving.partial_shuffle(random, MOST_SAVING);
    saving.truncate(MOST_SAVING);
    let (drawn, _) = others.partial_shuffle(random, DRAWN_AT_RANDOM);
    saving.extend_from_slice(drawn);
    saving
}

/// Asks for the counts of the candidates on the list. Those whose counts are not to be had are passed
/// over, unless that leaves nobody.
async fn with_fresh_counts<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    table: &Arc<RoutingTable>,
    candidates: &[&ServingReplica],
    shortlist: Vec<usize>,
) -> Vec<usize> {
    let ids = shortlist.iter();
    let ids: Vec<&str> = ids
        .map(|index| candidates[*index].backend.id.as_str())
        .collect();
    let fresh = node.load.ask(&node.state.board, table, &ids).await;
    if !fresh.contains(&true) {
        return shortlist;
    }
    let counted = shortlist.into_iter().zip(fresh);
    counted
        .filter_map(|(index, is_fresh)| is_fresh.then_some(index))
        .collect()
}

/// What one candidate saves of a prompt, in tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Saving {
    /// Read lately, from the first part on.
    cached: u64,
    /// Of the most special shared part, what would be read again although another backend keeps it.
    again: u64,
}

/// The beginnings that many prompts have in common are soon kept everywhere; what is to stay in one
/// place is the part that few prompts share.
fn savings<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    now: MonotonicTime,
    plan: &Plan,
    candidates: &[&ServingReplica],
) -> Vec<Saving> {
    let parts = shared_parts(plan);
    let (true, Some(special)) = (plan.route.sticky, parts.last()) else {
        return vec![Saving::default(); candidates.len()];
    };
    let holders = node.directory.holders(now, parts);
    let ids: Vec<&str> = candidates
        .iter()
        .map(|replica| replica.backend.id.as_str())
        .collect();
    let kept_by = |id: &str| {
        let holders = holders.last().into_iter().flatten();
        holders.into_iter().any(|holder| holder == id)
    };
    let home = match ids.iter().any(|id| kept_by(id)) {
        true => None,
        false => home_of(special, &ids),
    };
    let tokens = u64::from(special.tokens);
    let saved_at_home = (tokens as f64 * HOME_SAVING) as u64;
    let savings = ids.iter().enumerate().map(|(index, id)| {
        let again = match (kept_by(id), home == Some(index)) {
            (true, _) => 0,
            (false, true) => tokens - saved_at_home,
            (false, false) => tokens,
        };
        let cached = cached_tokens(parts, &holders, id);
        Saving { cached, again }
    });
    savings.collect()
}

/// Tokens of the parts that a backend keeps, each with all parts before it.
fn cached_tokens(parts: &[PromptPart], holders: &[Vec<String>], backend_id: &str) -> u64 {
    let kept = parts
        .iter()
        .zip(holders)
        .take_while(|(_, holders)| holders.iter().any(|holder| holder == backend_id));
    kept.map(|(part, _)| u64::from(part.tokens)).sum()
}

fn home_of(part: &PromptPart, ids: &[&str]) -> Option<usize> {
    let key = xxh3_64(&part.id.to_be_bytes());
    let scores = ids
        .iter()
        .enumerate()
        .map(|(index, id)| (rendezvous::score(key, id, 1000), index));
    let best = scores.max_by(|(left, _), (right, _)| left.total_cmp(right))?;
    Some(best.1)
}

/// The parts that other requests may share: all but the last, which is the request's own.
#[must_use]
pub fn shared_parts(plan: &Plan) -> &[PromptPart] {
    match plan.facts.parts.split_last() {
        Some((_, shared)) => shared,
        None => &[],
    }
}

fn own_tokens(plan: &Plan, prompt: u64, cached: u64) -> u64 {
    if plan.facts.model.is_empty() && prompt == 0 {
        return PLAIN_REQUEST_TOKENS;
    }
    prompt.saturating_sub(cached).max(1)
}
