//! A group of three replicas on real files elects a leader, commits an entry and confirms a read.

use std::collections::VecDeque;
use std::path::Path;

use millford_api::replication::{LogEntry, ReplicationMessage, VoterSet, log_entry::Payload};
use millford_core::{Duration, MonotonicTime, NodeId, ShardId};
use millford_replication::{Ready, Replica, ReplicaOptions, Role};
use millford_storage::{FileDisk, ReplicaStorage, StorageOptions};

const NODES: [u64; 3] = [1, 2, 3];
const STEPS: usize = 500;

fn open(directory: &Path, node: u64) -> Replica {
    let disk = FileDisk::open(directory.join(node.to_string())).expect("directory");
    let storage = ReplicaStorage::open(Box::new(disk), StorageOptions::default()).expect("storage");
    let voters = VoterSet {
        voters: NODES.to_vec(),
        learners: Vec::new(),
    };
    let options = ReplicaOptions::new(NodeId(node), ShardId(0), node).with_initial_voters(voters);
    Replica::open(options, storage, MonotonicTime::ZERO).expect("replica")
}

fn commands(ready: &Ready) -> impl Iterator<Item = Vec<u8>> {
    let command = |entry: &LogEntry| match &entry.payload {
        Some(Payload::Command(command)) => Some(command.clone()),
        _ => None,
    };
    ready.committed.iter().filter_map(command)
}

#[test]
fn three_replicas_commit_and_confirm_a_read() {
    let directory = tempfile::tempdir().expect("directory");
    let mut replicas = NODES.map(|node| open(directory.path(), node));
    let mut applied = [const { Vec::new() }; 3];
    let mut is_proposed = false;
    let mut confirmed = Vec::new();
    let mut now = MonotonicTime::ZERO;
    let mut messages: VecDeque<ReplicationMessage> = VecDeque::new();
    for _ in 0..STEPS {
        now = now + Duration::from_millis(20);
        while let Some(message) = messages.pop_front() {
            let target = usize::try_from(message.to - 1).expect("index");
            replicas[target].step(now, message);
        }
        for (position, replica) in replicas.iter_mut().enumerate() {
            replica.tick(now);
            if !is_proposed && replica.status().role == Role::Leader {
                replica.propose(b"one".to_vec()).expect("leader");
                replica.read_index(7).expect("leader");
                is_proposed = true;
            }
            let ready = replica.flush(now).expect("flush");
            applied[position].extend(commands(&ready));
            confirmed.extend(ready.confirmed_reads.iter().map(|read| read.request));
            messages.extend(ready.messages);
        }
    }
    assert!(
        applied
            .iter()
            .all(|commands| commands == &[b"one".to_vec()]),
        "{applied:?}"
    );
    assert_eq!(confirmed, [7]);
}
