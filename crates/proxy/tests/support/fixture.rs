//! A test configuration with one model, its backends and two tenants.

use bytes::Bytes;
use millford_api::config::{
    EmptyTenantList, Hedge, Pool, Quota, Resume, Route, RouteMatch, Tenant,
};
use millford_api::state::state_value::Kind;
use millford_api::state::{Backend, BackendState, ConfigHead, Declaration, StateItem, StateValue};
use millford_core::{MonotonicTime, hash_tenant_key};
use millford_data_plane::limits::RequestLimits;
use millford_data_plane::proxy_state::ProxyState;
use millford_proxy::request::caller::{CallerHeaders, CallerRequest};
use millford_proxy::request::completion::serve_completion;
use millford_proxy::request::environment::RequestEnvironment;
use millford_routing::RoutingTable;

use super::environment::ScriptedEnvironment;
use super::sink::{CallerResponse, RecordingSink};

pub(crate) const TENANT: &str = "library";
pub(crate) const KEY: &str = "key-of-the-library";
pub(crate) const SECOND_TENANT: &str = "shop";
pub(crate) const SECOND_KEY: &str = "key-of-the-shop";

/// The parts of the configuration that tests vary.
#[derive(Clone, Debug)]
pub(crate) struct Fixture {
    pub(crate) backends: Vec<(String, BackendState)>,
    pub(crate) repeatable: bool,
    pub(crate) resume: Resume,
    pub(crate) deadline_ms: u32,
    pub(crate) hedge_ms: Option<u32>,
    pub(crate) drain_ms: u32,
}

impl Default for Fixture {
    fn default() -> Self {
        let active = |id: &str| (id.to_owned(), BackendState::BackendActive);
        Self {
            backends: vec![active("b1"), active("b2"), active("b3")],
            repeatable: true,
            resume: Resume::Continue,
            deadline_ms: 10_000,
            hedge_ms: None,
            drain_ms: 1_000,
        }
    }
}

impl Fixture {
    /// Creates a configuration whose model route is not repeatable and never resumes a stream.
    pub(crate) fn not_repeatable() -> Self {
        Self {
            repeatable: false,
            resume: Resume::Never,
            ..Self::default()
        }
    }

    pub(crate) fn with_backends(mut self, ids: &[&str]) -> Self {
        let active = |id: &&str| ((*id).to_owned(), BackendState::BackendActive);
        self.backends = ids.iter().map(active).collect();
        self
    }

    /// Sets the state of one backend.
    pub(crate) fn with_state(mut self, id: &str, state: BackendState) -> Self {
        for backend in &mut self.backends {
            if backend.0 == id {
                backend.1 = state;
            }
        }
        self
    }

    pub(crate) fn environment(&self) -> ScriptedEnvironment {
        ScriptedEnvironment::new(self.state(), 7)
    }

    pub(crate) fn state(&self) -> ProxyState {
        let state = ProxyState::new(RequestLimits::default());
        state.set_table(self.table());
        state.set_ready();
        state
    }

    /// Returns the state of a proxy whose configuration has an empty list of tenants.
    pub(crate) fn state_with_empty_tenant_list(&self) -> ProxyState {
        let mut items = self.items();
        items.retain(|(key, _)| !key.starts_with("config/tenant/"));
        let empty = Kind::EmptyTenantList(EmptyTenantList {});
        items.push(item("config/empty-tenant-list", empty));
        let state = ProxyState::new(RequestLimits::default());
        state.set_table(table_of(&items));
        state.set_ready();
        state
    }

    pub(crate) fn table(&self) -> RoutingTable {
        table_of(&self.items())
    }

    /// Returns the configuration as feed items, with every backend at this address.
    pub(crate) fn feed_items(&self, address: &str) -> Vec<StateItem> {
        let items = self.items().into_iter().map(|(key, mut value)| {
            if let Some(Kind::Backend(backend)) = &mut value.kind {
                address.clone_into(&mut backend.address);
            }
            StateItem {
                key,
                value: Some(value),
            }
        });
        items.collect()
    }

    fn items(&self) -> Vec<(String, StateValue)> {
        let mut items = vec![
            item(
                "config/head",
                Kind::ConfigHead(ConfigHead {
                    revision: 3,
                    digest: Vec::new(),
                }),
            ),
            item("config/route/captions", Kind::Route(self.model_route())),
            item("config/route/sheets", Kind::Route(lookup_route())),
            item("config/pool/models", Kind::Pool(self.pool("models"))),
            item("config/pool/sheets", Kind::Pool(self.pool("sheets"))),
            item("config/tenant/library", Kind::Tenant(tenant(TENANT, KEY))),
            item(
                "config/tenant/shop",
                Kind::Tenant(tenant(SECOND_TENANT, SECOND_KEY)),
            ),
        ];
        for (id, state) in &self.backends {
            let kind = Kind::Backend(backend(id, *state));
            items.push(item(&format!("backend/models/{id}"), kind.clone()));
            items.push(item(&format!("backend/sheets/{id}"), kind));
        }
        items
    }

    fn model_route(&self) -> Route {
        Route {
            name: "captions".to_owned(),
            r#match: Some(RouteMatch {
                model: "saga".to_owned(),
                ..RouteMatch::default()
            }),
            pool: "models".to_owned(),
            repeatable: self.repeatable,
            resume: self.resume.into(),
            deadline_ms: self.deadline_ms,
            hedge: self.hedge_ms.map(|delay_ms| Hedge { delay_ms }),
        }
    }

    fn pool(&self, name: &str) -> Pool {
        Pool {
            name: name.to_owned(),
            drain_ms: self.drain_ms,
            ..Pool::default()
        }
    }
}

fn table_of(items: &[(String, StateValue)]) -> RoutingTable {
    RoutingTable::build(items.iter().map(|(key, value)| (key.as_str(), value)))
}

fn item(key: &str, kind: Kind) -> (String, StateValue) {
    (key.to_owned(), StateValue { kind: Some(kind) })
}

fn lookup_route() -> Route {
    Route {
        name: "sheets".to_owned(),
        r#match: Some(RouteMatch {
            path_prefix: "/stations".to_owned(),
            ..RouteMatch::default()
        }),
        pool: "sheets".to_owned(),
        repeatable: true,
        deadline_ms: 1_000,
        ..Route::default()
    }
}

fn tenant(name: &str, key: &str) -> Tenant {
    Tenant {
        name: name.to_owned(),
        key_hashes: vec![hash_tenant_key(key)],
        quota: Some(Quota {
            requests_per_second: 100,
            burst: 100,
            concurrent_streams: 0,
        }),
        ..Default::default()
    }
}

fn backend(id: &str, state: BackendState) -> Backend {
    Backend {
        id: id.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        declarations: vec![Declaration {
            model: "saga".to_owned(),
            version: "2".to_owned(),
            ..Declaration::default()
        }],
        cores: 8,
        state: state.into(),
        ..Backend::default()
    }
}

/// Builds a completion request of [`TENANT`].
pub(crate) fn request(stream: bool) -> CallerRequest {
    let messages = r#"[{"role":"user","content":"Caption panel one."}]"#;
    let body = format!(r#"{{"model":"saga","stream":{stream},"messages":{messages}}}"#);
    CallerRequest {
        path_and_query: "/v1/chat/completions".to_owned(),
        headers: CallerHeaders {
            authorization: Some(format!("Bearer {KEY}")),
            content_type: Some("application/json".to_owned()),
            ..CallerHeaders::default()
        },
        body: Bytes::from(body),
        arrived: MonotonicTime::ZERO,
    }
}

/// Builds a completion request of [`TENANT`] with an idempotency key.
pub(crate) fn keyed_request(stream: bool) -> CallerRequest {
    let mut request = request(stream);
    request.headers.idempotency_key = Some("order-17".to_owned());
    request
}

/// Serves one request to its end and returns the caller's response.
pub(crate) fn serve(
    environment: &ScriptedEnvironment,
    mut request: CallerRequest,
) -> CallerResponse {
    request.arrived = environment.now();
    let mut sink = RecordingSink::new(environment.clock.clone());
    let served = serve_completion(environment, request, &mut sink);
    environment.clock.run(served);
    sink.response()
}

/// Serves one request whose caller disconnects at this time, in milliseconds of simulated time.
pub(crate) fn serve_disconnecting(
    environment: &ScriptedEnvironment,
    request: CallerRequest,
    disconnects_after_ms: u64,
) -> CallerResponse {
    let sink = RecordingSink::new(environment.clock.clone());
    let mut sink = sink.disconnecting_at(MonotonicTime::from_millis(disconnects_after_ms));
    let served = serve_completion(environment, request, &mut sink);
    environment.clock.run(served);
    sink.response()
}
