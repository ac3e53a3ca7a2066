//! Canonical form and digest of documents: equivalent documents have the same bytes and digest.

use millford_api::config::{Document, Pool, RouteMatch, Selector};
use sha2::{Digest, Sha256};

/// Distinguishes the digest of a document whose list of tenants is empty. No canonical JSON ends with it.
const EMPTY_TENANT_LIST_MARK: &[u8] = b"empty_tenant_list";

/// Returns the document with sorted lists, and with empty values for absent matches and selectors.
/// The weighted pools of a forwarding route keep their order.
///
/// The order of routes, pools, tenants and keys has no meaning, because the most specific route
/// takes a request.
#[must_use]
pub fn normalized(document: &Document) -> Document {
    let mut document = document.clone();
    for route in &mut document.routes {
        route.r#match.get_or_insert_with(RouteMatch::default);
    }
    document.empty_tenant_list &= document.tenants.is_empty();
    document.pools.iter_mut().for_each(normalize_pool);
    for tenant in &mut document.tenants {
        tenant.key_hashes.sort();
    }
    sort_by_name(&mut document.routes, |route| &route.name);
    sort_by_name(&mut document.forward_routes, |route| &route.name);
    sort_by_name(&mut document.pools, |pool| &pool.name);
    sort_by_name(&mut document.tenants, |tenant| &tenant.name);
    document
}

/// Returns the normalized document as JSON without white space. The fields are in the order of the
/// protocol file, and none is left out but an absent list of tenants.
#[must_use]
pub fn canonical_json(document: &Document) -> Vec<u8> {
    // Serializing to memory fails only for an enum number outside its range, which neither `parse`
    // nor `check` accepts. Such a document gets the digest of an empty text.
    serde_json::to_vec(&normalized(document)).unwrap_or_default()
}

/// Returns the SHA-256 digest of the canonical JSON, 32 bytes.
///
/// An absent list of tenants is hashed as an empty one, and an empty one with a mark behind it. Earlier releases did not
/// tell the two apart, and an order without tenants that is sent again during an upgrade must keep its digest.
#[must_use]
pub fn digest(document: &Document) -> Vec<u8> {
    let mut listed = normalized(document);
    listed.empty_tenant_list = listed.tenants.is_empty();
    let mut hash = Sha256::new_with_prefix(canonical_json(&listed));
    if document.empty_tenant_list && document.tenants.is_empty() {
        hash.update(EMPTY_TENANT_LIST_MARK);
    }
    hash.finalize().to_vec()
}

fn normalize_pool(pool: &mut Pool) {
    let selector = pool.selector.get_or_insert_with(Selector::default);
    selector.adapters.sort();
    selector.adapters.dedup();
}

fn sort_by_name<T>(entries: &mut [T], name: fn(&T) -> &str) {
    entries.sort_by(|left, right| name(left).cmp(name(right)));
}
