//! Time limits of the agent.

use millford_core::Duration;

/// Period of heartbeats to the control node.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);

/// Silence after which the agent leaves a control node.
pub const CONTROL_SILENCE: Duration = Duration::from_millis(750);

/// Longest silence that is borne once whole rounds over the nodes have failed: each round doubles
/// it from [`CONTROL_SILENCE`], so that busy nodes are not asked for the same state ever again.
pub const PATIENCE_CEILING: Duration = Duration::from_secs(3);

/// Longest time for a connection to a control node to come up.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// As [`CONNECT_TIMEOUT`], within [`START_HURRY`].
pub const CONNECT_TIMEOUT_IN_HURRY: Duration = Duration::from_millis(100);

/// First delay once every known control node was tried in vain; doubled up to [`RETRY_CEILING`].
pub const RETRY_FIRST: Duration = Duration::from_millis(100);

/// Longest delay between two rounds over the known control nodes.
pub const RETRY_CEILING: Duration = Duration::from_millis(1000);

/// For this long after its start an agent that was not in touch yet pauses no longer than
/// [`RETRY_FIRST`] between rounds, and waits no longer than [`CONNECT_TIMEOUT_IN_HURRY`] for a
/// connection: control nodes that start at the same time take longer than it does, and machines
/// without power answer nothing.
pub const START_HURRY: Duration = Duration::from_millis(800);

/// Time in touch with one node after which the others may be tried again at once when it fails.
pub const SETTLED_AFTER: Duration = Duration::from_secs(2);

/// A shard whose subscription was not confirmed for this long is subscribed again.
pub const SUBSCRIBE_AGAIN: Duration = Duration::from_millis(1000);

/// A shard may make the agent leave its control node at most this often, so that a shard that has
/// lost its quorum everywhere does not keep the agents moving.
pub const SHARD_MOVE_PERIOD: Duration = Duration::from_secs(5);

/// A shard that was not confirmed for this long on a link makes the agent leave the node.
pub const SHARD_SILENCE: Duration = Duration::from_secs(5);

/// Time without a control node in touch after which the agent reads the registry itself.
pub const REGISTRY_AFTER: Duration = Duration::from_millis(500);

/// Period at which the agent reads the registry while it is out of touch.
pub const REGISTRY_PERIOD: Duration = Duration::from_millis(500);

/// Longest period at which the registry is read while it refuses, or does not answer.
pub const REGISTRY_CEILING: Duration = Duration::from_secs(30);

/// Time in touch after which what the registry said earlier is dropped: control has read it since.
pub const REGISTRY_KEPT: Duration = Duration::from_secs(2);

/// Period of the status sent to the proxy.
pub const STATUS_PERIOD: Duration = Duration::from_millis(1000);

/// Shortest time between two quota requests for one shard.
pub const QUOTA_BATCH: Duration = Duration::from_millis(5);

/// A quota request without an answer is sent again, with the same id, after this long.
pub const QUOTA_RESEND: Duration = Duration::from_millis(250);

/// A quota request without an answer is given up after this long: its grant could not be spent.
pub const QUOTA_GIVE_UP: Duration = Duration::from_millis(1000);

/// Pause before asking again when the shard's leader could not answer.
pub const QUOTA_RETRY: Duration = Duration::from_millis(50);

/// Shortest pause before asking again while the leader calls idle slices back.
pub const QUOTA_RECALL_PAUSE: Duration = Duration::from_millis(5);

/// Period at which slots in use are reported. A new leader lends no slot before each node in touch
/// had the time to report (one and a half seconds), so it must be shorter than that.
pub const SLOT_RENEWAL: Duration = Duration::from_millis(900);

/// Remaining time of a lease at which its unspent tokens are given back.
pub const LEASE_RETURN_BEFORE: Duration = Duration::from_millis(400);

/// A claim or settlement without an answer is sent again after this long.
pub const CLAIM_RESEND: Duration = Duration::from_millis(400);

/// Pause before a claim or settlement that the shard could not take is sent again.
pub const CLAIM_RETRY: Duration = Duration::from_millis(30);

/// Slots whose report is due within this time go along with any request for their shard.
pub const SLOT_RENEWAL_AHEAD: Duration = Duration::from_millis(500);

/// A request to open a session without an answer is sent again after this long.
pub const SESSION_RESEND: Duration = Duration::from_millis(700);

/// Pause before a session that could not be opened is asked for again.
pub const SESSION_RETRY: Duration = Duration::from_millis(100);

/// Longest time for the closing of the session when the process stops.
pub const STOP_TIMEOUT: Duration = Duration::from_millis(1000);

/// Longest time between two ticks.
pub const TICK: Duration = Duration::from_millis(50);
