//! Connectivity of the proxy nodes, derived from the history.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use millford_core::MonotonicTime;

use crate::history::{ProxyNodeNumber, Record};
use crate::network::MachineId;

/// A proxy node counts as connected after this time without any active fault, even if its agent reports
/// otherwise.
const CONNECTED_AFTER_LAST_FAULT: Duration = Duration::from_secs(12);

/// Connectivity of one proxy node.
#[derive(Default)]
struct ProxyNodeConnectivity {
    /// Time since which its agent reports that it is connected; absent while it does not.
    reported_since: Option<MonotonicTime>,
    /// Numbers of the active faults that affect it.
    faults: BTreeSet<u32>,
    /// End of the last fault that affected it.
    last_fault_end: MonotonicTime,
}

/// Connectivity of every proxy node, and the time since the last fault anywhere.
#[derive(Default)]
pub struct ConnectivityTable {
    proxy_nodes: BTreeMap<ProxyNodeNumber, ProxyNodeConnectivity>,
    faults: BTreeSet<u32>,
    last_fault_end: MonotonicTime,
}

impl ConnectivityTable {
    /// Updates the table from a record at simulated time `at`.
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
        self.last_fault_end = at;
        for proxy_node in proxy_nodes_of(machines) {
            let connectivity = self.proxy_nodes.entry(proxy_node).or_default();
            connectivity.faults.remove(&fault);
            connectivity.last_fault_end = at;
        }
    }

    /// Returns the time since which no fault is active, or `None` while one is.
    #[must_use]
    pub fn fault_free_since(&self) -> Option<MonotonicTime> {
        self.faults.is_empty().then_some(self.last_fault_end)
    }

    /// Returns the time since which the proxy node is connected and no active fault affects it.
    #[must_use]
    pub fn connected_since(&self, proxy_node: ProxyNodeNumber) -> Option<MonotonicTime> {
        let connectivity = self.proxy_nodes.get(&proxy_node)?;
        if !connectivity.faults.is_empty() {
            return None;
        }
        let assumed_since = self
            .fault_free_since()
            .map(|since| since + CONNECTED_AFTER_LAST_FAULT);
        let since = match (connectivity.reported_since, assumed_since) {
            (Some(reported), Some(assumed)) => reported.min(assumed),
            (Some(reported), None) => reported,
            (None, assumed) => assumed?,
        };
        Some(since.max(connectivity.last_fault_end))
    }

    /// Iterates over the proxy nodes that occurred in a record.
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
