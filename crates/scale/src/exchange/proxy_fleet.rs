//! A fleet of simulated proxies with the same routes, backends and peers.

use std::net::SocketAddr;
use std::sync::Arc;

use millford_api::config::{ForwardRoute, Pool, Selector, Tenant, TokenQuota, WeightedPool};
use millford_api::state::state_value::Kind;
use millford_api::state::{Backend, ConfigHead, ProxyMember, StateValue};
use millford_core::hash_tenant_key;
use millford_data_plane::limits::RequestLimits;
use millford_data_plane::proxy_state::ProxyState;
use millford_forward::{ForwardNode, ForwardSettings, MillfordProtocol};
use millford_routing::RoutingTable;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

use super::datagram_relay::{DatagramRelay, NodeCounts};
use crate::error::ScaleError;

/// Name of the only pool.
pub const POOL: &str = "pool";
/// Model that every request asks for.
pub const MODEL: &str = "model";
/// Number of zones, over which the proxies and backends are spread evenly.
const ZONES: usize = 3;
/// Number of tenants; each has a token quota.
pub const TENANTS: usize = 40;
/// Backends per hundred proxies, as in known deployments.
const BACKENDS_PER_HUNDRED: usize = 85;
/// Token quota of each tenant, high enough never to be exhausted in this test.
const QUOTA: TokenQuota = TokenQuota {
    tokens_per_second: 1_000_000,
    burst: 1_000_000,
    default_tokens: 100,
};

/// The forwarding node of a simulated proxy.
pub type SimulatedForwardNode = Arc<ForwardNode<MillfordProtocol>>;

/// Proxies that exchange datagrams through a counting relay; their tasks are aborted on drop.
pub struct ProxyFleet {
    /// The proxies, in the order of their numbers.
    pub nodes: Vec<SimulatedForwardNode>,
    relay: DatagramRelay,
    exchanges: Vec<JoinHandle<()>>,
}

impl Drop for ProxyFleet {
    fn drop(&mut self) {
        self.exchanges.iter().for_each(JoinHandle::abort);
    }
}

impl ProxyFleet {
    /// Starts `count` proxies.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened.
    pub async fn start(count: usize) -> Result<Self, ScaleError> {
        let opened = ScaleError::system("open a socket of a simulated proxy");
        Self::open(count).await.map_err(opened)
    }

    async fn open(count: usize) -> std::io::Result<Self> {
        let mut sockets = Vec::new();
        let mut proxies = Vec::new();
        for number in 0..count {
            let socket = UdpSocket::bind("127.0.0.1:0").await?;
            proxies.push((zone_of(number), socket.local_addr()?));
            sockets.push(socket);
        }
        let relay = DatagramRelay::open(proxies).await?;
        let table = Arc::new(table(&relay.endpoint_addresses()?));
        let nodes: Vec<SimulatedForwardNode> =
            (0..count).map(|number| node(number, &table)).collect();
        let exchanges = nodes.iter().zip(sockets).map(|(node, socket)| {
            let exchange = millford_forward::exchange::run(Arc::clone(node), socket);
            tokio::spawn(exchange)
        });
        Ok(Self {
            exchanges: exchanges.collect(),
            nodes,
            relay,
        })
    }

    /// Returns the traffic of each proxy so far, in the order of their numbers.
    #[must_use]
    pub fn counts(&self) -> Vec<NodeCounts> {
        self.relay.counts()
    }

    /// Returns the number of admissions so far that proxies decided in degraded mode, without an owner's reply.
    #[must_use]
    pub fn degraded_decisions(&self) -> u64 {
        let nodes = self.nodes.iter();
        nodes
            .map(|node| node.quota_client.degraded_decisions())
            .sum()
    }
}

fn zone_of(number: usize) -> String {
    format!("zone-{}", number % ZONES)
}

/// Returns the name of the tenant with this number.
#[must_use]
pub fn tenant_name(number: usize) -> String {
    format!("tenant-{number}")
}

fn node(number: usize, table: &RoutingTable) -> SimulatedForwardNode {
    let settings = ForwardSettings {
        name: node_name(number),
        zone: zone_of(number),
        ..ForwardSettings::default()
    };
    let state = Arc::new(ProxyState::new(RequestLimits::default()));
    state.set_table(table.clone());
    Arc::new(ForwardNode::new(&settings, state, MillfordProtocol))
}

fn node_name(number: usize) -> String {
    format!("proxy-{number}")
}

fn table(endpoint_addresses: &[SocketAddr]) -> RoutingTable {
    let mut items = vec![
        item("config/head", Kind::ConfigHead(ConfigHead::default())),
        item("config/forward/route", Kind::ForwardRoute(route())),
        item("config/pool/pool", Kind::Pool(pool())),
    ];
    for number in 0..TENANTS {
        let tenant = Tenant {
            name: tenant_name(number),
            key_hashes: vec![hash_tenant_key(&tenant_name(number))],
            token_quota: Some(QUOTA),
            ..Tenant::default()
        };
        let key = format!("config/tenant/{}", tenant.name);
        items.push(item(&key, Kind::Tenant(tenant)));
    }
    for number in 0..(endpoint_addresses.len() * BACKENDS_PER_HUNDRED).div_ceil(100) {
        let backend = Backend {
            id: format!("backend-{number}"),
            zone: zone_of(number),
            ..Backend::default()
        };
        let key = format!("backend/{POOL}/{}", backend.id);
        items.push(item(&key, Kind::Backend(backend)));
    }
    for (number, endpoint) in endpoint_addresses.iter().enumerate() {
        let member = ProxyMember {
            name: node_name(number),
            zone: zone_of(number),
            exchange_address: endpoint.to_string(),
        };
        let key = format!("proxy/{}", member.name);
        items.push(item(&key, Kind::ProxyMember(member)));
    }
    RoutingTable::build(items.iter().map(|(key, value)| (key.as_str(), value)))
}

fn item(key: &str, kind: Kind) -> (String, StateValue) {
    (key.to_owned(), StateValue { kind: Some(kind) })
}

/// Returns the only route. It is sticky, so that requests with common prefix blocks prefer the same backend.
#[must_use]
pub fn route() -> ForwardRoute {
    ForwardRoute {
        name: "route".to_owned(),
        host: "api.example".to_owned(),
        path_prefix: "/".to_owned(),
        pools: vec![WeightedPool {
            pool: POOL.to_owned(),
            weight: 1,
        }],
        stream: true,
        sticky: true,
        timeout_ms: 10_000,
        max_attempts: 2,
        ..ForwardRoute::default()
    }
}

fn pool() -> Pool {
    Pool {
        name: POOL.to_owned(),
        selector: Some(Selector::default()),
        ..Pool::default()
    }
}
