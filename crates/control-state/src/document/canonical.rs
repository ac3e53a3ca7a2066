//! Canonical form and digest: documents that mean the same have the same bytes.

use millford_api::config::{Document, Pool, RouteMatch, Selector};
use sha2::{Digest, Sha256};

/// The document with its lists sorted by name and absent matches and selectors written out.
///
/// The order of routes, pools, tenants and keys has no meaning: the most specific route wins.
#[must_use]
pub fn normalized(document: &Document) -> Document {
    let mut document = document.clone();
    for route in &mut document.routes {
        route.r#match.get_or_insert_with(RouteMatch::default);
    }
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

/// The normalized document as JSON without white space, fields in the order of the protocol file
/// and every field written out.
#[must_use]
pub fn canonical_json(document: &Document) -> Vec<u8> {
    // Writing to memory fails only for an enumeration number outside its range, which neither
    // `parse` nor `check` lets through; such a document has the digest of an empty text.
    serde_json::to_vec(&normalized(document)).unwrap_or_default()
}

/// SHA-256 of the canonical JSON, 32 bytes.
#[must_use]
pub fn digest(document: &Document) -> Vec<u8> {
    Sha256::digest(canonical_json(document)).to_vec()
}

fn normalize_pool(pool: &mut Pool) {
    let selector = pool.selector.get_or_insert_with(Selector::default);
    selector.adapters.sort();
    selector.adapters.dedup();
}

fn sort_by_name<T>(entries: &mut [T], name: fn(&T) -> &str) {
    entries.sort_by(|left, right| name(left).cmp(name(right)));
}
