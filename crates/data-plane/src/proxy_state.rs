//! State shared by all requests of one proxy.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use millford_routing::{
    BackendHealth, CostEstimates, EjectionReason, FairQueues, LoadTable, RetryBudget, RoutingTable,
};

use crate::limits::RequestLimits;
use crate::proxy_metrics::ProxyMetrics;

/// Routing table, load, costs and budgets of one proxy. Each part has its own locks.
#[derive(Debug)]
pub struct ProxyState {
    table: ArcSwap<RoutingTable>,
    ready: AtomicBool,
    draining: AtomicBool,
    stopping: AtomicBool,
    /// Work in flight.
    pub load_table: Arc<LoadTable>,
    /// Learned costs of requests.
    pub costs: CostEstimates,
    /// Budget of retries, hedges and resumed streams.
    pub budget: RetryBudget,
    /// Ejected backends.
    pub health: BackendHealth,
    /// Turns among tenants while the backends are too busy.
    pub queues: FairQueues,
    /// Limits and times.
    pub limits: RequestLimits,
    /// Metrics.
    pub metrics: ProxyMetrics,
}

impl ProxyState {
    /// An empty state: not ready until a confirmed configuration is applied.
    #[must_use]
    pub fn new(limits: RequestLimits) -> Self {
        Self {
            table: ArcSwap::from_pointee(RoutingTable::default()),
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            load_table: Arc::default(),
            costs: CostEstimates::default(),
            budget: RetryBudget::default(),
            health: BackendHealth::default(),
            queues: FairQueues::default(),
            limits,
            metrics: ProxyMetrics::default(),
        }
    }

    /// The current routing table.
    #[must_use]
    pub fn table(&self) -> Arc<RoutingTable> {
        self.table.load_full()
    }

    /// Replaces the routing table by a newer one.
    pub fn set_table(&self, table: RoutingTable) {
        self.metrics
            .applied_revision
            .set(clamp_to_i64(table.revision()));
        self.table.store(Arc::new(table));
    }

    /// Takes a backend out of use until probes succeed.
    pub fn eject(&self, backend_id: &str, reason: EjectionReason) {
        if self.health.eject(backend_id, reason) {
            let ejections = &self.metrics.ejections;
            ejections.with_label_values(&[reason.name()]).inc();
        }
    }

    /// Whether a confirmed configuration is applied.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst)
    }

    /// A confirmed configuration is applied from now on.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::SeqCst);
    }

    /// Whether the proxy drains.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// The proxy drains: new requests are refused from now on.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Whether open streams must end now.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// The drain time is over: open streams end with an explicit error from now on.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }
}

fn clamp_to_i64(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
