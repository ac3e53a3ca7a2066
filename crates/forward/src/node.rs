//! State of one forwarding proxy that all its requests share.

use std::sync::{Arc, OnceLock};

use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};
use millford_data_plane::proxy_state::ProxyState;
use millford_routing::{EjectionReason, PrefixIndex};
use tokio::sync::watch;

use crate::backend::{BulkTurns, ConnectionPools, Excess};
use crate::graceful_shutdown::GracefulShutdown;
use crate::load::SharedLoad;
use crate::mechanism::{Mechanism, Mechanisms};
use crate::owners::PeerLink;
use crate::protocol::ForwardProtocol;
use crate::quota::{QuotaClient, TenantQuotas};
use crate::settings::{ForwardBounds, ForwardSettings};

/// The state that requests and background tasks share. Each field that changes has its own locks.
pub struct ForwardNode<P> {
    /// Reads and writes the deployment's headers.
    pub protocol: P,
    /// Name of the node.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Routing table, load in flight, cost estimates, backends' health, retry budget and metrics.
    pub state: Arc<ProxyState>,
    /// Locations of prefix blocks: the backends that have each block cached.
    pub prefix_index: PrefixIndex,
    /// Sends requests to the nodes that own keys.
    pub peers: PeerLink,
    /// Publishes and queries the load of all nodes on each backend.
    pub load: SharedLoad,
    /// Buckets of the tenants that this node admits itself or owns.
    pub quotas: TenantQuotas,
    /// Requests admissions from the owners of tenants' buckets.
    pub quota_client: QuotaClient,
    /// Bounds on what callers and backends may cost the process.
    pub bounds: ForwardBounds,
    /// Turns of the backends that send large bodies.
    pub bulk_turns: BulkTurns,
    /// Connections to backends.
    pub connections: Arc<ConnectionPools>,
    /// The enabled mechanisms.
    pub mechanisms: Mechanisms,
    /// Sampling rate of decision records, in requests per thousand.
    pub decision_log_per_mille: u32,
    /// Set once the node is draining.
    graceful_shutdown: OnceLock<GracefulShutdown>,
    /// Number of ejections so far; wakes requests that wait for a backend.
    ejections: watch::Sender<u64>,
}

impl<P: ForwardProtocol> ForwardNode<P> {
    /// Creates a node that has received neither a configuration nor peer messages.
    #[must_use]
    pub fn new(settings: &ForwardSettings, state: Arc<ProxyState>, protocol: P) -> Self {
        state.load_table.follow_peers();
        let (ejections, _) = watch::channel(0);
        let quota_client = QuotaClient::default();
        let bounds = settings.bounds();
        // This fails only if another node in the process has registered its metric with the same state.
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
            bounds,
            bulk_turns: BulkTurns::default(),
            connections: Arc::new(ConnectionPools::new(
                settings.connect_timeout(),
                bounds.max_backend_head_bytes,
            )),
            // Settings with an unknown name were rejected when they were checked.
            mechanisms: Mechanisms::all_but(&settings.disabled_mechanisms).unwrap_or_default(),
            decision_log_per_mille: settings.decision_log_per_mille,
            graceful_shutdown: OnceLock::new(),
            ejections,
        }
    }

    /// Starts draining. The process ends within `longest`.
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

    /// Ejects a backend, closes the idle connections to it, and wakes the requests that wait for it and may be
    /// retried elsewhere. Has no effect if the backend is already ejected or [`Mechanism::Ejection`] is disabled.
    pub fn eject(&self, backend_id: &str, reason: EjectionReason) {
        let ejected = self.state.health.ejection(backend_id).is_some();
        if ejected || !self.mechanisms.has(Mechanism::Ejection) {
            return;
        }
        self.state.eject(backend_id, reason);
        self.connections.close_idle(backend_id);
        self.ejections.send_modify(|count| *count += 1);
    }

    /// Records that a backend sent more than a limit allows: it is ejected for a time, and requests that wait for it and
    /// may be retried elsewhere are woken.
    pub fn record_excess(&self, backend_id: &str, excess: Excess) {
        self.state.record_over_limit(backend_id, excess.name());
        if !self.mechanisms.has(Mechanism::Ejection) {
            return;
        }
        self.state.eject_over_limit(backend_id, monotonic_now());
        self.connections.close_idle(backend_id);
        self.ejections.send_modify(|count| *count += 1);
    }

    /// Records that bytes were received from a backend.
    pub fn record_activity(&self, backend_id: &str, now: MonotonicTime) {
        self.state.health.record_activity(backend_id, now);
    }

    /// Waits until the backend is ejected.
    pub async fn until_ejected(&self, backend_id: &str) {
        let mut ejections = self.ejections.subscribe();
        while self.state.health.is_usable(backend_id) {
            if ejections.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Returns the most connections that this node may have to a backend if all nodes together may have
    /// `all_nodes`; 0 means that no limit is known.
    #[must_use]
    pub fn connection_share(&self, all_nodes: u32) -> u32 {
        if all_nodes == 0 {
            return MAX_CONNECTIONS_PER_BACKEND;
        }
        let peers = self.state.table().forward().peers().len().max(1);
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        // A tenth is reserved for nodes that join or leave, and for probes.
        let usable = all_nodes - all_nodes.div_ceil(10);
        (usable / peers).clamp(1, MAX_CONNECTIONS_PER_BACKEND)
    }
}

/// Most connections of one node to one backend.
const MAX_CONNECTIONS_PER_BACKEND: u32 = 128;

/// `Retry-After` of refusals for which no better delay is known.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);
