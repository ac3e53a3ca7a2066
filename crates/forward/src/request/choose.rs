//! Which backend gets a request.

use millford_core::time::monotonic_now;
use millford_routing::{PrefixBlock, ReplicaKey, ServingPool, ServingReplica};
use rand::Rng;

use crate::mechanism::Mechanism;
use crate::node::ForwardNode;
use crate::owners::{OwnerRing, Pending};
use crate::parts::BackendsByBlock;
use crate::parts::shared_parts as parts;
use crate::protocol::ForwardProtocol;
use crate::request::candidates::{cached_tokens, read_again, shortlist, usable};
use crate::request::plan::Plan;

/// A request to no model counts as this many prompt tokens, so that backends with fewer of them
/// under way are preferred.
const PLAIN_REQUEST_TOKENS: u64 = 100;

/// What reading a part again costs the fleet beside the time that it takes, as a share of that time:
/// it displaces other parts, and holds up the streams beside it.
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
/// nobody keeps it, and some others drawn at random; their counts are asked for first. The cost
/// is the estimated work in flight on the backend, of every model at that model's own cost, plus the
/// request's own: what of its prompt the backend has not read lately. Placement's weights bound the
/// use of the backends' memory bandwidth.
pub async fn choose<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    plan: &Plan,
    tried: &[String],
) -> Option<Target> {
    let table = node.state.table();
    let (ring, _) = node.peers.ring(&table);
    let pool = table.pool(&plan.pool)?;
    let candidates = usable(node, pool, plan, tried);
    let follows_parts = plan.route.sticky && node.mechanisms.has(Mechanism::Affinity);
    let (special, general) = match shared_parts(plan).split_last() {
        Some((special, general)) if follows_parts => (Some(special), general),
        _ => (None, [].as_slice()),
    };
    let mut holders = BackendsByBlock::new();
    if let Some(special) = special {
        let pending = ask_holders(
            node,
            &ring,
            std::slice::from_ref(special),
            &[],
            &mut holders,
        );
        parts::take_answers(&mut holders, node.peers.wait(pending).await);
    }
    let again = read_again(special, &holders, &candidates);
    let shortlist = shortlist(&candidates, &again, &mut rand::rng());
    let ids: Vec<&str> = shortlist
        .iter()
        .map(|index| candidates[*index].backend.id.as_str())
        .collect();
    let counts = ask_counts(node, &ring, &ids);
    let places = ask_holders(node, &ring, general, &ids, &mut holders);
    parts::take_answers(&mut holders, node.peers.wait(counts.and(places)).await);
    let shortlist = counted(node, &ids, shortlist);
    let best = cheapest(node, plan, &candidates, &again, &shortlist, &holders)?;
    Some(target(node, plan, pool, &best, shortlist.len()))
}

/// Asks who keeps these parts, among some backends or all.
fn ask_holders<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    ring: &OwnerRing,
    wanted: &[PrefixBlock],
    among: &[&str],
    holders: &mut BackendsByBlock,
) -> Pending {
    let directory = &node.directory;
    if !node.mechanisms.has(Mechanism::SharedParts) {
        parts::take_own(directory, wanted, among, holders);
        return Pending::default();
    }
    parts::ask(&node.peers, ring, directory, wanted, among, holders)
}

/// Asks what all other nodes have in flight on these backends.
fn ask_counts<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    ring: &OwnerRing,
    ids: &[&str],
) -> Pending {
    if !node.mechanisms.has(Mechanism::SharedLoad) {
        node.load.assume_idle(monotonic_now(), ids);
        return Pending::default();
    }
    node.load.ask(&node.peers, ring, &node.state.board, ids)
}

/// Those whose counts are fresh, unless that leaves nobody.
fn counted<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    ids: &[&str],
    shortlist: Vec<usize>,
) -> Vec<usize> {
    let fresh = node.load.fresh(monotonic_now(), ids);
    if !fresh.contains(&true) {
        return shortlist;
    }
    let counted = shortlist.into_iter().zip(fresh);
    counted
        .filter_map(|(index, is_fresh)| is_fresh.then_some(index))
        .collect()
}

fn cheapest<'a, P: ForwardProtocol>(
    node: &ForwardNode<P>,
    plan: &Plan,
    candidates: &[&'a ServingReplica],
    again: &[u64],
    shortlist: &[usize],
    holders: &BackendsByBlock,
) -> Option<Estimate<'a>> {
    let costs = &node.state.costs;
    let prompt = plan.prompt_tokens();
    let parts = shared_parts(plan);
    let mut random = rand::rng();
    let estimates = shortlist.iter().map(|index| {
        let replica = candidates[*index];
        let id = &replica.backend.id;
        let own_tokens = own_tokens(plan, prompt, cached_tokens(parts, holders, id));
        let load = node.state.board.backend_load(id, 1, costs);
        let own = costs.work_ms(&plan.facts.model, own_tokens, 0);
        let again = costs.work_ms(&plan.facts.model, again[*index], 0);
        let weight = match node.mechanisms.has(Mechanism::BandwidthWeight) {
            true => f64::from(replica.weight_milli.max(1)) / 1000.0,
            false => 1.0,
        };
        let same_zone = replica.backend.zone == node.zone;
        let prefers_zone = node.mechanisms.has(Mechanism::ZonePreference);
        let zone = if prefers_zone && !same_zone {
            OTHER_ZONE_MS
        } else {
            0.0
        };
        let jitter = 1.0 + JITTER * random.random::<f64>();
        Estimate {
            cost: ((load + own + REREAD_PENALTY * again) / weight + zone) * jitter,
            replica,
            load,
            own_tokens,
            same_zone,
        }
    });
    estimates.min_by(|left, right| left.cost.total_cmp(&right.cost))
}

fn target<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    plan: &Plan,
    pool: &ServingPool,
    best: &Estimate<'_>,
    looked_at: usize,
) -> Target {
    let replica = best.replica;
    let key = ReplicaKey {
        backend_id: replica.backend.id.clone(),
        pool: plan.pool.clone(),
        model: plan.facts.model.clone(),
        version: replica.version.clone(),
    };
    let counts = node.state.board.counts(&key);
    Target {
        key,
        address: replica.backend.address.clone(),
        uncached_tokens: best.own_tokens,
        max_connections: pool.max_connections,
        belief: Belief {
            candidates: u32::try_from(looked_at).unwrap_or(u32::MAX),
            same_zone: best.same_zone,
            work_ms: best.load,
            cost_ms: best.cost,
            queued_tokens: counts.prefill_tokens,
            streams: counts.decode_streams,
        },
    }
}

/// One candidate's estimate.
struct Estimate<'a> {
    cost: f64,
    replica: &'a ServingReplica,
    load: f64,
    own_tokens: u64,
    same_zone: bool,
}

/// The parts that other requests may share: all but the last, which is the request's own.
#[must_use]
pub fn shared_parts(plan: &Plan) -> &[PrefixBlock] {
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
