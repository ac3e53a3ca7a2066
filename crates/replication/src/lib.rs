//! The replica group of one shard: election, log replication, confirmed reads, membership.
//!
//! An implementation of Raft as in Ongaro's thesis ("Consensus: Bridging Theory and Practice",
//! 2014), with pre-vote, `ReadIndex`, learners, leadership transfer and changes by one voter at a
//! time.
//!
//! [`Replica`] is a state machine over a [`millford_storage::ReplicaStorage`], without threads,
//! timers or sockets of its own. Its owner passes in the time, ticks and messages, and
//! [`Replica::flush`] returns outgoing messages only after the state that they report is durable.
//! One flush makes one fsync of the log for all input since the last flush, so batches grow with
//! the load.
//!
//! Invariants that the safety of the group rests on, and the modules that uphold them:
//! - term and vote are durable before a message of that term is sent (`flush`);
//! - a replica grants one vote per term, and only to a candidate whose log is at least as up to
//!   date as its own (`vote_receiving`);
//! - a replica's copy of an entry, the leader's included, counts towards a quorum only once it is
//!   synced on that replica's disk (`flush`, `commit`);
//! - a leader commits by counting only entries of its own term (`commit`);
//! - a confirmed read needs a quorum's replies to a broadcast that began after the read arrived,
//!   and a committed entry of the leader's own term (`reads`);
//! - the configuration changes by one voter at a time (`membership`).

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
