//! Configuration, backends and placements from the feed, indexed for the request path.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use millford_api::config::{Pool, Tenant};
use millford_api::state::state_value::Kind;
use millford_api::state::{Backend, PoolPlacement, StateValue};
use millford_core::ResultCode;

use crate::forward_table::ForwardTable;
use crate::model_request::ModelRequest;
use crate::route_entry::RouteEntry;
use crate::serving_pool::ServingPool;

/// Prefix of the keys of backends in the feed.
const BACKEND_KEY_PREFIX: &str = "backend/";

/// One configuration revision, with the backends and placements that the feed lists.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    revision: u64,
    routes: Vec<Arc<RouteEntry>>,
    pools: BTreeMap<String, Arc<ServingPool>>,
    tenants_by_key_hash: BTreeMap<String, Arc<Tenant>>,
    tenants_by_name: BTreeMap<String, Arc<Tenant>>,
    /// Whether the configuration lists tenants, but none.
    has_empty_tenant_list: bool,
    forward: ForwardTable,
}

impl RoutingTable {
    /// Builds the table from the items of all shards.
    #[must_use]
    pub fn build<'a>(items: impl IntoIterator<Item = (&'a str, &'a StateValue)>) -> Self {
        let mut table = Self::default();
        let mut pools: Vec<&Pool> = Vec::new();
        let mut backends: BTreeMap<String, Vec<Arc<Backend>>> = BTreeMap::new();
        let mut placements: BTreeMap<&str, &PoolPlacement> = BTreeMap::new();
        for (key, value) in items {
            match &value.kind {
                Some(Kind::ConfigHead(head)) => table.revision = head.revision,
                Some(Kind::Route(route)) => {
                    table.routes.push(Arc::new(RouteEntry::from_config(route)));
                }
                Some(Kind::Pool(pool)) => pools.push(pool),
                Some(Kind::Tenant(tenant)) => table.add_tenant(tenant),
                Some(Kind::Backend(backend)) => {
                    let pool = pool_of_backend_key(key);
                    let list = backends.entry(pool.to_owned()).or_default();
                    list.push(Arc::new(backend.clone()));
                }
                Some(Kind::Placement(placement)) => {
                    placements.insert(placement.pool.as_str(), placement);
                }
                Some(Kind::ForwardRoute(route)) => table.forward.add_route(route),
                Some(Kind::HttpLimits(limits)) => table.forward.set_limits(*limits),
                Some(Kind::ProxyMember(member)) => table.forward.add_peer(member),
                Some(Kind::EmptyTenantList(_)) => table.has_empty_tenant_list = true,
                Some(Kind::ControlMember(_)) | None => {}
            }
        }
        table.routes.sort_by(|left, right| {
            let by_specificity = right.specificity().cmp(&left.specificity());
            by_specificity.then_with(|| left.name.cmp(&right.name))
        });
        for pool in pools {
            let members = backends.get(&pool.name).map_or(&[][..], Vec::as_slice);
            let placement = placements.get(pool.name.as_str()).copied();
            let serving = ServingPool::build(pool, members, placement);
            table.pools.insert(pool.name.clone(), Arc::new(serving));
        }
        table
    }

    /// Returns the number of the configuration revision, or 0 before the first one.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the forwarding routes, HTTP limits and proxies.
    #[must_use]
    pub fn forward(&self) -> &ForwardTable {
        &self.forward
    }

    /// Returns whether the configuration has a list of tenants. Requests must then present a key, also when the list is
    /// empty or no tenant holds a key any more.
    #[must_use]
    pub fn has_tenant_list(&self) -> bool {
        self.has_empty_tenant_list || !self.tenants_by_name.is_empty()
    }

    /// Returns the tenant of every valid key, in the order of the key hashes. A tenant with several keys
    /// is listed once for each.
    pub fn tenants(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.tenants_by_key_hash.values()
    }

    /// Returns the tenant that owns the key with this hash, given in lower case.
    #[must_use]
    pub fn tenant_of_key_hash(&self, key_hash: &str) -> Option<&Arc<Tenant>> {
        self.tenants_by_key_hash.get(key_hash)
    }

    /// Returns the tenant with this name.
    #[must_use]
    pub fn tenant_named(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.tenants_by_name.get(name)
    }

    /// Returns the most specific route for a model request.
    ///
    /// # Errors
    /// [`ResultCode::ModelUnknown`] if no route names the model; [`ResultCode::NoRoute`] if one does, but
    /// not with this version, stage and adapter.
    pub fn match_model(&self, requested: &ModelRequest) -> Result<&Arc<RouteEntry>, ResultCode> {
        let found = self
            .routes
            .iter()
            .find(|route| route.matches_model(requested));
        found.ok_or_else(|| self.no_route_reason(requested))
    }

    /// Returns the route with the longest path prefix that matches a lookup.
    ///
    /// # Errors
    /// [`ResultCode::PathUnknown`] if no route matches the path.
    pub fn match_path(&self, path: &str) -> Result<&Arc<RouteEntry>, ResultCode> {
        let found = self.routes.iter().find(|route| route.matches_path(path));
        found.ok_or(ResultCode::PathUnknown)
    }

    /// Returns the pool with this name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Arc<ServingPool>> {
        self.pools.get(name)
    }

    /// Returns all pools, in the order of their names.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<ServingPool>> {
        self.pools.values()
    }

    /// Returns all routes, the most specific first.
    #[must_use]
    pub fn routes(&self) -> &[Arc<RouteEntry>] {
        &self.routes
    }

    /// Returns the names by which callers can request models: `model` or, for a route that sets a
    /// version, `model@version`. Lookup routes and routes for any model add none.
    #[must_use]
    pub fn models(&self) -> BTreeSet<String> {
        let mut names = BTreeSet::new();
        for route in self.routes.iter().filter(|route| !route.is_lookup()) {
            let matches = &route.matches;
            match (matches.model.as_str(), matches.version.as_str()) {
                ("", _) => {}
                (model, "") => _ = names.insert(model.to_owned()),
                (model, version) => _ = names.insert(format!("{model}@{version}")),
            }
        }
        names
    }

    fn add_tenant(&mut self, tenant: &Tenant) {
        let shared = Arc::new(tenant.clone());
        self.tenants_by_name
            .insert(tenant.name.clone(), Arc::clone(&shared));
        for key_hash in &tenant.key_hashes {
            self.tenants_by_key_hash
                .insert(key_hash.to_ascii_lowercase(), Arc::clone(&shared));
        }
    }

    /// Returns the code for a request without a route, which depends on whether any route names the model.
    fn no_route_reason(&self, requested: &ModelRequest) -> ResultCode {
        let mut routes = self.routes.iter().filter(|route| !route.is_lookup());
        if routes.any(|route| route.matches.model == requested.model) {
            ResultCode::NoRoute
        } else {
            ResultCode::ModelUnknown
        }
    }
}

/// Returns the pool in a key `backend/<pool>/<backend id>`.
fn pool_of_backend_key(key: &str) -> &str {
    let rest = key.strip_prefix(BACKEND_KEY_PREFIX).unwrap_or(key);
    rest.split('/').next().unwrap_or(rest)
}
