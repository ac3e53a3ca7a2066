//! Rules of tenants.

use std::collections::BTreeMap;

use millford_api::config::{Quota, Tenant};

use super::super::limits;
use super::fault_list::{FaultList, Unit};
use super::names::UniqueNames;

/// Length of a SHA-256 digest in hexadecimal digits.
const HASH_LENGTH: usize = 64;

/// Checks every tenant.
pub(super) fn check_tenants(tenants: &[Tenant], faults: &mut FaultList) {
    faults.check_count("tenants", tenants.len(), limits::MAX_TENANTS);
    let mut names = UniqueNames::default();
    let mut path_by_hash = BTreeMap::new();
    for (index, tenant) in tenants.iter().enumerate() {
        let path = format!("tenants[{index}]");
        names.check(format!("{path}.name"), &tenant.name, faults);
        check_keys(&path, tenant, &mut path_by_hash, faults);
        // A tenant whose tokens are limited needs no limit on its requests.
        if tenant.quota.is_some() || tenant.token_quota.is_none() {
            check_quota(&path, tenant.quota.as_ref(), faults);
        }
    }
}

/// A key belongs to one tenant; a tenant without keys is one whose keys are all revoked.
fn check_keys<'document>(
    path: &str,
    tenant: &'document Tenant,
    path_by_hash: &mut BTreeMap<&'document str, String>,
    faults: &mut FaultList,
) {
    let keys_path = format!("{path}.key_hashes");
    let hashes = &tenant.key_hashes;
    faults.check_count(keys_path.clone(), hashes.len(), limits::MAX_KEYS_PER_TENANT);
    for (index, hash) in hashes.iter().enumerate() {
        let hash_path = format!("{keys_path}[{index}]");
        if !is_hash(hash) {
            let text = "not a SHA-256 in lower-case hexadecimal (64 digits)";
            faults.add(hash_path, text);
        } else if let Some(first) = path_by_hash.get(hash.as_str()) {
            faults.add(hash_path, format!("the same key is already at {first}"));
        } else {
            path_by_hash.insert(hash, hash_path);
        }
    }
}

fn check_quota(path: &str, quota: Option<&Quota>, faults: &mut FaultList) {
    let Some(quota) = quota else {
        faults.add(format!("{path}.quota"), "a tenant has a quota");
        return;
    };
    let fields = [
        (
            "requests_per_second",
            quota.requests_per_second,
            limits::REQUESTS_PER_SECOND,
        ),
        ("burst", quota.burst, limits::BURST),
        (
            "concurrent_streams",
            quota.concurrent_streams,
            limits::CONCURRENT_STREAMS,
        ),
    ];
    for (field, value, range) in fields {
        faults.check_range(format!("{path}.quota.{field}"), value, &range, Unit::None);
    }
}

fn is_hash(hash: &str) -> bool {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    hash.len() == HASH_LENGTH && hash.bytes().all(is_digit)
}
