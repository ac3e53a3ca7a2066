//! A forwarding node over real sockets, with a routing table that the test defines.

use std::net::SocketAddr;
use std::sync::Arc;

use millford_api::config::{
    EmptyTenantList, ForwardRoute, HttpLimits, Pool, Selector, Tenant, TokenQuota, WeightedPool,
};
use millford_api::state::state_value::Kind;
use millford_api::state::{Backend, ConfigHead, ProxyMember, StateValue};
use millford_core::hash_tenant_key;
use millford_data_plane::limits::RequestLimits;
use millford_data_plane::proxy_state::ProxyState;
use millford_forward::daemon::callers::{CallerConnections, serve_callers};
use millford_forward::{ForwardNode, ForwardSettings, MillfordProtocol};
use millford_routing::RoutingTable;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinHandle;

use super::backend::StubBackend;

/// Key of the tenant whose requests the tests send.
pub(crate) const KEY: &str = "key-of-the-tenant";
/// Host of all routes.
pub(crate) const HOST: &str = "api.example";

/// The configuration in a test's routing table.
pub(crate) struct Setup {
    pub(crate) routes: Vec<ForwardRoute>,
    /// Whether the configuration lists the tenant; otherwise its list of tenants is empty.
    pub(crate) lists_tenant: bool,
    /// Keys of the tenant.
    pub(crate) keys: Vec<String>,
    /// Token quota of the tenant.
    pub(crate) quota: Option<TokenQuota>,
    pub(crate) limits: Option<HttpLimits>,
}

impl Setup {
    /// Creates a setup with one route for `/jobs/`, which `change` may modify, and no quota.
    pub(crate) fn with(change: impl FnOnce(&mut ForwardRoute)) -> Self {
        let mut route = ForwardRoute {
            name: "jobs".to_owned(),
            host: HOST.to_owned(),
            path_prefix: "/jobs/".to_owned(),
            pools: vec![WeightedPool {
                pool: "pool".to_owned(),
                weight: 1,
            }],
            timeout_ms: 2000,
            max_attempts: 1,
            ..ForwardRoute::default()
        };
        change(&mut route);
        Self {
            routes: vec![route],
            lists_tenant: true,
            keys: vec![KEY.to_owned()],
            quota: None,
            limits: None,
        }
    }
}

/// A running node.
pub(crate) struct TestNode {
    pub(crate) node: Arc<ForwardNode<MillfordProtocol>>,
    /// Address that callers connect to.
    pub(crate) callers: SocketAddr,
    pub(crate) connections: CallerConnections,
    /// The task that exchanges messages with peers; `None` for a node outside a fleet.
    exchange: Option<JoinHandle<()>>,
}

impl TestNode {
    /// Starts a node in front of these backends.
    pub(crate) async fn start(setup: &Setup, backends: &[&StubBackend]) -> Self {
        Self::start_named("node-1", setup, backends).await
    }

    /// Starts a node with some mechanisms disabled, given as in the settings.
    pub(crate) async fn start_without(
        disabled_mechanisms: &str,
        setup: &Setup,
        backends: &[&StubBackend],
    ) -> Self {
        let settings = ForwardSettings {
            disabled_mechanisms: disabled_mechanisms.to_owned(),
            ..settings_of("node-1")
        };
        Self::start_with(&settings, setup, backends).await
    }

    /// Starts nodes that list each other as peers and exchange messages over UDP. They alternate between two zones.
    pub(crate) async fn start_fleet(
        count: usize,
        setup: &Setup,
        backends: &[&StubBackend],
    ) -> Vec<Self> {
        let mut nodes = Vec::new();
        let mut sockets = Vec::new();
        let mut members = Vec::new();
        for number in 0..count {
            let name = format!("node-{number}");
            let socket = UdpSocket::bind("127.0.0.1:0")
                .await
                .expect("a port is free");
            members.push(ProxyMember {
                exchange_address: socket
                    .local_addr()
                    .expect("the socket has an address")
                    .to_string(),
                zone: zone_of(number),
                name: name.clone(),
            });
            sockets.push(socket);
            let settings = ForwardSettings {
                zone: zone_of(number),
                ..settings_of(&name)
            };
            nodes.push(Self::start_with(&settings, setup, backends).await);
        }
        for (node, socket) in nodes.iter_mut().zip(sockets) {
            node.set_members(setup, backends, &members);
            let exchange = millford_forward::exchange::run(Arc::clone(&node.node), socket);
            node.exchange = Some(tokio::spawn(exchange));
        }
        nodes
    }

    async fn start_named(name: &str, setup: &Setup, backends: &[&StubBackend]) -> Self {
        Self::start_with(&settings_of(name), setup, backends).await
    }

    /// Starts a node with these settings.
    pub(crate) async fn start_with(
        settings: &ForwardSettings,
        setup: &Setup,
        backends: &[&StubBackend],
    ) -> Self {
        let state = Arc::new(ProxyState::new(RequestLimits::default()));
        state.set_table(table(setup, backends, &[]));
        state.set_ready();
        // Fills the retry budget for all retries of one test.
        for _ in 0..100 {
            state.budget.earn();
        }
        let node = Arc::new(ForwardNode::new(settings, state, MillfordProtocol));
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let callers = listener.local_addr().expect("the socket has an address");
        let connections = CallerConnections::default();
        tokio::spawn(serve_callers(
            listener,
            Arc::clone(&node),
            connections.clone(),
        ));
        Self {
            node,
            callers,
            connections,
            exchange: None,
        }
    }

    /// Replaces the routing table by one that lists these proxies.
    pub(crate) fn set_members(
        &self,
        setup: &Setup,
        backends: &[&StubBackend],
        members: &[ProxyMember],
    ) {
        let table = table(setup, backends, members);
        self.node.state.set_table(table);
    }

    /// Returns the proxies that the routing table lists.
    pub(crate) fn members(&self) -> Vec<ProxyMember> {
        self.node.state.table().forward().peers().to_vec()
    }

    /// Stops the node's exchange task, so that it neither receives messages nor sends updates or replies.
    pub(crate) fn stop_exchange(&self) {
        self.exchange.iter().for_each(JoinHandle::abort);
    }
}

/// Returns the zone of a node in a fleet: the nodes alternate between two zones.
fn zone_of(number: usize) -> String {
    format!("zone-{}", number % 2)
}

fn settings_of(name: &str) -> ForwardSettings {
    ForwardSettings {
        name: name.to_owned(),
        zone: "a".to_owned(),
        decision_log_per_mille: 1000,
        ..ForwardSettings::default()
    }
}

/// Number of polls of a condition after which a test fails.
const MAX_POLLS: u32 = 100_000;

impl TestNode {
    /// Yields to the node's tasks until the condition holds.
    pub(crate) async fn until(&self, condition: impl Fn() -> bool) {
        for _ in 0..MAX_POLLS {
            if condition() {
                return;
            }
            tokio::task::yield_now().await;
        }
        panic!("the condition did not become true");
    }
}

fn tenant_item(setup: &Setup) -> (String, Kind) {
    if !setup.lists_tenant {
        let empty = Kind::EmptyTenantList(EmptyTenantList {});
        return ("config/empty-tenant-list".to_owned(), empty);
    }
    let tenant = Tenant {
        name: "tenant".to_owned(),
        key_hashes: setup.keys.iter().map(|key| hash_tenant_key(key)).collect(),
        token_quota: setup.quota,
        ..Tenant::default()
    };
    ("config/tenant/tenant".to_owned(), Kind::Tenant(tenant))
}

/// Builds the routing table of a setup.
pub(crate) fn table(
    setup: &Setup,
    backends: &[&StubBackend],
    members: &[ProxyMember],
) -> RoutingTable {
    let mut items: Vec<(String, Kind)> = Vec::new();
    let head = ConfigHead {
        revision: 1,
        digest: Vec::new(),
    };
    items.push(("config/head".to_owned(), Kind::ConfigHead(head)));
    for route in &setup.routes {
        let key = format!("config/forward/{}", route.name);
        items.push((key, Kind::ForwardRoute(route.clone())));
    }
    if let Some(limits) = setup.limits {
        items.push(("config/limits".to_owned(), Kind::HttpLimits(limits)));
    }
    items.push(tenant_item(setup));
    let pool = Pool {
        name: "pool".to_owned(),
        selector: Some(Selector::default()),
        ..Pool::default()
    };
    items.push(("config/pool/pool".to_owned(), Kind::Pool(pool)));
    for (number, stub) in backends.iter().enumerate() {
        let backend = Backend {
            id: format!("backend-{number}"),
            address: stub.address.to_string(),
            zone: "a".to_owned(),
            ..Backend::default()
        };
        let key = format!("backend/pool/{}", backend.id);
        items.push((key, Kind::Backend(backend)));
    }
    for member in members {
        let key = format!("proxy/{}", member.name);
        items.push((key, Kind::ProxyMember(member.clone())));
    }
    let items: Vec<(String, StateValue)> = items
        .into_iter()
        .map(|(key, kind)| (key, StateValue { kind: Some(kind) }))
        .collect();
    RoutingTable::build(items.iter().map(|(key, value)| (key.as_str(), value)))
}
