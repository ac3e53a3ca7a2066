//! Counts of what an agent did, for metrics and for the scale rig.

/// Numbers that only grow, since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentCounters {
    /// Connections to control nodes that came up.
    pub links_up: u64,
    /// Control nodes left because of inactivity, staleness or a lost connection.
    pub fail_overs: u64,
    /// Sessions opened.
    pub sessions_opened: u64,
    /// Feed messages that changed the state.
    pub feed_changes: u64,
    /// Feed messages refused as older than the present state.
    pub feed_stale: u64,
    /// Subscriptions repeated after a gap.
    pub feed_gaps: u64,
    /// Quota requests of the proxy that were granted.
    pub quota_granted: u64,
    /// Quota requests refused because the quota is used up.
    pub quota_refused: u64,
    /// Quota requests refused because no decision came in time.
    pub quota_unavailable: u64,
    /// Claims answered by the shard.
    pub claims_answered: u64,
    /// Claims abandoned because no answer came in time.
    pub claims_unavailable: u64,
    /// Outcomes of claims that were recorded.
    pub resolutions_acknowledged: u64,
    /// Outcomes of claims refused because the queue was full.
    pub resolutions_dropped: u64,
    /// Registry lists taken while shards were unconfirmed.
    pub registry_views: u64,
}
