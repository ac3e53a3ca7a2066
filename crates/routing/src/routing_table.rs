//! Everything that the feed carries, indexed for the request path.

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

/// Prefix of the keys of backends.
const BACKEND_KEY_PREFIX: &str = "backend/";

/// One revision of the configuration with the backends and placements known beside it.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    revision: u64,
    routes: Vec<Arc<RouteEntry>>,
    pools: BTreeMap<String, Arc<ServingPool>>,
    tenants_by_key_hash: BTreeMap<String, Arc<Tenant>>,
    tenants_by_name: BTreeMap<String, Arc<Tenant>>,
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
                    let service = service_of_backend_key(key);
                    let list = backends.entry(service.to_owned()).or_default();
                    list.push(Arc::new(backend.clone()));
                }
                Some(Kind::Placement(placement)) => {
                    placements.insert(placement.pool.as_str(), placement);
                }
                Some(Kind::ForwardRoute(route)) => table.forward.add_route(route),
                Some(Kind::HttpLimits(limits)) => table.forward.set_limits(*limits),
                Some(Kind::ProxyMember(member)) => table.forward.add_peer(member),
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

    /// Number of the configuration revision; 0 before any.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Forwarding routes, HTTP limits and the other proxies.
    #[must_use]
    pub fn forward(&self) -> &ForwardTable {
        &self.forward
    }

    /// Whether the configuration lists tenants, so that requests need a key.
    #[must_use]
    pub fn has_tenants(&self) -> bool {
        !self.tenants_by_key_hash.is_empty()
    }

    /// The tenants that hold a valid key, in the order of their keys' hashes; one may be listed twice.
    pub fn tenants(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.tenants_by_key_hash.values()
    }

    /// The tenant that owns a key with this hash.
    #[must_use]
    pub fn tenant_of_key_hash(&self, key_hash: &str) -> Option<&Arc<Tenant>> {
        self.tenants_by_key_hash.get(key_hash)
    }

    /// The tenant with this name.
    #[must_use]
    pub fn tenant_named(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.tenants_by_name.get(name)
    }

    /// The most specific route for a model request.
    ///
    /// # Errors
    /// [`ResultCode::ModelUnknown`], or [`ResultCode::NoRoute`] for a known model in a combination without
    /// a route.
    pub fn match_model(&self, requested: &ModelRequest) -> Result<&Arc<RouteEntry>, ResultCode> {
        let found = self
            .routes
            .iter()
            .find(|route| route.matches_model(requested));
        found.ok_or_else(|| self.no_route_reason(requested))
    }

    /// The route with the longest prefix of a lookup path.
    ///
    /// # Errors
    /// [`ResultCode::PathUnknown`].
    pub fn match_path(&self, path: &str) -> Result<&Arc<RouteEntry>, ResultCode> {
        let found = self.routes.iter().find(|route| route.matches_path(path));
        found.ok_or(ResultCode::PathUnknown)
    }

    /// The pool with this name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Arc<ServingPool>> {
        self.pools.get(name)
    }

    /// All pools, in the order of their names.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<ServingPool>> {
        self.pools.values()
    }

    /// All routes, the most specific first.
    #[must_use]
    pub fn routes(&self) -> &[Arc<RouteEntry>] {
        &self.routes
    }

    /// Names by which callers can request models: the model, and the model with its version where
    /// a route names one. Lookup routes and routes for any model name none.
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

    /// Distinguishes an unknown model from a known model in a combination without a route.
    fn no_route_reason(&self, requested: &ModelRequest) -> ResultCode {
        let mut routes = self.routes.iter().filter(|route| !route.is_lookup());
        if routes.any(|route| route.matches.model == requested.model) {
            ResultCode::NoRoute
        } else {
            ResultCode::ModelUnknown
        }
    }
}

/// The pool in a key `backend/<pool>/<backend id>`.
fn service_of_backend_key(key: &str) -> &str {
    let rest = key.strip_prefix(BACKEND_KEY_PREFIX).unwrap_or(key);
    rest.split('/').next().unwrap_or(rest)
}
