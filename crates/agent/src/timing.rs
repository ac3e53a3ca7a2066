//! Time limits of the agent.

use millford_core::Duration;

/// Period of heartbeats to the control node.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);

/// Time without a frame after which the agent fails over to another control node.
pub const CONTROL_INACTIVITY_TIMEOUT: Duration = Duration::from_millis(750);

/// Longest inactivity timeout. Each pass over the endpoints in which a node timed out doubles the
/// timeout from [`CONTROL_INACTIVITY_TIMEOUT`], so that busy nodes are not asked for the same state
/// over and over.
pub const MAX_CONTROL_INACTIVITY_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time for a connection to a control node to come up.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// As [`CONNECT_TIMEOUT`], within [`STARTUP_PERIOD`].
pub const STARTUP_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// First delay after a pass over all endpoints failed; doubled up to [`MAX_RECONNECT_BACKOFF`].
pub const MIN_RECONNECT_BACKOFF: Duration = Duration::from_millis(100);

/// Longest delay between two passes over the endpoints.
pub const MAX_RECONNECT_BACKOFF: Duration = Duration::from_secs(1);

/// For this long after its start an agent that had no quorum contact yet waits no longer than
/// [`MIN_RECONNECT_BACKOFF`] between passes, and no longer than [`STARTUP_CONNECT_TIMEOUT`] for a
/// connection: control nodes that start at the same time take longer than it does, and machines
/// without power answer nothing.
pub const STARTUP_PERIOD: Duration = Duration::from_millis(800);

/// Time of quorum contact through one node after which the others may be tried again at once when
/// it fails.
pub const STABLE_AFTER: Duration = Duration::from_secs(2);

/// A shard whose subscription was not confirmed for this long is subscribed again.
pub const RESUBSCRIBE_DELAY: Duration = Duration::from_secs(1);

/// A shard may make the agent fail over at most this often, so that a shard that has lost its quorum
/// everywhere does not keep the agents moving.
pub const SHARD_FAIL_OVER_INTERVAL: Duration = Duration::from_secs(5);

/// A shard that was not confirmed for this long on a connection makes the agent fail over.
pub const SHARD_INACTIVITY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without confirmation of every shard after which the agent reads the registry itself.
pub const REGISTRY_FALLBACK_DELAY: Duration = Duration::from_millis(500);

/// Shortest interval at which the agent reads the registry while shards are unconfirmed.
pub const MIN_REGISTRY_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Longest interval between reads while the registry refuses, or does not answer.
pub const MAX_REGISTRY_READ_INTERVAL: Duration = Duration::from_secs(30);

/// Time of confirmation of every shard after which what the agent read in the registry is dropped:
/// the control plane has read it since.
pub const REGISTRY_OVERLAY_RETENTION: Duration = Duration::from_secs(2);

/// Period of the status sent to the proxy.
pub const STATUS_PERIOD: Duration = Duration::from_secs(1);

/// Shortest time between two new quota requests to one shard.
pub const QUOTA_BATCH_INTERVAL: Duration = Duration::from_millis(5);

/// A quota request without an answer is sent again, with the same id, after this long.
pub const QUOTA_RESEND_INTERVAL: Duration = Duration::from_millis(250);

/// A quota request without an answer is abandoned after this long: its grant could not be spent.
pub const QUOTA_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the next request when the shard's leader could not answer.
pub const QUOTA_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Shortest time from a grant to the next request of the tenant, while the leader recalls idle
/// tokens.
pub const MIN_QUOTA_REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Period at which slots in use are reported. A new leader grants no slot before each connected node
/// had the time to report (one and a half seconds), so it must be shorter than that.
pub const SLOT_RENEWAL_PERIOD: Duration = Duration::from_millis(900);

/// Slots whose report is due within this time go along with any request to their shard.
pub const SLOT_RENEWAL_WINDOW: Duration = Duration::from_millis(500);

/// Remaining time of a lease at which its unspent tokens are returned.
pub const LEASE_RETURN_MARGIN: Duration = Duration::from_millis(400);

/// A claim or outcome without an answer is sent again after this long.
pub const CLAIM_RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Delay before a claim or outcome that the shard could not take is sent again.
pub const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(30);

/// A request to open a session without an answer is sent again after this long.
pub const SESSION_RESEND_INTERVAL: Duration = Duration::from_millis(700);

/// Delay before a session that could not be opened is requested again.
pub const SESSION_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest time for the closing of the session when the process stops.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Shortest time to the next tick.
pub const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// Longest time between two ticks.
pub const MAX_TICK_INTERVAL: Duration = Duration::from_millis(50);
