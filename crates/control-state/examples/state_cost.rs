//! Measures the memory and time that claims and active quotas cost a shard's leader.
//!
//! `cargo run --release -p millford-control-state --example state_cost -- claims|quotas`

use std::time::Instant;

use millford_api::command::{Claim, Command, command::Kind};
use millford_api::config::Quota;
use millford_api::internal::{QuotaRequest, TenantQuotaRequest};
use millford_control_state::ShardMachine;
use millford_control_state::quota::{QuotaLeases, QuotaOptions};
use millford_core::{MonotonicTime, ShardId};

/// Numbers of claims that are measured.
const CLAIM_STEPS: [u64; 4] = [50_000, 100_000, 200_000, 400_000];
/// Numbers of active tenants that are measured.
const TENANT_STEPS: [u64; 4] = [1_000, 2_000, 4_000, 16_000];
/// Number of nodes that send requests for each tenant.
const NODES: u64 = 4;
/// Assumed size of a memory page, in bytes.
const PAGE: u64 = 4096;

fn main() {
    // One kind per process: the second would otherwise reuse memory that the first freed.
    match std::env::args().nth(1).as_deref() {
        Some("claims") => measure_claims(),
        Some("quotas") => measure_quotas(),
        _ => println!("usage: state_cost claims|quotas"),
    }
}

fn measure_claims() {
    println!(
        "claims, resident bytes each, apply in microseconds, snapshot bytes each, snapshot in ms"
    );
    // Retained, so that no step reuses memory that an earlier one freed.
    let mut retained = Vec::new();
    for count in CLAIM_STEPS {
        let before = resident_bytes();
        let start = Instant::now();
        let mut machine = ShardMachine::new(ShardId(1));
        for number in 1..=count {
            machine.apply(number, 1, &claim(number));
        }
        let applied = start.elapsed();
        let resident = resident_bytes().saturating_sub(before);
        let start = Instant::now();
        let snapshot = machine.snapshot();
        println!(
            "{count}, {}, {:.2}, {}, {:.0}",
            resident / count,
            applied.as_secs_f64() * 1e6 / count as f64,
            snapshot.len() as u64 / count,
            start.elapsed().as_secs_f64() * 1e3
        );
        retained.push((machine, snapshot));
    }
}

fn claim(number: u64) -> Command {
    Command {
        kind: Some(Kind::Claim(Claim {
            tenant: format!("tenant-{}", number % 16_000),
            request_id: format!("5c1b2a9e-0d3f-4a77-9c52-{number:012x}"),
            attempt_id: format!("{number:032x}"),
            digest: vec![7; 32],
        })),
    }
}

fn measure_quotas() {
    println!("active tenants, resident bytes each, request in microseconds, sweep in ms");
    let mut retained = Vec::new();
    for count in TENANT_STEPS {
        let before = resident_bytes();
        let mut leases = QuotaLeases::new(ShardId(1), QuotaOptions::default());
        leases.lead(MonotonicTime::ZERO, 1);
        let now = MonotonicTime::from_millis(3_600_000);
        for number in 0..count {
            leases.set_quota(now, &tenant(number), Some(quota()));
        }
        let start = Instant::now();
        for number in 0..count * NODES {
            leases.handle(now, &request(number, count));
        }
        let handled = start.elapsed();
        let resident = resident_bytes().saturating_sub(before);
        let start = Instant::now();
        leases.tick(now + QuotaOptions::default().sweep_interval);
        println!(
            "{count}, {}, {:.2}, {:.1}",
            resident / count,
            handled.as_secs_f64() * 1e6 / (count * NODES) as f64,
            start.elapsed().as_secs_f64() * 1e3
        );
        retained.push(leases);
    }
}

fn tenant(number: u64) -> String {
    format!("tenant-{number}")
}

fn quota() -> Quota {
    Quota {
        requests_per_second: 10,
        burst: 20,
        concurrent_streams: 8,
    }
}

fn request(number: u64, tenants: u64) -> QuotaRequest {
    let tenant_request = TenantQuotaRequest {
        tenant: tenant(number % tenants),
        tokens: 1,
        slots_requested: 1,
        slots_in_use: 1,
        ..TenantQuotaRequest::default()
    };
    QuotaRequest {
        shard: 1,
        request_id: number + 1,
        member: format!("agent-{}", number / tenants),
        epoch: 1,
        tenants: vec![tenant_request],
    }
}

/// Returns the resident memory of this process in bytes; 0 where the system does not report it.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE
}
