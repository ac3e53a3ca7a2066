//! Timeouts, periods and snapshot thresholds of the control node.

use millford_core::Duration;

/// Period of [`crate::NodeInput::Tick`].
pub const TICK: Duration = Duration::from_millis(20);

/// Time without contact with a shard's leader after which a replica stops feeding agents.
pub const QUORUM_CONTACT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that a starting node without a quorum defers its replies to heartbeats. Longer than
/// an election after a common start, and shorter than agents wait for an unresponsive node.
pub const EARLY_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);

/// Period of the hellos to every known control node.
pub const HELLO_PERIOD: Duration = Duration::from_millis(400);

/// Time without a reply to a hello after which a control node counts as disconnected.
pub const PEER_INACTIVITY_TIMEOUT: Duration = Duration::from_millis(1500);

/// First delay of the backoff between attempts to connect to a control node.
pub const DIAL_BACKOFF_INITIAL: Duration = Duration::from_millis(100);
/// Longest delay of that backoff; see [`DIAL_BACKOFF_INITIAL`].
pub const DIAL_BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Delay before a request is retried while no leader is known.
pub const RETRY_DELAY_NO_LEADER: Duration = Duration::from_millis(50);

/// Delay before a request is retried at the leader that a refusal named.
pub const RETRY_DELAY_HINTED: Duration = Duration::from_millis(10);

/// Time after which a request without a reply is resent.
pub const RESEND_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest time that an agent's request is retried.
pub const AGENT_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that an operator's request is retried.
pub const OPERATOR_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time that a status request waits for a shard without a leader.
pub const STATUS_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that a replica waits for its leader to confirm a read.
pub const READ_CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest time that an agent's quota request is in flight to the leader.
pub const QUOTA_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Period at which sessions with new heartbeats are renewed at the leaders of their shards.
pub const RENEWAL_PERIOD: Duration = Duration::from_millis(250);

/// Period at which a node checks that the list of control nodes contains it.
pub const REGISTRATION_PERIOD: Duration = Duration::from_secs(1);

/// Period at which subscribers receive the current feed position.
pub const PROGRESS_PERIOD: Duration = Duration::from_secs(2);

/// Period at which a leader advances the shard's replicated clock.
pub const CLOCK_PERIOD: Duration = Duration::from_secs(30);

/// Period at which a leader plans placements.
pub const PLACEMENT_PERIOD: Duration = Duration::from_secs(1);

/// Period of the load snapshots that agents receive.
pub const LOAD_SNAPSHOT_PERIOD: Duration = Duration::from_millis(500);

/// As [`LOAD_SNAPSHOT_PERIOD`], for a small site.
pub const LOAD_SNAPSHOT_PERIOD_SMALL: Duration = Duration::from_millis(250);

/// Number of applied log entries after which a snapshot of the shard is taken.
pub const SNAPSHOT_ENTRIES: u64 = 512;

/// Bytes of log entries after which a snapshot is taken even if there are fewer than
/// [`SNAPSHOT_ENTRIES`]: a hundred changes of a large document must not fill a small disk.
pub const SNAPSHOT_BYTES: usize = 4 * 1024 * 1024;
