//! Checks of tenants.

use std::collections::BTreeMap;

use millford_api::config::{Quota, Tenant};

use super::super::limits;
use super::fault_list::{FaultList, Unit};
use super::names::UniqueNames;

/// Hexadecimal digits of a SHA-256 digest.
const HASH_LENGTH: usize = 64;

/// Checks each tenant, and the uniqueness of names and keys.
pub(super) fn check_tenants(tenants: &[Tenant], faults: &mut FaultList) {
    faults.check_count("tenants", tenants.len(), limits::MAX_TENANTS);
    let mut names = UniqueNames::default();
    let mut path_by_hash = BTreeMap::new();
    for (index, tenant) in tenants.iter().enumerate() {
        let path = format!("tenants[{index}]");
        names.check(format!("{path}.name"), &tenant.name, faults);
        check_keys(&path, tenant, &mut path_by_hash, faults);
        // A tenant with a token quota needs no request quota.
        if tenant.quota.is_some() || tenant.token_quota.is_none() {
            check_quota(&path, tenant.quota.as_ref(), faults);
        }
    }
}

/// Checks the form of key hashes, and that each key belongs to only one tenant. A tenant without
/// keys is valid: all its keys are revoked.
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
            let text = "expected a SHA-256 digest of 64 lower-case hexadecimal digits";
            faults.add(hash_path, text);
        } else if let Some(first) = path_by_hash.get(hash.as_str()) {
            faults.add(
                hash_path,
                format!("the same key is already used at {first}"),
            );
        } else {
            path_by_hash.insert(hash, hash_path);
        }
    }
}

fn check_quota(path: &str, quota: Option<&Quota>, faults: &mut FaultList) {
    let Some(quota) = quota else {
        faults.add(
            format!("{path}.quota"),
            "a tenant must have a quota or a token quota",
        );
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
