//! The replica group of one shard: election, log replication, confirmed reads, membership.
//!
//! An implementation of Raft as in Ongaro's thesis ("Consensus: Bridging Theory and Practice", 2014),
//! with pre-vote, `ReadIndex`, learners, leadership transfer and changes by one voter at a time.
//!
//! [`Replica`] is pure logic over a [`millford_storage::ReplicaStorage`]: time, messages and ticks
//! come in, and nothing leaves before [`Replica::flush`] has made durable what it claims. One
//! flush makes one fsync, whatever came in since the last one, so that batches grow with the load.
//!
//! Invariants that the safety of the group rests on, and the modules that uphold them:
//! - term and vote are durable before a message of that term leaves (`flush`);
//! - a replica grants one vote a term, and only to a candidate whose log is up to date
//!   (`vote_receiving`);
//! - an entry counts as held by a replica only once it is synced there, the leader included
//!   (`flush`, `commit`);
//! - a leader commits by counting only entries of its own term (`commit`);
//! - a confirmed read needs a quorum's replies to a broadcast that began after the read arrived, and
//!   a committed entry of the leader's own term (`reads`);
//! - one voter changes at a time (`membership`).

mod append_receiving;
mod append_sending;
mod bootstrap;
mod commit;
mod configuration;
mod debug;
mod election;
mod election_backoff;
mod election_timer;
mod error;
mod flush;
mod incoming_snapshot;
mod inspection;
mod leader_state;
mod leadership;
mod log_position;
mod membership;
mod message_check;
mod options;
mod progress;
mod read_queue;
mod reads;
mod ready;
mod replica;
mod replies;
mod role;
mod snapshot_receiving;
mod snapshot_saving;
mod snapshot_sending;
mod status;
mod step;
mod transfer;
mod vote_receiving;
mod vote_tally;
mod voter_change;

pub use error::{NotLeader, OpenError, SnapshotError, TransferError, VoterChangeError};
pub use options::{Limits, QUORUM_TIMEOUT, ReplicaOptions, TICK, Timing};
pub use ready::{ConfirmedRead, Ready, RestoredSnapshot};
pub use replica::Replica;
pub use role::Role;
pub use status::{PeerStatus, ReplicaStatus};
pub use voter_change::VoterChange;
