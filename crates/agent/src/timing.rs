//! Timeouts, periods and delays of the agent.

use millford_core::Duration;

/// Period of heartbeats to the control node.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);

/// Time without a frame after which the agent fails over to another control node (initial value).
pub const CONTROL_INACTIVITY_TIMEOUT: Duration = Duration::from_millis(750);

/// Longest inactivity timeout. Each pass over the endpoints in which a connected node timed out
/// doubles the timeout from [`CONTROL_INACTIVITY_TIMEOUT`], so that overloaded nodes are not
/// repeatedly asked for the same state.
pub const MAX_CONTROL_INACTIVITY_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for establishing a connection to a control node.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Used in place of [`CONNECT_TIMEOUT`] during [`STARTUP_PERIOD`].
pub const STARTUP_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Delay after the first failed pass over all endpoints; doubled after each further one, up to
/// [`MAX_RECONNECT_BACKOFF`].
pub const MIN_RECONNECT_BACKOFF: Duration = Duration::from_millis(100);

/// Longest delay between two passes over the endpoints.
pub const MAX_RECONNECT_BACKOFF: Duration = Duration::from_secs(1);

/// Time after startup during which an agent that has had no quorum contact yet waits at most
/// [`MIN_RECONNECT_BACKOFF`] between passes and [`STARTUP_CONNECT_TIMEOUT`] for a connection.
/// Control nodes that are started at the same time take longer to start than the agent, and
/// machines that are powered off do not respond to connection attempts.
pub const STARTUP_PERIOD: Duration = Duration::from_millis(800);

/// Time of continuous quorum contact through one control node after which the agent, when that node
/// fails, starts a new pass over the others without a backoff.
pub const STABLE_AFTER: Duration = Duration::from_secs(2);

/// Delay before a subscription that has not been confirmed is sent again.
pub const RESUBSCRIBE_DELAY: Duration = Duration::from_secs(1);

/// Shortest time between two failovers caused by the same shard, so that a shard that has lost its
/// quorum does not make the agents fail over continuously.
pub const SHARD_FAIL_OVER_INTERVAL: Duration = Duration::from_secs(5);

/// Time without confirmation of a shard on a connection after which the agent fails over.
pub const SHARD_INACTIVITY_TIMEOUT: Duration = Duration::from_secs(5);

/// The agent reads the service registry itself once at least one shard has been unconfirmed for
/// this long.
pub const REGISTRY_FALLBACK_DELAY: Duration = Duration::from_millis(500);

/// Shortest interval at which the agent reads the registry while shards are unconfirmed.
pub const MIN_REGISTRY_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Longest interval between reads of the registry while reads fail.
pub const MAX_REGISTRY_READ_INTERVAL: Duration = Duration::from_secs(30);

/// The agent discards the registry overlay once every shard has been confirmed for this long,
/// because the control plane has read the registry in the meantime.
pub const REGISTRY_OVERLAY_RETENTION: Duration = Duration::from_secs(2);

/// Period at which the status is sent to the proxy even if it has not changed.
pub const STATUS_PERIOD: Duration = Duration::from_secs(1);

/// Shortest time between two new quota requests to one shard, which batches the tenants' requests.
pub const QUOTA_BATCH_INTERVAL: Duration = Duration::from_millis(5);

/// Delay before an unanswered quota request is sent again with the same id.
pub const QUOTA_RESEND_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which an unanswered quota request is abandoned. The lease of a grant counts from when
/// the request was sent, so a later grant could not be spent.
pub const QUOTA_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the next quota request after a reply with an error code.
pub const QUOTA_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Shortest time from a grant to the tenant's next request, during which the leader recalls idle
/// tokens.
pub const MIN_QUOTA_REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Period at which stream slots in use are reported to the leader. Must be shorter than the 1.5
/// seconds for which a new leader grants no slots so that every connected node can report first.
pub const SLOT_RENEWAL_PERIOD: Duration = Duration::from_millis(900);

/// Slot reports that are due within this time are added to any request to the same shard.
pub const SLOT_RENEWAL_WINDOW: Duration = Duration::from_millis(500);

/// Remaining time of a token lease at which its unspent tokens are returned to the leader.
pub const LEASE_RETURN_MARGIN: Duration = Duration::from_millis(400);

/// Delay before an unanswered claim or claim outcome is sent again.
pub const CLAIM_RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Delay before a claim or claim outcome that the shard did not execute is sent again.
pub const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(30);

/// Delay before an unanswered request to open a session is sent again.
pub const SESSION_RESEND_INTERVAL: Duration = Duration::from_millis(700);

/// Delay before the next request to open a session after one failed.
pub const SESSION_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time after the termination signal within which the proxy must report that it is draining too, for the agent to serve
/// it until its end.
pub const DRAIN_NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for closing the session during shutdown.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Shortest time to the next scheduled tick.
pub const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// Longest time between two ticks.
pub const MAX_TICK_INTERVAL: Duration = Duration::from_millis(50);
