//! Requests at one hollow proxy: admitted, a backend chosen, counted as in flight, and never sent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use millford_core::time::monotonic_now;
use millford_forward::RequestFacts;
use millford_forward::request::choose::{choose, shareable_blocks};
use millford_forward::request::plan::Plan;
use millford_forward::request::serve::admit;
use millford_routing::PrefixBlock;
use rand::Rng;

use super::proxy_fleet::{HollowForward, MODEL, POOL, TENANTS, route, tenant_name};

/// Tokens of each prefix block.
const BLOCK_TOKENS: u32 = 500;
/// Number of first blocks, each shared by many prompts.
const COMMON_BLOCKS: u64 = 8;
/// Number of second blocks, each shared by few prompts.
const RARE_BLOCKS: u64 = 1000;
/// Time from the choice to the first event.
const FIRST_EVENT_AFTER: Duration = Duration::from_millis(100);
/// Time from the first event to the end.
const STREAM_LASTS: Duration = Duration::from_millis(1500);
/// Time that a request may take.
const DEADLINE: millford_core::Duration = millford_core::Duration::from_secs(10);

/// Sends requests, so many a second on average, for as long as the task lives.
pub async fn send_requests(node: HollowForward, per_second: f64) {
    loop {
        tokio::time::sleep(gap(per_second)).await;
        tokio::spawn(request(Arc::clone(&node)));
    }
}

/// An exponential gap: arrivals know nothing of each other.
fn gap(per_second: f64) -> Duration {
    let uniform: f64 = rand::rng().random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / per_second)
}

async fn request(node: HollowForward) {
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
    tokio::time::sleep(FIRST_EVENT_AFTER).await;
    in_flight.begin_decode();
    tokio::time::sleep(STREAM_LASTS).await;
}

fn plan(node: &HollowForward) -> Option<Plan> {
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
        body: Bytes::new(),
        arrived,
        deadline: arrived + DEADLINE,
    })
}

/// A block that many prompts share, one that few share, and the request's own.
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
