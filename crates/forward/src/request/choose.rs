//! Chooses the backend for a request.

use millford_core::time::monotonic_now;
use millford_routing::{PrefixBlock, ReplicaKey, ServingPool, ServingReplica};
use rand::Rng;

use crate::mechanism::Mechanism;
use crate::node::ForwardNode;
use crate::owners::{InFlightRequests, OwnerRing};
use crate::prefix_index::{self, BackendsByBlock};
use crate::protocol::ForwardProtocol;
use crate::request::candidates::{cached_tokens, reread_tokens, shortlist, usable_candidates};
use crate::request::plan::Plan;

/// Prompt tokens that a request without a model counts as, so that backends with fewer such requests in flight
/// are preferred.
const NO_MODEL_REQUEST_TOKENS: u64 = 100;

/// Weight of the time that a backend needs to prefill a block that another backend has cached. The cost to the
/// fleet exceeds that time: the prefill evicts other blocks from the cache and delays the backend's streams.
const REREAD_PENALTY: f64 = 12.0;

/// Cost added to a backend in another zone, in milliseconds of work.
const OTHER_ZONE_PENALTY_MS: f64 = 2.0;

/// Largest random increase of a candidate's cost, as a share of it, so that nodes do not all choose the same one
/// of nearly equal candidates.
const MAX_JITTER_SHARE: f64 = 0.04;

/// The backend that a request goes to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Identity of the replica whose load the request is counted in.
    pub key: ReplicaKey,
    /// IP address and port.
    pub address: String,
    /// Prompt tokens that the backend is expected to prefill because it does not have them cached.
    pub uncached_tokens: u64,
    /// Most connections that the backend accepts from all nodes together; 0 if no limit is known.
    pub max_connections: u32,
    /// The estimates that the choice was based on.
    pub estimates: ChoiceEstimates,
}

/// The estimates that the choice of a backend was based on. The decision record contains them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceEstimates {
    /// Number of candidates whose costs were compared.
    pub candidates: u32,
    /// Whether the backend is in this node's zone.
    pub same_zone: bool,
    /// Estimated processor time of the work in flight on the backend, in milliseconds.
    pub work_ms: f64,
    /// Cost of the request on this backend, in milliseconds; the lowest of all candidates.
    pub cost_ms: f64,
    /// Prompt tokens of other requests in flight on the replica.
    pub queued_tokens: u64,
    /// Streams in progress on the replica.
    pub streams: u32,
}

/// Returns the candidate backend with the lowest cost, or `None` if there is no backend that may be tried.
/// `tried` holds the ids of backends that earlier attempts of the request were sent to.
///
/// The candidates are the backends that have the prompt's most specific shareable block cached (or, if none has
/// it, the block's home backend) and some others drawn at random. Their load is queried from its owners first.
/// The cost is the estimated time of the work in flight on the backend, each model's at that model's own cost,
/// plus that of the request itself, which counts the part of its prompt that the backend has not cached. It is
/// divided by the replica's placement weight, which bounds the use of the backends' memory bandwidth.
pub async fn choose<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    plan: &Plan,
    tried: &[String],
) -> Option<Target> {
    let table = node.state.table();
    let ring = node.peers.ring(&table);
    let pool = table.pool(&plan.pool)?;
    let candidates = usable_candidates(node, pool, plan, tried);
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
    let shortlist = retain_fresh(node, &ids, shortlist);
    let estimates = shortlist.iter().map(|index| {
        let replica = candidates[*index];
        Estimate::of(node, plan, replica, &locations, reread[*index])
    });
    let best = estimates.min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))?;
    Some(target_of(node, plan, pool, &best, shortlist.len()))
}

/// Returns the prefix blocks that other requests may share: all but the last, which is specific to the request or
/// its session.
#[must_use]
pub fn shareable_blocks(plan: &Plan) -> &[PrefixBlock] {
    match plan.facts.prefix_blocks.split_last() {
        Some((_, shareable)) => shareable,
        None => &[],
    }
}

/// The shareable prefix blocks that affect the choice; empty if the route is not sticky or
/// [`Mechanism::Affinity`] is disabled.
#[derive(Clone, Copy, Debug)]
struct Prefix<'a> {
    /// The last shareable block, which is shared by the fewest prompts.
    specific: Option<&'a PrefixBlock>,
    /// The shareable blocks before it.
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

/// Queries which backends have these blocks cached: among the backend ids in `among`, or all if it is empty.
/// Adds the locations that are known locally to `locations` at once.
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

/// Queries the load that all other nodes have in flight on these backends.
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

/// Returns the shortlisted candidates whose load counts are fresh, or all of them if none are.
fn retain_fresh<P: ForwardProtocol>(
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

/// The estimated cost of a request on one candidate.
struct Estimate<'a> {
    replica: &'a ServingReplica,
    /// Cost that the candidates are compared by.
    cost_ms: f64,
    /// Processor time of the work in flight on the backend.
    work_ms: f64,
    /// Prompt tokens of the request that the candidate would have to prefill.
    own_tokens: u64,
    same_zone: bool,
}

impl<'a> Estimate<'a> {
    /// Estimates the cost on `replica`. `reread_tokens` are the prompt tokens that it would prefill although
    /// another backend has them cached.
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
            OTHER_ZONE_PENALTY_MS
        } else {
            0.0
        };
        let jitter = 1.0 + MAX_JITTER_SHARE * rand::rng().random::<f64>();
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
        return NO_MODEL_REQUEST_TOKENS;
    }
    prompt.saturating_sub(cached).max(1)
}

fn target_of<P: ForwardProtocol>(
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
        estimates: ChoiceEstimates {
            candidates: u32::try_from(considered).unwrap_or(u32::MAX),
            same_zone: best.same_zone,
            work_ms: best.work_ms,
            cost_ms: best.cost_ms,
            queued_tokens: counts.prefill_tokens,
            streams: counts.decode_streams,
        },
    }
}
