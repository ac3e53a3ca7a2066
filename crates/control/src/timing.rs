//! Time limits of the control node.

use millford_core::Duration;

/// Period of [`crate::NodeInput::Tick`].
pub const TICK: Duration = Duration::from_millis(20);

/// Without contact with a shard's leader for this long, a replica stops feeding agents.
pub const QUORUM_CONTACT_TIMEOUT: Duration = Duration::from_secs(1);

/// A node that starts defers heartbeats of agents for up to this long until it has a quorum: an
/// election after a common start takes less. Shorter than an agent waits for an unresponsive node.
pub const EARLY_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);

/// Period of hellos to every known control node.
pub const HELLO_PERIOD: Duration = Duration::from_millis(400);

/// A control node that answered no hello for this long counts as not connected.
pub const PEER_INACTIVITY_TIMEOUT: Duration = Duration::from_millis(1500);

/// First and longest delay between attempts to reach a control node.
pub const DIAL_BACKOFF_INITIAL: Duration = Duration::from_millis(100);
/// See [`DIAL_BACKOFF_INITIAL`].
pub const DIAL_BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Delay before a request is tried again when no leader is known.
pub const RETRY_NO_LEADER: Duration = Duration::from_millis(50);

/// Delay before a request is tried again when another leader was named.
pub const RETRY_HINTED: Duration = Duration::from_millis(10);

/// A forwarded request without an answer is sent again after this long.
pub const RESEND: Duration = Duration::from_millis(700);

/// How long a request of an agent is tried.
pub const AGENT_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an operator's request is tried.
pub const OPERATOR_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a status request may wait for a shard without a leader.
pub const STATUS_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a replica waits for its leader to confirm a read.
pub const READ_CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(600);

/// How long an agent's quota request may be under way to the leader.
pub const QUOTA_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Period at which received heartbeats are passed on to the leaders of the sessions' shards.
pub const RENEWAL_PERIOD: Duration = Duration::from_millis(250);

/// Period at which a node checks that the cluster lists it.
pub const REGISTRATION_PERIOD: Duration = Duration::from_secs(1);

/// Period at which agents get a confirmation of the feed's position.
pub const PROGRESS_PERIOD: Duration = Duration::from_secs(2);

/// Period at which a leader lets the shard's own time advance.
pub const CLOCK_PERIOD: Duration = Duration::from_secs(30);

/// Period of the placement role.
pub const PLACEMENT_PERIOD: Duration = Duration::from_secs(1);

/// Period of the load snapshots that agents receive.
pub const LOAD_SNAPSHOT_PERIOD: Duration = Duration::from_millis(500);

/// As [`LOAD_SNAPSHOT_PERIOD`], at a small site.
pub const LOAD_SNAPSHOT_PERIOD_SMALL: Duration = Duration::from_millis(250);

/// Log entries after which a snapshot of the shard is taken.
pub const SNAPSHOT_ENTRIES: u64 = 512;

/// Bytes of log entries after which a snapshot is taken, however few the entries are: a hundred
/// changes of a large document must not fill a small disk.
pub const SNAPSHOT_BYTES: usize = 4 * 1024 * 1024;
