//! Which backend gets a request.

use millford_core::time::monotonic_now;
use millford_routing::{PrefixBlock, ReplicaKey, ServingPool, ServingReplica};
use rand::Rng;

use crate::mechanism::Mechanism;
use crate::node::ForwardNode;
use crate::owners::{InFlightRequests, OwnerRing};
use crate::prefix_index::{self, BackendsByBlock};
use crate::protocol::ForwardProtocol;
use crate::request::candidates::{cached_tokens, reread_tokens, shortlist, usable};
use crate::request::plan::Plan;

/// A request to no model counts as this many prompt tokens, so that backends with fewer of them
/// in flight are preferred.
const PLAIN_REQUEST_TOKENS: u64 = 100;

/// What reading a block again costs the fleet beside the time that it takes, as a multiple of that time:
/// it evicts other blocks, and delays the streams beside it.
const REREAD_PENALTY: f64 = 12.0;

/// What a backend in another zone has to be ahead by, in milliseconds of work.
const OTHER_ZONE_MS: f64 = 2.0;

/// Candidates whose costs differ by less than this share are equal.
const JITTER: f64 = 0.04;

/// The backend that a request goes to.
#[derive(Clone, Debug)]
pub struct Target {
    /// What its counts belong to.
    pub key: ReplicaKey,
    /// IP address and port.
    pub address: String,
    /// Prompt tokens that it is expected to read.
    pub uncached_tokens: u64,
    /// Connections that the backend takes from all nodes together; 0 when no limit is known.
    pub max_connections: u32,
    /// What was known when it was chosen.
    pub belief: Belief,
}

/// Why a backend was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Candidates that were considered.
    pub candidates: u32,
    /// Whether the backend is in this node's zone.
    pub same_zone: bool,
    /// Estimated processor time of the work in flight there, in milliseconds.
    pub work_ms: f64,
    /// Cost by which the backend was chosen, in milliseconds.
    pub cost_ms: f64,
    /// Prompt tokens of other requests in flight there.
    pub queued_tokens: u64,
    /// Streams there.
    pub streams: u32,
}

/// The cheapest of a few backends that were not tried yet; `None` when there is none.
///
/// Considered are the backends that have the prompt's most specific shareable block cached, or its home while
/// none has, and some others drawn at random; their counts are queried first. The cost
/// is the estimated work in flight on the backend, of every model at that model's own cost, plus the
/// request's own: what of its prompt the backend has not read lately. Placement's weights bound the
/// use of the backends' memory bandwidth.
pub async fn choose<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    plan: &Plan,
    tried: &[String],
) -> Option<Target> {
    let table = node.state.table();
    let ring = node.peers.ring(&table);
    let pool = table.pool(&plan.pool)?;
    let candidates = usable(node, pool, plan, tried);
    let prefix = Prefix::of(node, plan);
    let mut locations = BackendsByBlock::new();
    if let Some(specific) = prefix.specific {
        let block = std::slice::from_ref(specific);
        let in_flight = query_locations(node, &ring, block, &[], &mut locations);
        prefix_index::merge_replies(&mut locations, node.peers.wait(in_flight).await);
    }
    let reread = reread_tokens(prefix.specific, &locations, &candidates);
    let shortlist = shortlist(&candidates, &reread, &mut rand::rng());
    let ids: Vec<&str> = shortlist
        .iter()
        .map(|index| candidates[*index].backend.id.as_str())
        .collect();
    let counts = query_counts(node, &ring, &ids);
    let blocks = query_locations(node, &ring, prefix.general, &ids, &mut locations);
    let replies = node.peers.wait(counts.and(blocks)).await;
    prefix_index::merge_replies(&mut locations, replies);
    let shortlist = with_fresh_counts(node, &ids, shortlist);
    let estimates = shortlist.iter().map(|index| {
        let replica = candidates[*index];
        Estimate::of(node, plan, replica, &locations, reread[*index])
    });
    let best = estimates.min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))?;
    Some(target(node, plan, pool, &best, shortlist.len()))
}

/// The blocks that other requests may share: all but the last, which is the request's own.
#[must_use]
pub fn shareable_blocks(plan: &Plan) -> &[PrefixBlock] {
    match plan.facts.prefix_blocks.split_last() {
        Some((_, shareable)) => shareable,
        None => &[],
    }
}

/// The shareable blocks of a prompt that a choice goes by; none where the route or a disabled mechanism rules
/// it out.
#[derive(Clone, Copy, Debug)]
struct Prefix<'a> {
    /// The last shareable block, which the fewest prompts have in common.
    specific: Option<&'a PrefixBlock>,
    /// Those before it.
    general: &'a [PrefixBlock],
}

impl<'a> Prefix<'a> {
    fn of<P>(node: &ForwardNode<P>, plan: &'a Plan) -> Self {
        let is_used = plan.route.sticky && node.mechanisms.has(Mechanism::Affinity);
        match shareable_blocks(plan).split_last() {
            Some((specific, general)) if is_used => Self {
                specific: Some(specific),
                general,
            },
            _ => Self {
                specific: None,
                general: &[],
            },
        }
    }
}

/// Queries which backends have these blocks cached, among some backends or all.
fn query_locations<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    ring: &OwnerRing,
    blocks: &[PrefixBlock],
    among: &[&str],
    locations: &mut BackendsByBlock,
) -> InFlightRequests {
    let index = &node.prefix_index;
    if !node.mechanisms.has(Mechanism::SharedPrefixIndex) {
        prefix_index::merge_local(index, blocks, among, locations);
        return InFlightRequests::default();
    }
    prefix_index::query(&node.peers, ring, index, blocks, among, locations)
}

/// Queries what all other nodes have in flight on these backends.
fn query_counts<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    ring: &OwnerRing,
    ids: &[&str],
) -> InFlightRequests {
    if !node.mechanisms.has(Mechanism::SharedLoad) {
        node.load.assume_idle(monotonic_now(), ids);
        return InFlightRequests::default();
    }
    node.load
        .query(&node.peers, ring, &node.state.load_table, ids)
}

/// The candidates whose counts are fresh, or all of them where none is.
fn with_fresh_counts<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    ids: &[&str],
    shortlist: Vec<usize>,
) -> Vec<usize> {
    let fresh = node.load.fresh(monotonic_now(), ids);
    if !fresh.contains(&true) {
        return shortlist;
    }
    let with_freshness = shortlist.into_iter().zip(fresh);
    with_freshness
        .filter_map(|(index, is_fresh)| is_fresh.then_some(index))
        .collect()
}

/// What a request would cost at one candidate.
struct Estimate<'a> {
    replica: &'a ServingReplica,
    /// What candidates are compared by.
    cost_ms: f64,
    /// Processor time of the work in flight there.
    work_ms: f64,
    /// Prompt tokens of the request that the candidate would have to read.
    own_tokens: u64,
    same_zone: bool,
}

impl<'a> Estimate<'a> {
    /// `reread_tokens` of the prompt would be read there although another backend has them cached.
    fn of<P: ForwardProtocol>(
        node: &ForwardNode<P>,
        plan: &Plan,
        replica: &'a ServingReplica,
        locations: &BackendsByBlock,
        reread_tokens: u64,
    ) -> Self {
        let costs = &node.state.costs;
        let model = &plan.facts.model;
        let id = &replica.backend.id;
        let cached = cached_tokens(shareable_blocks(plan), locations, id);
        let own_tokens = own_tokens(plan, cached);
        let work_ms = node.state.load_table.backend_load(id, 1, costs);
        let own_ms = costs.work_ms(model, own_tokens, 0);
        let reread_ms = costs.work_ms(model, reread_tokens, 0);
        let weight = if node.mechanisms.has(Mechanism::BandwidthWeight) {
            f64::from(replica.weight_milli.max(1)) / 1000.0
        } else {
            1.0
        };
        let same_zone = replica.backend.zone == node.zone;
        let prefers_zone = node.mechanisms.has(Mechanism::ZonePreference);
        let zone_ms = if prefers_zone && !same_zone {
            OTHER_ZONE_MS
        } else {
            0.0
        };
        let jitter = 1.0 + JITTER * rand::rng().random::<f64>();
        let load_ms = (work_ms + own_ms + REREAD_PENALTY * reread_ms) / weight;
        Self {
            replica,
            cost_ms: (load_ms + zone_ms) * jitter,
            work_ms,
            own_tokens,
            same_zone,
        }
    }
}

fn own_tokens(plan: &Plan, cached: u64) -> u64 {
    let prompt = plan.prompt_tokens();
    if plan.facts.model.is_empty() && prompt == 0 {
        return PLAIN_REQUEST_TOKENS;
    }
    prompt.saturating_sub(cached).max(1)
}

fn target<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    plan: &Plan,
    pool: &ServingPool,
    best: &Estimate<'_>,
    considered: usize,
) -> Target {
    let replica = best.replica;
    let key = ReplicaKey {
        backend_id: replica.backend.id.clone(),
        pool: plan.pool.clone(),
        model: plan.facts.model.clone(),
        version: replica.version.clone(),
    };
    let counts = node.state.load_table.counts(&key);
    Target {
        key,
        address: replica.backend.address.clone(),
        uncached_tokens: best.own_tokens,
        max_connections: pool.max_connections,
        belief: Belief {
            candidates: u32::try_from(considered).unwrap_or(u32::MAX),
            same_zone: best.same_zone,
            work_ms: best.work_ms,
            cost_ms: best.cost_ms,
            queued_tokens: counts.prefill_tokens,
            streams: counts.decode_streams,
        },
    }
}
