//! Rules that a document must keep before it is adopted. All breaches are found at once.

use std::collections::BTreeMap;

use millford_api::config::{Document, Pool};

use super::check_forward::{check_forward_routes, check_http_limits};
use super::check_pool::check_pools;
use super::check_route::check_routes;
use super::check_tenant::check_tenants;
use super::fault::Fault;
use super::fault_list::FaultList;
use super::limits;

/// Every fault of the document, in the order of routes, pools and tenants; empty when it is sound.
#[must_use]
pub fn check(document: &Document) -> Vec<Fault> {
    let mut faults = FaultList::default();
    let pools: BTreeMap<&str, &Pool> = document
        .pools
        .iter()
        .map(|pool| (pool.name.as_str(), pool))
        .collect();
    check_routes(&document.routes, &pools, &mut faults);
    check_forward_routes(&document.forward_routes, &pools, &mut faults);
    check_http_limits(document.http_limits.as_ref(), &mut faults);
    check_pools(&document.pools, &mut faults);
    check_tenants(&document.tenants, &mut faults);
    faults.into_faults()
}

/// Checks the form of a name and that it is the first of its kind.
pub(super) fn check_name<'name>(
    path: String,
    name: &'name str,
    seen: &mut BTreeMap<&'name str, String>,
    faults: &mut FaultList,
) {
    if name.is_empty() {
        faults.add(path, "the name is empty");
        return;
    }
    if let Some(first) = seen.get(name) {
        faults.add(path, format!("\"{name}\" is already the name at {first}"));
        return;
    }
    seen.insert(name, path.clone());
    if name.len() > limits::MAX_NAME_LENGTH {
        let text = format!("longer than {} characters", limits::MAX_NAME_LENGTH);
        faults.add(path, text);
    } else if !is_name(name) {
        faults.add(
            path,
            "only letters, digits, '.', '_' and '-' are allowed, and the first is a letter or digit",
        );
    }
}

/// Checks a model, version, stage or adapter; an empty one is left to the caller.
pub(super) fn check_label(path: String, label: &str, faults: &mut FaultList) {
    if label.len() > limits::MAX_LABEL_LENGTH {
        let text = format!("longer than {} bytes", limits::MAX_LABEL_LENGTH);
        faults.add(path, text);
    } else if !label.bytes().all(|byte| byte.is_ascii_graphic()) {
        faults.add(path, "only visible ASCII characters are allowed");
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    name.bytes().all(allowed) && name.as_bytes()[0].is_ascii_alphanumeric()
}
