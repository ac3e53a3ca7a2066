//! State that all requests of one forwarding proxy share.

use std::sync::{Arc, OnceLock};

use millford_core::{Duration, MonotonicTime};
use millford_data_plane::proxy_state::ProxyState;
use millford_routing::{EjectionReason, PrefixIndex};
use tokio::sync::watch;

use crate::backend::ConnectionPools;
use crate::graceful_shutdown::GracefulShutdown;
use crate::load::SharedLoad;
use crate::mechanism::{Mechanism, Mechanisms};
use crate::owners::PeerLink;
use crate::protocol::ForwardProtocol;
use crate::quota::{QuotaClient, TenantQuotas};
use crate::settings::ForwardSettings;

/// Everything that a request needs. Each field has its own locks.
pub struct ForwardNode<P> {
    /// What the deployment's headers mean.
    pub protocol: P,
    /// Name of the node.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Routing table, work in flight, costs, health and budgets.
    pub state: Arc<ProxyState>,
    /// Which backends have which prefix blocks cached.
    pub prefix_index: PrefixIndex,
    /// The way to the nodes that own keys.
    pub peers: PeerLink,
    /// Counts of all nodes' work on each backend.
    pub load: SharedLoad,
    /// Token quotas, as this node counts them itself or as an owner.
    pub quotas: TenantQuotas,
    /// Token quotas that other nodes own.
    pub quota_client: QuotaClient,
    /// Connections to backends.
    pub connections: Arc<ConnectionPools>,
    /// Mechanisms that take part in decisions.
    pub mechanisms: Mechanisms,
    /// Requests whose decisions are logged, in thousandths.
    pub decision_log_per_mille: u32,
    graceful_shutdown: OnceLock<GracefulShutdown>,
    ejections: watch::Sender<u64>,
}

impl<P: ForwardProtocol> ForwardNode<P> {
    /// A node that has received nothing.
    #[must_use]
    pub fn new(settings: &ForwardSettings, state: Arc<ProxyState>, protocol: P) -> Self {
        state.load_table.follow_peers();
        let (ejections, _) = watch::channel(0);
        let quota_client = QuotaClient::default();
        // Only a second node of the same process could have registered it already.
        let _ = state
            .metrics
            .registry
            .register(Box::new(quota_client.metric()));
        Self {
            protocol,
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            state,
            prefix_index: PrefixIndex::default(),
            peers: PeerLink::new(&settings.name),
            load: SharedLoad::default(),
            quotas: TenantQuotas::default(),
            quota_client,
            connections: Arc::new(ConnectionPools::new(settings.connect_timeout())),
            // Settings with an unknown name are refused before a node is built from them.
            mechanisms: Mechanisms::all_but(&settings.disabled_mechanisms).unwrap_or_default(),
            decision_log_per_mille: settings.decision_log_per_mille,
            graceful_shutdown: OnceLock::new(),
            ejections,
        }
    }

    /// The node drains, and its process ends within `longest`.
    pub fn drain(&self, now: MonotonicTime, longest: Duration) {
        self.state.set_draining();
        let _ = self
            .graceful_shutdown
            .set(GracefulShutdown::begin(now, longest));
    }

    /// Whether a request with this `deadline` is accepted now.
    #[must_use]
    pub fn accepts(&self, now: MonotonicTime, deadline: MonotonicTime) -> bool {
        let shutdown = self.graceful_shutdown.get();
        shutdown.is_none_or(|shutdown| shutdown.accepts(now, deadline))
    }

    /// Takes a backend out of use; requests that wait for it and may be retried elsewhere are woken.
    pub fn eject(&self, backend_id: &str, reason: EjectionReason) {
        let ejected = self.state.health.ejection(backend_id).is_some();
        if ejected || !self.mechanisms.has(Mechanism::Ejection) {
            return;
        }
        self.state.eject(backend_id, reason);
        self.connections.close_idle(backend_id);
        self.ejections.send_modify(|count| *count += 1);
    }

    /// Bytes came from a backend.
    pub fn record_activity(&self, backend_id: &str, now: MonotonicTime) {
        self.state.health.record_activity(backend_id, now);
    }

    /// Resolves once the backend is ejected or no longer listed.
    pub async fn until_ejected(&self, backend_id: &str) {
        let mut ejections = self.ejections.subscribe();
        while self.state.health.is_usable(backend_id) {
            if ejections.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Connections that this node may have to one backend, when all nodes together may have
    /// `all_nodes`.
    #[must_use]
    pub fn connection_share(&self, all_nodes: u32) -> u32 {
        if all_nodes == 0 {
            return MAX_CONNECTIONS_PER_BACKEND;
        }
        let peers = self.state.table().forward().peers().len().max(1);
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        // A tenth stays free for nodes that come and go, and for probes.
        let usable = all_nodes - all_nodes.div_ceil(10);
        (usable / peers).clamp(1, MAX_CONNECTIONS_PER_BACKEND)
    }
}

/// Most connections of one node to one backend.
const MAX_CONNECTIONS_PER_BACKEND: u32 = 128;

/// Time that a refused caller should wait when nothing better is known.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);
