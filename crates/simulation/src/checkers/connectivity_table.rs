//! Which proxy nodes are connected, and since when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use millford_core::MonotonicTime;

use crate::history::{ProxyNodeNumber, Record};
use crate::network::MachineId;

/// After this much time without a fault a proxy node counts as connected, whatever its agent says.
const CONNECTED_AFTER_CALM: Duration = Duration::from_secs(12);

/// Connectivity of one proxy node.
#[derive(Default)]
struct ProxyNodeConnectivity {
    /// Since when its agent reports that it is connected.
    reported_since: Option<MonotonicTime>,
    /// Active faults that disturb it.
    faults: BTreeSet<u32>,
    /// When the last fault that disturbed it ended.
    calm_since: MonotonicTime,
}

/// Connectivity of every proxy node, and since when the site is free of faults.
#[derive(Default)]
pub struct ConnectivityTable {
    proxy_nodes: BTreeMap<ProxyNodeNumber, ProxyNodeConnectivity>,
    faults: BTreeSet<u32>,
    calm_since: MonotonicTime,
}

impl ConnectivityTable {
    /// Learns from a record.
    pub fn observe(&mut self, at: MonotonicTime, record: &Record) {
        match record {
            Record::AgentConnectivity {
                proxy_node,
                connected,
            } => self.report(at, *proxy_node, *connected),
            Record::FaultBegan { fault, machines } => self.begin(*fault, machines),
            Record::FaultEnded { fault, machines } => self.end(at, *fault, machines),
            _ => {}
        }
    }

    fn report(&mut self, at: MonotonicTime, proxy_node: ProxyNodeNumber, connected: bool) {
        let connectivity = self.proxy_nodes.entry(proxy_node).or_default();
        connectivity.reported_since = if connected {
            connectivity.reported_since.or(Some(at))
        } else {
            None
        };
    }

    fn begin(&mut self, fault: u32, machines: &[MachineId]) {
        self.faults.insert(fault);
        for proxy_node in proxy_nodes_of(machines) {
            self.proxy_nodes
                .entry(proxy_node)
                .or_default()
                .faults
                .insert(fault);
        }
    }

    fn end(&mut self, at: MonotonicTime, fault: u32, machines: &[MachineId]) {
        self.faults.remove(&fault);
        self.calm_since = at;
        for proxy_node in proxy_nodes_of(machines) {
            let connectivity = self.proxy_nodes.entry(proxy_node).or_default();
            connectivity.faults.remove(&fault);
            connectivity.calm_since = at;
        }
    }

    /// Since when no fault is active.
    #[must_use]
    pub fn calm_since(&self) -> Option<MonotonicTime> {
        self.faults.is_empty().then_some(self.calm_since)
    }

    /// Since when the proxy node is connected and undisturbed.
    #[must_use]
    pub fn connected_since(&self, proxy_node: ProxyNodeNumber) -> Option<MonotonicTime> {
        let connectivity = self.proxy_nodes.get(&proxy_node)?;
        if !connectivity.faults.is_empty() {
            return None;
        }
        let by_calm = self.calm_since().map(|since| since + CONNECTED_AFTER_CALM);
        let since = match (connectivity.reported_since, by_calm) {
            (Some(reported), Some(calm)) => reported.min(calm),
            (Some(reported), None) => reported,
            (None, calm) => calm?,
        };
        Some(since.max(connectivity.calm_since))
    }

    /// Every proxy node that a record named.
    pub fn proxy_nodes(&self) -> impl Iterator<Item = ProxyNodeNumber> + '_ {
        self.proxy_nodes.keys().copied()
    }
}

fn proxy_nodes_of(machines: &[MachineId]) -> impl Iterator<Item = ProxyNodeNumber> + '_ {
    machines.iter().filter_map(|machine| match machine {
        MachineId::ProxyNode(number) => Some(ProxyNodeNumber(*number)),
        _ => None,
    })
}
