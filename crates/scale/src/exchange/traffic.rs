//! Requests at one simulated proxy. They are admitted, a backend is chosen and they count as in flight, but they
//! are never sent.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Method, Uri};
use millford_bounded_io::HeldBytes;
use millford_core::time::monotonic_now;
use millford_forward::RequestFacts;
use millford_forward::request::choose::{choose, shareable_blocks};
use millford_forward::request::plan::Plan;
use millford_forward::request::serve::admit;
use millford_routing::PrefixBlock;
use rand::Rng;

use super::proxy_fleet::{MODEL, POOL, SimulatedForwardNode, TENANTS, route, tenant_name};

/// Number of tokens in each prefix block.
const BLOCK_TOKENS: u32 = 500;
/// Number of distinct first blocks; each is shared by many prompts.
const COMMON_BLOCKS: u64 = 8;
/// Number of distinct second blocks; each is shared by few prompts.
const RARE_BLOCKS: u64 = 1000;
/// Simulated time from the choice of a backend to the first event of the stream.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(100);
/// Simulated time from the first event to the end of the stream.
const STREAM_DURATION: Duration = Duration::from_millis(1500);
/// Time from a request's arrival to its deadline.
const DEADLINE: millford_core::Duration = millford_core::Duration::from_secs(10);

/// Starts `per_second` requests per second on average, until the task is aborted.
pub async fn send_requests(node: SimulatedForwardNode, per_second: f64) {
    loop {
        tokio::time::sleep(gap(per_second)).await;
        tokio::spawn(request(Arc::clone(&node)));
    }
}

/// Draws an exponential gap, which makes the arrivals independent of each other.
fn gap(per_second: f64) -> Duration {
    let uniform: f64 = rand::rng().random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / per_second)
}

async fn request(node: SimulatedForwardNode) {
    let Some(plan) = plan(&node) else {
        return;
    };
    if let Some(tenant) = &plan.tenant
        && admit(&*node, tenant, plan.quota_tokens()).await.is_err()
    {
        return;
    }
    let Some(target) = choose(&*node, &plan, &[]).await else {
        return;
    };
    let id = target.key.backend_id.clone();
    let mut in_flight = node
        .state
        .load_table
        .start(target.key, target.uncached_tokens);
    let shared = shareable_blocks(&plan).len();
    node.prefix_index
        .record_dispatch(monotonic_now(), &id, &plan.facts.prefix_blocks, shared);
    tokio::time::sleep(FIRST_EVENT_DELAY).await;
    in_flight.begin_decode();
    tokio::time::sleep(STREAM_DURATION).await;
}

fn plan(node: &SimulatedForwardNode) -> Option<Plan> {
    let arrived = monotonic_now();
    let table = node.state.table();
    let tenant = tenant_name(rand::rng().random_range(0..TENANTS));
    Some(Plan {
        route: Arc::new(route()),
        pool: POOL.to_owned(),
        tenant: Some(Arc::clone(table.tenant_named(&tenant)?)),
        facts: RequestFacts {
            model: MODEL.to_owned(),
            prefix_blocks: prefix_blocks(),
            ..RequestFacts::default()
        },
        method: Method::POST,
        uri: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: HeldBytes::default(),
        arrived,
        deadline: arrived + DEADLINE,
    })
}

/// Draws three blocks: one that many prompts share, one that few share and one unique to the request.
fn prefix_blocks() -> Vec<PrefixBlock> {
    let mut random = rand::rng();
    let rare = random.random_range(0..RARE_BLOCKS);
    let ids = [rare % COMMON_BLOCKS, COMMON_BLOCKS + rare, random.random()];
    let block = |id| PrefixBlock {
        id,
        tokens: BLOCK_TOKENS,
    };
    ids.map(block).to_vec()
}
