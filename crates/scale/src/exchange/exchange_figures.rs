//! What the exchange of one fleet cost.

use serde::Serialize;

use super::datagram_relay::NodeCounts;

/// Figures of one size, each a second unless it is a share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ExchangeFigures {
    /// Proxies.
    pub nodes: usize,
    /// Datagrams that a proxy sends, on average.
    pub datagrams: f64,
    /// Datagrams that the busiest proxy sends and receives.
    pub busiest_datagrams: f64,
    /// Bytes that a proxy sends, headers included, on average.
    pub bytes: f64,
    /// Of these, bytes to other zones.
    pub bytes_elsewhere: f64,
    /// Share of the admissions that were decided on without an owner's answer.
    #[serde(rename = "alone_share")]
    pub degraded_share: f64,
}

impl ExchangeFigures {
    /// The figures of what was counted `before` and `after` some seconds.
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
            bytes_elsewhere: sum(|counts| counts.sent_bytes_elsewhere),
            degraded_share: 0.0,
        }
    }
}
