//! Conversion between a document and items of the public state.

use std::collections::BTreeMap;

use millford_api::config::{Document, EmptyTenantList};
use millford_api::state::{StateValue, state_value::Kind};

use super::canonical::normalized;
use crate::keys;

/// Returns the items of a document by key: one for each route, forwarding route, pool and tenant,
/// one for the HTTP limits if they are set, and one for a list of tenants that is present but empty.
#[must_use]
pub fn items(document: &Document) -> BTreeMap<String, Kind> {
    let document = normalized(document);
    let mut items = BTreeMap::new();
    for route in document.routes {
        items.insert(keys::route(&route.name), Kind::Route(route));
    }
    for pool in document.pools {
        items.insert(keys::pool(&pool.name), Kind::Pool(pool));
    }
    for route in document.forward_routes {
        let key = keys::forward_route(&route.name);
        items.insert(key, Kind::ForwardRoute(route));
    }
    if let Some(limits) = document.http_limits {
        items.insert(keys::HTTP_LIMITS.to_owned(), Kind::HttpLimits(limits));
    }
    if document.empty_tenant_list {
        let empty = Kind::EmptyTenantList(EmptyTenantList {});
        items.insert(keys::EMPTY_TENANT_LIST.to_owned(), empty);
    }
    for tenant in document.tenants {
        items.insert(keys::tenant(&tenant.name), Kind::Tenant(tenant));
    }
    items
}

/// Rebuilds the normalized document from items of the public state. Items that do not belong to a
/// document are ignored.
#[must_use]
pub fn document_of<'items>(values: impl IntoIterator<Item = &'items StateValue>) -> Document {
    let mut document = Document::default();
    for value in values {
        match &value.kind {
            Some(Kind::Route(route)) => document.routes.push(route.clone()),
            Some(Kind::Pool(pool)) => document.pools.push(pool.clone()),
            Some(Kind::Tenant(tenant)) => document.tenants.push(tenant.clone()),
            Some(Kind::ForwardRoute(route)) => document.forward_routes.push(route.clone()),
            Some(Kind::HttpLimits(limits)) => document.http_limits = Some(*limits),
            Some(Kind::EmptyTenantList(_)) => document.empty_tenant_list = true,
            _ => {}
        }
    }
    normalized(&document)
}
