//! Checks of pools.

use millford_api::config::{Pool, Selector};

use super::super::limits;
use super::fault_list::{FaultList, Unit};
use super::names::{UniqueNames, check_label};

/// Checks each pool and the uniqueness of the names.
pub(super) fn check_pools(pools: &[Pool], faults: &mut FaultList) {
    faults.check_count("pools", pools.len(), limits::MAX_POOLS);
    let mut names = UniqueNames::default();
    for (index, pool) in pools.iter().enumerate() {
        let path = format!("pools[{index}]");
        names.check(format!("{path}.name"), &pool.name, faults);
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
    faults.check_count(adapters_path.clone(), adapters.len(), limits::MAX_ADAPTERS);
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
    let milliseconds = Unit::Milliseconds;
    faults.check_range(drain_path, pool.drain_ms, &limits::DRAIN_MS, milliseconds);
    let percentages = [
        ("bandwidth_ceiling_percent", pool.bandwidth_ceiling_percent),
        ("transition_budget_percent", pool.transition_budget_percent),
    ];
    for (field, value) in percentages {
        let field_path = format!("{path}.{field}");
        faults.check_range(field_path, value, &limits::PERCENT, Unit::Percent);
    }
    let deferral_path = format!("{path}.longest_deferral_ms");
    faults.check_range(
        deferral_path,
        pool.longest_deferral_ms,
        &limits::LONGEST_DEFERRAL_MS,
        milliseconds,
    );
}

/// Checks that the target version is the selected one, if the selector names a version: the pool
/// has no backends of another version to move to.
fn check_target(path: &str, pool: &Pool, faults: &mut FaultList) {
    let selected = pool
        .selector
        .as_ref()
        .map_or("", |selector| &selector.version);
    let target = &pool.target_version;
    if !selected.is_empty() && !target.is_empty() && selected != target {
        let text = format!("the selector selects only version \"{selected}\"");
        faults.add(format!("{path}.target_version"), text);
    }
}
