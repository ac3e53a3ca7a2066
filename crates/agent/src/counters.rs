//! Counters of an agent's work, for its metrics endpoint and for the scale rig.

/// Monotonic counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentCounters {
    /// Connections to control nodes that were established.
    pub links_up: u64,
    /// Failovers: connections to a control node that were lost, or closed because of inactivity,
    /// stale state or missing quorum contact, and connection attempts that timed out.
    pub fail_overs: u64,
    /// Sessions opened with the control plane, the first one included.
    pub sessions_opened: u64,
    /// Feed messages that changed the state.
    pub feed_changes: u64,
    /// Feed messages rejected because they were older than the agent's or the proxy's state, or
    /// because the control node could not confirm the shard.
    pub feed_stale: u64,
    /// Subscriptions repeated after a gap in the feed.
    pub feed_gaps: u64,
    /// The proxy's quota requests that were granted.
    pub quota_granted: u64,
    /// The proxy's quota requests that were refused because the tenant's rate or stream limit was
    /// exceeded.
    pub quota_refused: u64,
    /// The proxy's quota requests that were refused because no decision arrived before their
    /// timeout.
    pub quota_unavailable: u64,
    /// Claims that were answered by their shard, whether granted or refused.
    pub claims_answered: u64,
    /// Claims abandoned because no answer arrived before their timeout.
    pub claims_unavailable: u64,
    /// Claim outcomes that were acknowledged by their shard.
    pub resolutions_acknowledged: u64,
    /// Claim outcomes that the agent rejected because its queue was full.
    pub resolutions_dropped: u64,
    /// Registry lists applied while at least one shard was unconfirmed.
    pub registry_views: u64,
}
