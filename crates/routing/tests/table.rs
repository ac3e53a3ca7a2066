//! Tests of route matching and of the candidates of a pool.

mod support;

use millford_api::config::{EmptyTenantList, Pool, Route, RouteMatch, Tenant};
use millford_api::state::state_value::Kind;
use millford_api::state::{
    Backend, BackendState, ConfigHead, Declaration, PoolPlacement, Replica, ReplicaState,
};
use millford_core::ResultCode;
use millford_routing::{ModelRequest, RoutingTable};
use quickcheck::quickcheck;

/// Feed items for a routing table.
struct Items(Vec<(String, Kind)>);

impl Items {
    fn new() -> Self {
        let mut items = Self(Vec::new());
        items.add(
            "config/head",
            Kind::ConfigHead(ConfigHead {
                revision: 9,
                digest: Vec::new(),
            }),
        );
        items.add(
            "config/pool/models",
            Kind::Pool(Pool {
                name: "models".to_owned(),
                ..Pool::default()
            }),
        );
        items
    }

    fn add(&mut self, key: &str, kind: Kind) {
        self.0.push((key.to_owned(), kind));
    }

    fn route(&mut self, name: &str, matches: RouteMatch) {
        self.add(
            &format!("config/route/{name}"),
            Kind::Route(Route {
                name: name.to_owned(),
                r#match: Some(matches),
                pool: "models".to_owned(),
                ..Route::default()
            }),
        );
    }

    fn backend(&mut self, id: &str, version: &str, state: BackendState) {
        self.add(
            &format!("backend/models/{id}"),
            Kind::Backend(Backend {
                id: id.to_owned(),
                declarations: vec![Declaration {
                    model: "saga".to_owned(),
                    version: version.to_owned(),
                    adapters: vec!["captions".to_owned()],
                    ..Declaration::default()
                }],
                state: state.into(),
                ..Backend::default()
            }),
        );
    }

    fn place(&mut self, replicas: Vec<Replica>) {
        self.add(
            "placement/models",
            Kind::Placement(PoolPlacement {
                pool: "models".to_owned(),
                epoch: 1,
                replicas,
            }),
        );
    }

    fn table(&self) -> RoutingTable {
        support::routing_table(self.0.clone())
    }

    fn candidates(&self, requested: &ModelRequest) -> Vec<String> {
        let table = self.table();
        let pool = table.pool("models").expect("pool");
        let found = pool.candidates(requested).into_iter();
        found.map(|replica| replica.backend.id.clone()).collect()
    }
}

fn model(name: &str) -> RouteMatch {
    RouteMatch {
        model: name.to_owned(),
        ..RouteMatch::default()
    }
}

fn requested(field: &str) -> ModelRequest {
    ModelRequest::from_model_field(field)
}

fn placed(id: &str, version: &str, weight_milli: u32, state: ReplicaState) -> Replica {
    Replica {
        backend_id: id.to_owned(),
        model: "saga".to_owned(),
        version: version.to_owned(),
        state: state.into(),
        weight_milli,
    }
}

#[test]
fn the_most_specific_route_wins() {
    let mut items = Items::new();
    items.route("any", RouteMatch::default());
    items.route("saga", model("saga"));
    let exact = RouteMatch {
        version: "2".to_owned(),
        ..model("saga")
    };
    items.route("saga-two", exact);
    let table = items.table();
    let name = |field: &str| {
        let route = table.match_model(&requested(field)).expect("a route");
        route.name.clone()
    };
    assert_eq!(name("saga@2"), "saga-two");
    assert_eq!(name("saga@1"), "saga");
    assert_eq!(name("other"), "any");
    assert_eq!(table.revision(), 9);
}

#[test]
fn an_unknown_model_and_an_unrouted_version_have_distinct_codes() {
    let mut items = Items::new();
    let exact = RouteMatch {
        version: "2".to_owned(),
        ..model("saga")
    };
    items.route("saga-two", exact);
    let table = items.table();
    let code = |field: &str| table.match_model(&requested(field)).map(|_| ()).err();
    assert_eq!(code("saga@1"), Some(ResultCode::NoRoute));
    assert_eq!(code("unknown"), Some(ResultCode::ModelUnknown));
    assert_eq!(code("saga@2"), None);
}

#[test]
fn the_longest_path_prefix_wins_and_ends_at_a_segment() {
    let mut items = Items::new();
    for prefix in ["/catalogue", "/catalogue/new"] {
        items.route(
            prefix,
            RouteMatch {
                path_prefix: prefix.to_owned(),
                ..RouteMatch::default()
            },
        );
    }
    let table = items.table();
    let name = |path: &str| table.match_path(path).map(|route| route.name.clone());
    assert_eq!(name("/catalogue/7"), Ok("/catalogue".to_owned()));
    assert_eq!(name("/catalogue/new/7"), Ok("/catalogue/new".to_owned()));
    assert_eq!(name("/catalogues"), Err(ResultCode::PathUnknown));
}

#[test]
fn a_tenant_without_keys_is_still_a_tenant() {
    let mut items = Items::new();
    assert!(!items.table().has_tenant_list());
    items.add(
        "config/tenant/library",
        Kind::Tenant(Tenant {
            name: "library".to_owned(),
            ..Tenant::default()
        }),
    );
    assert!(items.table().has_tenant_list());
}

/// Guards against a table that takes an emptied list of tenants for an absent one, so that any key is let in (review/2).
#[test]
fn an_empty_list_of_tenants_is_still_a_list() {
    let mut items = Items::new();
    items.add(
        "config/empty-tenant-list",
        Kind::EmptyTenantList(EmptyTenantList {}),
    );
    assert!(items.table().has_tenant_list());
}

#[test]
fn every_key_of_a_tenant_identifies_it() {
    let mut items = Items::new();
    items.add(
        "config/tenant/library",
        Kind::Tenant(Tenant {
            name: "library".to_owned(),
            key_hashes: vec!["aa".to_owned(), "BB".to_owned()],
            quota: None,
            ..Default::default()
        }),
    );
    let table = items.table();
    assert!(table.tenant_of_key_hash("aa").is_some());
    assert!(table.tenant_of_key_hash("bb").is_some());
    assert!(table.tenant_of_key_hash("cc").is_none());
}

#[test]
fn without_placement_the_highest_version_serves() {
    let mut items = Items::new();
    items.backend("old", "1", BackendState::BackendActive);
    items.backend("new", "2", BackendState::BackendActive);
    assert_eq!(items.candidates(&requested("saga")), ["new"]);
    assert_eq!(items.candidates(&requested("saga@1")), ["old"]);
}

#[test]
fn only_placed_replicas_serve_while_one_is_active() {
    let mut items = Items::new();
    items.backend("one", "1", BackendState::BackendActive);
    items.backend("two", "1", BackendState::BackendActive);
    items.backend("three", "1", BackendState::BackendActive);
    items.place(vec![
        placed("one", "1", 1000, ReplicaState::ReplicaActive),
        placed("two", "1", 1000, ReplicaState::ReplicaDraining),
    ]);
    assert_eq!(items.candidates(&requested("saga")), ["one"]);
}

#[test]
fn a_model_whose_placed_replicas_are_lost_is_served_by_declaration() {
    let mut items = Items::new();
    items.backend("one", "1", BackendState::BackendGone);
    items.backend("two", "1", BackendState::BackendActive);
    items.place(vec![placed("one", "1", 1000, ReplicaState::ReplicaActive)]);
    assert_eq!(items.candidates(&requested("saga")), ["two"]);
}

#[test]
fn two_weighted_versions_serve_during_a_transition() {
    let mut items = Items::new();
    items.backend("old", "1", BackendState::BackendActive);
    items.backend("new", "2", BackendState::BackendActive);
    items.place(vec![
        placed("old", "1", 750, ReplicaState::ReplicaActive),
        placed("new", "2", 250, ReplicaState::ReplicaActive),
    ]);
    assert_eq!(items.candidates(&requested("saga")), ["old", "new"]);
}

/// Guards against the first replica of a new version getting all the work of the pool.
#[test]
fn two_versions_of_full_weight_serve_during_a_transition() {
    let mut items = Items::new();
    items.backend("old", "1", BackendState::BackendActive);
    items.backend("new", "2", BackendState::BackendActive);
    items.place(vec![
        placed("old", "1", 1000, ReplicaState::ReplicaActive),
        placed("new", "2", 1000, ReplicaState::ReplicaActive),
    ]);
    assert_eq!(items.candidates(&requested("saga")), ["old", "new"]);
}

#[test]
fn an_adapter_must_be_declared() {
    let mut items = Items::new();
    items.backend("one", "1", BackendState::BackendActive);
    let mut request = requested("saga");
    request.adapter = "captions".to_owned();
    assert_eq!(items.candidates(&request), ["one"]);
    request.adapter = "unknown".to_owned();
    assert_eq!(items.candidates(&request), Vec::<String>::new());
}

fn state_of(number: u8) -> BackendState {
    match number % 3 {
        0 => BackendState::BackendActive,
        1 => BackendState::BackendDraining,
        _ => BackendState::BackendGone,
    }
}

quickcheck! {
    /// A draining or gone backend is never a candidate, with any placement.
    fn no_draining_or_gone_backend_is_a_candidate(states: Vec<u8>, placements: Vec<u8>) -> bool {
        let mut items = Items::new();
        for (index, state) in states.iter().enumerate() {
            items.backend(&index.to_string(), "1", state_of(*state));
        }
        let replicas = placements.iter().map(|index| {
            let state = if index % 2 == 0 {
                ReplicaState::ReplicaActive
            } else {
                ReplicaState::ReplicaDraining
            };
            placed(&(index / 2).to_string(), "1", u32::from(*index) * 10, state)
        });
        items.place(replicas.collect());
        let found = items.candidates(&requested("saga"));
        let active = |id: &String| {
            let index: usize = id.parse().expect("index");
            state_of(states[index]) == BackendState::BackendActive
        };
        found.iter().all(active)
    }

    /// There is a candidate if and only if any backend is active.
    fn there_is_a_candidate_if_any_backend_is_active(states: Vec<u8>, placements: Vec<u8>) -> bool {
        let mut items = Items::new();
        for (index, state) in states.iter().enumerate() {
            items.backend(&index.to_string(), "1", state_of(*state));
        }
        let replicas = placements.iter().map(|index| {
            placed(&index.to_string(), "1", 1000, ReplicaState::ReplicaActive)
        });
        items.place(replicas.collect());
        let any_active = states.iter().any(|state| state % 3 == 0);
        items.candidates(&requested("saga")).is_empty() != any_active
    }
}
