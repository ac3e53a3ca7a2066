//! Rules of pools.

use std::collections::BTreeMap;

use millford_api::config::{Pool, Selector};

use super::check::{check_label, check_name};
use super::fault_list::FaultList;
use super::limits;

/// Checks every pool.
pub(super) fn check_pools(pools: &[Pool], faults: &mut FaultList) {
    faults.count("pools", pools.len(), limits::MAX_POOLS);
    let mut names = BTreeMap::new();
    for (index, pool) in pools.iter().enumerate() {
        let path = format!("pools[{index}]");
        check_name(format!("{path}.name"), &pool.name, &mut names, faults);
        if let Some(selector) = &pool.selector {
            check_selector(&path, selector, faults);
        }
        check_ranges(&path, pool, faults);
        check_label(
            format!("{path}.target_version"),
            &pool.target_version,
            faults,
        );
        check_target(&path, pool, faults);
    }
}

fn check_selector(path: &str, selector: &Selector, faults: &mut FaultList) {
    let labels = [
        ("model", &selector.model),
        ("version", &selector.version),
        ("stage", &selector.stage),
    ];
    for (field, label) in labels {
        check_label(format!("{path}.selector.{field}"), label, faults);
    }
    let adapters_path = format!("{path}.selector.adapters");
    let adapters = &selector.adapters;
    faults.count(adapters_path.clone(), adapters.len(), limits::MAX_ADAPTERS);
    for (index, adapter) in adapters.iter().enumerate() {
        let adapter_path = format!("{adapters_path}[{index}]");
        if adapter.is_empty() {
            faults.add(adapter_path, "the adapter is empty");
        } else {
            check_label(adapter_path, adapter, faults);
        }
    }
}

fn check_ranges(path: &str, pool: &Pool, faults: &mut FaultList) {
    let drain_path = format!("{path}.drain_ms");
    faults.range(drain_path, pool.drain_ms, limits::DRAIN_MS, " ms");
    let percentages = [
        ("bandwidth_ceiling_percent", pool.bandwidth_ceiling_percent),
        ("transition_budget_percent", pool.transition_budget_percent),
    ];
    for (field, value) in percentages {
        faults.range(
            format!("{path}.{field}"),
            value,
            limits::PERCENT,
            " percent",
        );
    }
    let deferral_path = format!("{path}.longest_deferral_ms");
    let deferral = pool.longest_deferral_ms;
    faults.range(deferral_path, deferral, limits::LONGEST_DEFERRAL_MS, " ms");
}

/// A pool that selects one version cannot be moved to another.
fn check_target(path: &str, pool: &Pool, faults: &mut FaultList) {
    let selected = pool.selector.as_ref().map_or("", |found| &found.version);
    let target = &pool.target_version;
    if !selected.is_empty() && !target.is_empty() && selected != target {
        let text = format!("the selector takes version \"{selected}\" only");
        faults.add(format!("{path}.target_version"), text);
    }
}
