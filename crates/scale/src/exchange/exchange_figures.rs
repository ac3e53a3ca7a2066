//! Cost of the exchange between the proxies of one fleet.

use serde::Serialize;

use super::datagram_relay::NodeCounts;

/// Figures of one fleet size. Datagrams and bytes are per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ExchangeFigures {
    /// Number of proxies.
    pub nodes: usize,
    /// Mean number of datagrams that a proxy sends.
    pub datagrams: f64,
    /// Datagrams sent and received by the proxy with the most of them.
    pub busiest_datagrams: f64,
    /// Mean number of bytes that a proxy sends, including IP and UDP headers.
    pub bytes: f64,
    /// Mean number of bytes that a proxy sends to other zones, including IP and UDP headers.
    #[serde(rename = "bytes_elsewhere")]
    pub bytes_to_other_zones: f64,
    /// Share of the expected requests that were decided in degraded mode, without an owner's reply; from 0 to 1.
    #[serde(rename = "alone_share")]
    pub degraded_share: f64,
}

impl ExchangeFigures {
    /// Computes the figures from two counts of the same proxies, taken `seconds` apart. The degraded share is left
    /// at 0.
    #[must_use]
    pub fn between(before: &[NodeCounts], after: &[NodeCounts], seconds: f64) -> Self {
        let nodes = after.len();
        let node_seconds = nodes as f64 * seconds;
        let sum = |of: fn(&NodeCounts) -> u64| {
            let after: u64 = after.iter().map(of).sum();
            let before: u64 = before.iter().map(of).sum();
            after.saturating_sub(before) as f64 / node_seconds
        };
        let both = |counts: &NodeCounts| counts.sent + counts.received;
        let busiest = before
            .iter()
            .zip(after)
            .map(|(before, after)| both(after).saturating_sub(both(before)) as f64 / seconds);
        Self {
            nodes,
            datagrams: sum(|counts| counts.sent),
            busiest_datagrams: busiest.fold(0.0, f64::max),
            bytes: sum(|counts| counts.sent_bytes),
            bytes_to_other_zones: sum(|counts| counts.sent_bytes_to_other_zones),
            degraded_share: 0.0,
        }
    }
}
