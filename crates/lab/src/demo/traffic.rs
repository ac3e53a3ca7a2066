//! Sends the traffic of the demonstration and injects its faults.

use std::collections::BTreeMap;

use tokio::time::interval;

use super::faults::{kill_busy_backend, kill_configuration_leader};
use crate::caller::RequestOutcome;
use crate::checks::History;
use crate::checks::history::{Disturbance, RecoverySeen, TenantQuota};
use crate::fleet::{Fleet, FleetError, SitePlan};
use crate::protocol::machine_micros;
use crate::workload::callers::{RequestKind, TenantCredentials};
use crate::workload::mix::{LOOKUP_PERIOD, Mix};
use crate::workload::service_probe::ServiceProbe;
use crate::workload::{Callers, CallersOptions};

/// Number of long streams that are started at once.
const LONG_STREAMS: usize = 16;
/// Ticks of steady traffic before, between and after the faults: about four seconds.
const STEADY_TRAFFIC_TICKS: usize = 80;
/// Number of requests after the faults, all of which must be served.
const FINAL_REQUESTS: usize = 8;
/// Suffix of the example keys, after the names of site and tenant.
const KEY_SUFFIX: &str = "-key";

/// Returns options for callers at every proxy with all tenants of the site and a random seed.
#[must_use]
pub fn callers_options(fleet: &Fleet) -> CallersOptions {
    CallersOptions {
        proxies: fleet
            .proxy_nodes
            .iter()
            .map(|proxy_node| proxy_node.spec.callers)
            .collect(),
        tenants: tenants(&fleet.plan),
        lookup_prefix: fleet.plan.lookup_prefix.to_owned(),
        seed: rand::random::<u64>() >> 32,
    }
}

/// Returns the tenants of a site, whose keys have the form `SITE-TENANT-key`.
#[must_use]
pub fn tenants(plan: &SitePlan) -> Vec<TenantCredentials> {
    let prefix = format!("{}-", plan.name);
    let name_of = |key: &str| {
        key.trim_start_matches(&prefix)
            .trim_end_matches(KEY_SUFFIX)
            .to_owned()
    };
    let keys = plan.tenant_keys.iter();
    keys.map(|key| TenantCredentials {
        name: name_of(key),
        key: (*key).to_owned(),
    })
    .collect()
}

/// Returns the quotas by name of the tenant, from the site's configuration document.
///
/// # Errors
/// [`FleetError::Document`] when the site's document cannot be parsed.
pub fn quotas(plan: &SitePlan) -> Result<BTreeMap<String, TenantQuota>, FleetError> {
    let document = plan
        .parsed_document()
        .map_err(|source| FleetError::Document {
            site: plan.name,
            source,
        })?;
    let tenants = document.tenants.into_iter();
    let quotas = tenants.filter_map(|tenant| {
        let quota = tenant.quota?;
        let tenant_quota = TenantQuota {
            requests_per_second: quota.requests_per_second,
            burst: quota.burst,
        };
        Some((tenant.name, tenant_quota))
    });
    Ok(quotas.collect())
}

/// Runs the traffic, kills a backend and the leader of the configuration shard, and sends the final requests.
/// Returns a history with the probes, recovery and disturbance of the leader's outage, for the checks.
///
/// # Errors
/// A fault cannot be injected or undone.
pub async fn run(fleet: &mut Fleet, callers: &mut Callers) -> Result<History, FleetError> {
    let mut mix = Mix::default();
    // The retry budget grows with served requests: a fleet that has served none may not resume any stream.
    send_steady_traffic(&mut mix, callers).await;
    for _ in 0..LONG_STREAMS {
        callers.start(RequestKind::Long);
    }
    callers.start(RequestKind::Once);
    callers.start_keyed(2);
    let backend = kill_busy_backend(fleet).await?;
    println!(
        "killed backend {} while streams ran",
        fleet.backends[backend].spec.id
    );
    send_steady_traffic(&mut mix, callers).await;
    let leader_outage = interrupt_leader(fleet, &mut mix, callers).await?;
    send_steady_traffic(&mut mix, callers).await;
    callers.finish().await;
    send_final_requests(callers).await;
    Ok(leader_outage)
}

/// Kills the leader of the configuration shard and restarts it after a period of steady traffic. Until every
/// proxy serves without it, requests may get no quota decision within their deadline; this time is checked
/// like the recovery from an outage.
async fn interrupt_leader(
    fleet: &mut Fleet,
    mix: &mut Mix,
    callers: &mut Callers,
) -> Result<History, FleetError> {
    let mut probe = ServiceProbe::new(tenants(&fleet.plan).remove(0), rand::random());
    let from_micros = machine_micros();
    let leader = kill_configuration_leader(fleet).await?;
    let name = fleet.controls[leader].spec.name.clone();
    println!("killed {name}, the leader of the configuration, while streams ran");
    let served = probe.wait_without(fleet, Some(leader));
    let ((), served_micros) = tokio::join!(send_steady_traffic(mix, callers), served);
    fleet.controls[leader].restart().await?;
    println!("restarted {name}");
    let recovery = RecoverySeen {
        what: format!("the loss of {name}"),
        healed_micros: from_micros,
        served_micros,
    };
    let disturbance = Disturbance {
        from_micros,
        until_micros: served_micros.unwrap_or_else(machine_micros),
    };
    Ok(History {
        calls: probe.outcomes,
        recoveries: vec![recovery],
        disturbances: vec![disturbance],
        ..History::default()
    })
}

async fn send_steady_traffic(mix: &mut Mix, callers: &mut Callers) {
    let mut ticks = interval(LOOKUP_PERIOD);
    for _ in 0..STEADY_TRAFFIC_TICKS {
        ticks.tick().await;
        mix.tick(callers);
    }
}

async fn send_final_requests(callers: &mut Callers) {
    for _ in 0..FINAL_REQUESTS / 2 {
        callers.start(RequestKind::Question);
        callers.start_lookup();
    }
    callers.finish().await;
}

/// Returns whether every final request got a complete response.
#[must_use]
pub fn final_requests_served(history: &History) -> bool {
    let mut calls: Vec<&RequestOutcome> = history.calls.iter().collect();
    calls.sort_by_key(|call| call.started_micros);
    calls
        .iter()
        .rev()
        .take(FINAL_REQUESTS)
        .all(|call| call.succeeded())
}
