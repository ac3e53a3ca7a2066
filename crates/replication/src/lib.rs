//! The replica group of one shard: election, log replication, confirmed reads, membership.
//!
//! [`Replica`] is pure logic over a [`millford_storage::ReplicaStorage`]: time, messages and ticks
//! come in, and nothing leaves before [`Replica::flush`] has made durable what it promises. One
//! flush makes one fsync, whatever came in since the last one, so that load makes batches grow.
//!
//! Rules that the safety of the group rests on, and where they are kept:
//! - term and vote are durable before a message of that term leaves (`flush`);
//! - an entry counts as held by a replica only once it is synced there, the leader included
//!   (`flush`, `commit`);
//! - a leader commits by counting only entries of its own term (`commit`);
//! - a confirmed read needs a quorum's answer to a round that began after the read arrived, and a
//!   committed entry of the leader's own term (`reads`);
//! - one voter changes at a time (`membership`).

mod append_receiving;
mod append_sending;
mod vote_tally;
mod bootstrap;
mod commit;
mod configuration;
mod debug;
mod election;
mod flush;
mod incoming_snapshot;
mod inspection;
mod leader_state;
mod leadership;
mod membership;
mod message_check;
mod options;
mod election_backoff;
mod progress;
mod reads;
mod ready;
mod error;
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
mod voter_change;

pub use options::{Limits, QUORUM_TIMEOUT, ReplicaOptions, TICK, Timing};
pub use ready::{ConfirmedRead, Ready, RestoredSnapshot};
pub use error::{ChangeRefused, NotLeader, OpenError, SnapshotRefused, TransferRefused};
pub use replica::Replica;
pub use role::Role;
pub use status::{PeerStatus, ReplicaStatus};
pub use voter_change::VoterChange;
