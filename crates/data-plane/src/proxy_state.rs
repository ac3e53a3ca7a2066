//! State shared by all requests of one proxy.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use millford_bounded_io::{LogThrottle, MemoryBudget, Reader};
use millford_core::MonotonicTime;
use millford_routing::{
    BackendHealth, CostEstimates, EjectionReason, FairQueues, LoadTable, RetryBudget, RoutingTable,
};
use millford_settings::PartLog;

use crate::limits::RequestLimits;
use crate::proxy_metrics::ProxyMetrics;

const LOG: PartLog = PartLog::new("HEALTH");

/// Start of the names of the metrics of a proxy.
const METRICS_NAMESPACE: &str = "millford_proxy";

/// Routing table, load, cost estimates, retry budget and lifecycle state of one proxy. Each part has its
/// own synchronization.
#[derive(Debug)]
pub struct ProxyState {
    table: ArcSwap<RoutingTable>,
    ready: AtomicBool,
    draining: AtomicBool,
    stopping: AtomicBool,
    /// Work in flight on the backends.
    pub load_table: Arc<LoadTable>,
    /// Cost estimates per model.
    pub costs: CostEstimates,
    /// Budget for retries, hedges and resumed streams.
    pub budget: RetryBudget,
    /// Ejections and probes of the backends.
    pub health: BackendHealth,
    /// Queues of requests while the backends are overloaded.
    pub queues: FairQueues,
    /// Limits and timeouts of the request path.
    pub limits: RequestLimits,
    /// Bytes that are held for callers and backends.
    pub memory: Arc<MemoryBudget>,
    /// Limits the log lines about backends over a limit.
    over_limit_lines: LogThrottle,
    /// Counters, gauges and histograms for a scrape.
    pub metrics: ProxyMetrics,
}

impl ProxyState {
    /// Creates an empty state, which is not ready until a confirmed configuration is applied.
    #[must_use]
    pub fn new(limits: RequestLimits) -> Self {
        let metrics = ProxyMetrics::default();
        let memory = MemoryBudget::new(
            METRICS_NAMESPACE,
            &[
                (Reader::CallerBody, limits.caller_body_bytes),
                (Reader::Answer, limits.answer_bytes),
            ],
        );
        for metric in memory.collectors() {
            // Registration fails only for a duplicate name, and the registry is new.
            let _ = metrics.registry.register(metric);
        }
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
            memory,
            over_limit_lines: LogThrottle::default(),
            metrics,
        }
    }

    /// Returns the current routing table.
    #[must_use]
    pub fn table(&self) -> Arc<RoutingTable> {
        self.table.load_full()
    }

    /// Replaces the routing table with a newer one.
    pub fn set_table(&self, table: RoutingTable) {
        self.metrics
            .applied_revision
            .set(clamp_to_i64(table.revision()));
        self.table.store(Arc::new(table));
    }

    /// Ejects a backend until probes succeed, and counts the ejection if it is new.
    pub fn eject(&self, backend_id: &str, reason: EjectionReason) {
        if self.health.eject(backend_id, reason) {
            let ejections = &self.metrics.ejections;
            ejections.with_label_values(&[reason.name()]).inc();
        }
    }

    /// Counts and logs that a backend sent more than a limit allows. `unit` names what was too large.
    pub fn record_over_limit(&self, backend_id: &str, unit: &str) {
        self.metrics.over_limit.with_label_values(&[unit]).inc();
        if let Some(skipped) = self.over_limit_lines.permit() {
            LOG.warn(format_args!(
                "Backend {backend_id} sent more than the limit of its {unit} allows; {skipped} other excesses since the \
                 last line."
            ));
        }
    }

    /// Ejects a backend that sent more than a limit allows, and counts the ejection if it is new.
    pub fn eject_over_limit(&self, backend_id: &str, now: MonotonicTime) {
        if self.health.eject_over_limit(backend_id, now) {
            let reason = EjectionReason::OverLimit.name();
            self.metrics.ejections.with_label_values(&[reason]).inc();
        }
    }

    /// Returns whether a confirmed configuration is applied.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst)
    }

    /// Marks the proxy as ready: a confirmed configuration is applied. This cannot be undone.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::SeqCst);
    }

    /// Returns whether the proxy is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Starts draining. The data plane decides which new requests are still accepted.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether the drain time is over, so that open streams must end.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Ends the drain time: open streams end with an explicit error from now on.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }
}

fn clamp_to_i64(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
