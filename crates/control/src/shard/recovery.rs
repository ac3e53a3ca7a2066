//! Forced recovery: one replica goes on alone, on an operator's word.

use millford_api::replication::{HardState, LogEntry, VoterSet, log_entry::Payload};
use millford_control_state::ShardMachine;
use millford_core::MonotonicTime;
use millford_feed::FeedPublisher;
use millford_replication::Replica;
use millford_storage::{ReplicaStorage, StorageError, StorageOptions};

use super::core::{ShardCore, ShardCoreOptions, open_replica};
use super::output::ShardOutput;
use crate::node_output::NodeEvent;

impl ShardCore {
    /// Makes this replica the only voter of its group, on an operator's word.
    pub(super) fn force_recovery(&mut self, now: MonotonicTime) {
        let recovered =
            force_single_voter(&self.options).and_then(|()| open_replica(&self.options, now));
        match recovered {
            Ok(replica) => self.take_recovered(now, replica),
            Err(error) => self.fail(&error),
        }
    }

    fn take_recovered(&mut self, now: MonotonicTime, replica: Replica) {
        self.lost_leadership(now);
        self.replica = replica;
        // The state is built again from the snapshot and the log.
        self.machine = ShardMachine::new(self.options.shard);
        self.publisher = FeedPublisher::new(self.options.shard);
        self.snapshot_index = 0;
        let event = NodeEvent::RecoveryForced(self.options.shard);
        self.outputs.push(ShardOutput::Event(event));
    }
}

/// Writes a configuration with this node as the only voter under a new term.
///
/// This breaks the promise of the quorum: what only the lost replicas held is gone, and were one of
/// them to come back, it would hold a different history. Its term is smaller, so it would never be
/// followed; it is not in the group any more and has to start over.
fn force_single_voter(options: &ShardCoreOptions) -> Result<(), StorageError> {
    let mut storage = ReplicaStorage::open((options.disk)(), StorageOptions::default())?;
    let term = storage.hard_state().map_or(0, |state| state.term) + 1;
    storage.set_hard_state(HardState {
        term,
        voted_for: options.identity.0,
        node: options.identity.0,
    })?;
    let single_voter = VoterSet {
        voters: vec![options.identity.0],
        learners: Vec::new(),
    };
    storage.append([LogEntry {
        index: storage.last_index() + 1,
        term,
        payload: Some(Payload::Voters(single_voter)),
    }]);
    storage.sync()
}
