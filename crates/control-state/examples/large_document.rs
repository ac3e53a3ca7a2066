//! Measures the time to read, check, apply and plan a document with many tenants.
//!
//! `cargo run --release -p millford-control-state --example large_document -- [tenants]`

use std::time::{Duration, Instant};

use millford_api::command::{Command, PutConfig, command::Kind};
use millford_api::config::{Document, Pool, Quota, Route, RouteMatch, Tenant};
use millford_api::state::StateItem;
use millford_control_state::planner::{PlanCatalogue, SAMPLED_SESSIONS, plan, sample_sessions};
use millford_control_state::{ShardMachine, document};
use millford_core::{ShardId, hash_tenant_key};
use prost::Message;

/// Planned number of tenants.
const DEFAULT_TENANTS: usize = 16_000;
/// Repetitions of each step, of which the median is printed.
const REPEATS: usize = 7;

fn main() {
    let tenants = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let before = large_document(tenants.unwrap_or(DEFAULT_TENANTS));
    let after = changed(&before);
    let json = serde_json::to_vec(&before).expect("a valid document");
    println!(
        "{} tenants, {} bytes of JSON",
        before.tenants.len(),
        json.len()
    );
    measure("parse", || {
        document::parse(&json).expect("a valid document")
    });
    measure("check", || assert!(document::check(&before).is_empty()));
    measure("digest", || document::digest(&before));
    measure("plan of one change", || {
        let sessions = sample_sessions(SAMPLED_SESSIONS);
        plan(&before, &after, &PlanCatalogue::default(), &sessions)
    });
    measure_orders(&before, &after);
}

fn measure_orders(before: &Document, after: &Document) {
    let first = order(0, before);
    let second = order(1, after);
    println!("order: {} bytes in the log", second.encoded_len());
    measure("apply the first order", || {
        ShardMachine::new(ShardId::CONFIGURATION).apply(1, 1, &first)
    });
    let mut machine = ShardMachine::new(ShardId::CONFIGURATION);
    machine.apply(1, 1, &first);
    measure("apply one change", || machine.clone().apply(2, 1, &second));
    let changes = machine.apply(2, 1, &second).changes;
    let bytes: usize = changes.iter().map(StateItem::encoded_len).sum();
    println!("change: {} items, {bytes} bytes in the feed", changes.len());
    let snapshot = machine.snapshot();
    println!("snapshot: {} bytes", snapshot.len());
    measure("snapshot", || machine.snapshot());
    measure("restore", || {
        let mut restored = ShardMachine::new(ShardId::CONFIGURATION);
        restored.restore(&snapshot).expect("a snapshot");
        restored
    });
}

fn large_document(tenants: usize) -> Document {
    let models = (0..6).map(|number| format!("model-{number}"));
    let mut document = Document::default();
    for model in models {
        document.pools.push(Pool {
            name: format!("pool-{model}"),
            drain_ms: 2_000,
            ..Pool::default()
        });
        document.routes.push(Route {
            name: format!("route-{model}"),
            pool: format!("pool-{model}"),
            r#match: Some(RouteMatch {
                model,
                ..RouteMatch::default()
            }),
            repeatable: true,
            deadline_ms: 30_000,
            ..Route::default()
        });
    }
    document.tenants = (0..tenants).map(tenant).collect();
    document
}

fn tenant(number: usize) -> Tenant {
    Tenant {
        name: format!("tenant-{number}"),
        key_hashes: vec![hash_tenant_key(&format!("key {number}"))],
        quota: Some(Quota {
            requests_per_second: 10,
            burst: 20,
            concurrent_streams: 8,
        }),
        ..Default::default()
    }
}

/// Returns the document with the first tenant's keys revoked.
fn changed(before: &Document) -> Document {
    let mut after = before.clone();
    if let Some(tenant) = after.tenants.first_mut() {
        tenant.key_hashes.clear();
    }
    after
}

fn order(base_revision: u64, document: &Document) -> Command {
    let put = PutConfig {
        base_revision,
        order_id: format!("order-{base_revision}"),
        digest: document::digest(document),
        document: Some(document.clone()),
        ..Default::default()
    };
    Command {
        kind: Some(Kind::PutConfig(put)),
    }
}

fn measure<T>(name: &str, mut work: impl FnMut() -> T) {
    let mut times: Vec<Duration> = Vec::new();
    for _ in 0..REPEATS {
        let start = Instant::now();
        let result = work();
        times.push(start.elapsed());
        drop(result);
    }
    times.sort();
    println!(
        "{name}: {:.1} ms",
        times[REPEATS / 2].as_secs_f64() * 1000.0
    );
}
