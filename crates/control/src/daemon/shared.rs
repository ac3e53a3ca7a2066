//! State of the node that other threads read without a request to the gateway.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use millford_core::ShardId;
use prometheus::core::Collector;
use prometheus::{IntGauge, IntGaugeVec, Opts, Registry};

use crate::gateway::Gateway;

/// State of the node for readiness, metrics and shutdown, published by the gateway's thread.
pub struct NodeShared {
    formed: AtomicBool,
    has_quorum: AtomicBool,
    led_shards: AtomicUsize,
    led_data_shards: AtomicUsize,
    registry: Registry,
    gauges: Gauges,
}

struct Gauges {
    formed: IntGauge,
    has_quorum: IntGauge,
    leaderships: IntGauge,
    links: IntGauge,
    requests: IntGauge,
    term: IntGaugeVec,
    commit_index: IntGaugeVec,
    shard_has_quorum: IntGaugeVec,
    leads: IntGaugeVec,
}

impl NodeShared {
    /// Creates the state of a node that has published nothing yet.
    ///
    /// # Errors
    /// Fails only when two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let gauges = Gauges::register(&registry)?;
        Ok(Self {
            formed: AtomicBool::new(false),
            has_quorum: AtomicBool::new(false),
            led_shards: AtomicUsize::new(0),
            led_data_shards: AtomicUsize::new(0),
            registry,
            gauges,
        })
    }

    /// Registers further metrics.
    ///
    /// # Errors
    /// Fails when a metric has the name of another one.
    pub fn register(
        &self,
        metrics: impl IntoIterator<Item = Box<dyn Collector>>,
    ) -> Result<(), prometheus::Error> {
        let mut metrics = metrics.into_iter();
        metrics.try_for_each(|metric| self.registry.register(metric))
    }

    /// Publishes the gateway's current state.
    pub fn publish(&self, gateway: &Gateway, links: usize) {
        let formed = gateway.cluster_id() != 0;
        let has_quorum = gateway.has_quorum();
        let replica_statuses = gateway.replica_statuses();
        let leads = replica_statuses
            .values()
            .filter(|replica| replica.leads)
            .count();
        self.formed.store(formed, Ordering::Relaxed);
        self.has_quorum.store(has_quorum, Ordering::Relaxed);
        self.led_shards.store(leads, Ordering::Relaxed);
        let data = replica_statuses
            .values()
            .filter(|replica| replica.leads && replica.shard != ShardId::CONFIGURATION);
        self.led_data_shards.store(data.count(), Ordering::Relaxed);
        self.gauges.formed.set(formed.into());
        self.gauges.has_quorum.set(has_quorum.into());
        self.gauges.leaderships.set(to_gauge(leads));
        self.gauges.links.set(to_gauge(links));
        self.gauges
            .requests
            .set(to_gauge(gateway.pending_requests()));
        for replica in replica_statuses.values() {
            let shard = replica.shard.to_string();
            let labels = &[shard.as_str()];
            let gauge =
                |gauge: &IntGaugeVec, value: i64| gauge.with_label_values(labels).set(value);
            gauge(&self.gauges.term, signed(replica.term));
            gauge(&self.gauges.commit_index, signed(replica.commit_index));
            gauge(&self.gauges.shard_has_quorum, replica.has_quorum.into());
            gauge(&self.gauges.leads, replica.leads.into());
        }
    }

    /// Whether the node belongs to a cluster.
    #[must_use]
    pub fn is_formed(&self) -> bool {
        self.formed.load(Ordering::Relaxed)
    }

    /// Whether agents can be served; see [`Gateway::has_quorum`].
    #[must_use]
    pub fn has_quorum(&self) -> bool {
        self.has_quorum.load(Ordering::Relaxed)
    }

    /// Number of shards that this node leads.
    #[must_use]
    pub fn led_shards(&self) -> usize {
        self.led_shards.load(Ordering::Relaxed)
    }

    /// Number of data shards that this node leads. The configuration shard, which owns no services,
    /// is not counted.
    #[must_use]
    pub fn led_data_shards(&self) -> usize {
        self.led_data_shards.load(Ordering::Relaxed)
    }

    /// The registry of the node's metrics.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }
}

impl Gauges {
    fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            formed: gauge(registry, "formed", "Whether the node belongs to a cluster.")?,
            has_quorum: gauge(registry, "in_touch", "Whether agents can be served.")?,
            leaderships: gauge(registry, "leaderships", "Shards that this node leads.")?,
            links: gauge(registry, "links", "Open links.")?,
            requests: gauge(
                registry,
                "requests_waiting",
                "Requests that wait for a leader.",
            )?,
            term: gauge_vec(registry, "shard_term", "Term of the replica.")?,
            commit_index: gauge_vec(registry, "shard_commit_index", "Last committed index.")?,
            shard_has_quorum: gauge_vec(
                registry,
                "shard_in_touch",
                "Whether a quorum is reached.",
            )?,
            leads: gauge_vec(registry, "shard_leads", "Whether the replica leads.")?,
        })
    }
}

fn name_of(name: &str) -> String {
    format!("millford_control_{name}")
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let gauge = IntGauge::new(name_of(name), help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn gauge_vec(
    registry: &Registry,
    name: &str,
    help: &str,
) -> Result<IntGaugeVec, prometheus::Error> {
    let gauges = IntGaugeVec::new(Opts::new(name_of(name), help), &["shard"])?;
    registry.register(Box::new(gauges.clone()))?;
    Ok(gauges)
}

fn to_gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
