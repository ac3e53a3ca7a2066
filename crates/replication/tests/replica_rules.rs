//! Reactions of a single replica to single messages.

mod group;

use group::support::crash_disk::{CrashDisk, Faults};
use millford_api::replication::{
    AppendRequest, ReplicationMessage, SnapshotChunk, VoteReply, VoteRequest, VoterSet,
    replication_message::Body,
};
use millford_core::{Duration, MonotonicTime, NodeId, ShardId};
use millford_replication::{Ready, Replica, ReplicaOptions, VoterChange};
use millford_storage::{ReplicaStorage, StorageOptions};

const NODE: u64 = 1;
const START: MonotonicTime = MonotonicTime::ZERO;

fn open(disk: &CrashDisk, voters: &[u64]) -> Replica {
    let boxed = Box::new(disk.clone());
    let storage = ReplicaStorage::open(boxed, StorageOptions::default()).expect("opens");
    let options = ReplicaOptions::new(NodeId(NODE), ShardId(0), 1);
    let options = options.with_initial_voters(VoterSet {
        voters: voters.to_vec(),
        learners: Vec::new(),
    });
    Replica::open(options, storage, START).expect("opens")
}

/// A reply to a vote request.
#[derive(Debug, PartialEq, Eq)]
struct SentVote {
    candidate: u64,
    granted: bool,
}

fn granted(candidate: u64) -> SentVote {
    SentVote {
        candidate,
        granted: true,
    }
}

fn rejected(candidate: u64) -> SentVote {
    SentVote {
        candidate,
        granted: false,
    }
}

fn message(from: u64, term: u64, body: Body) -> ReplicationMessage {
    ReplicationMessage {
        shard: 0,
        from,
        to: NODE,
        term,
        body: Some(body),
    }
}

fn vote_request(from: u64, term: u64, last_index: u64) -> ReplicationMessage {
    let request = VoteRequest {
        last_index,
        last_term: last_index.min(1),
        pre_vote: false,
        transfer: false,
    };
    message(from, term, Body::VoteRequest(request))
}

/// Passes a vote request to the replica and returns the vote replies of the next flush.
fn vote_replies(replica: &mut Replica, request: ReplicationMessage) -> Vec<SentVote> {
    replica.step(START, request);
    let ready: Ready = replica.flush(START).expect("the disk works");
    let votes = ready
        .messages
        .into_iter()
        .filter_map(|message| match message.body {
            Some(Body::VoteReply(VoteReply { granted, .. })) => Some(SentVote {
                candidate: message.to,
                granted,
            }),
            _ => None,
        });
    votes.collect()
}

#[test]
fn a_vote_granted_in_an_already_stored_term_survives_a_power_failure() {
    let disk = CrashDisk::default();
    let mut replica = open(&disk, &[1, 2, 3]);
    // The first request is rejected but raises the term; the second one changes only the vote.
    assert_eq!(
        vote_replies(&mut replica, vote_request(2, 5, 0)),
        [rejected(2)]
    );
    assert_eq!(
        vote_replies(&mut replica, vote_request(3, 5, 1)),
        [granted(3)]
    );
    drop(replica);
    disk.crash(1);
    let mut replica = open(&disk, &[1, 2, 3]);
    assert_eq!(
        vote_replies(&mut replica, vote_request(2, 5, 9)),
        [rejected(2)]
    );
    assert_eq!(
        vote_replies(&mut replica, vote_request(3, 5, 1)),
        [granted(3)]
    );
}

#[test]
fn a_vote_request_changes_nothing_while_there_is_contact_with_a_leader() {
    let mut replica = open(&CrashDisk::default(), &[1, 2, 3]);
    let heartbeat = AppendRequest {
        previous_index: 1,
        previous_term: 1,
        ..AppendRequest::default()
    };
    replica.step(START, message(2, 2, Body::AppendRequest(heartbeat)));
    replica.flush(START).expect("the disk works");
    assert_eq!(vote_replies(&mut replica, vote_request(3, 7, 9)), []);
    assert_eq!(replica.term(), 2);
    // A campaign that the current leader requested in a transfer is the exception.
    let mut transfer = vote_request(3, 7, 9);
    if let Some(Body::VoteRequest(request)) = &mut transfer.body {
        request.transfer = true;
    }
    assert_eq!(vote_replies(&mut replica, transfer), [granted(3)]);
    assert_eq!(replica.term(), 7);
}

#[test]
fn an_installed_snapshot_replaces_the_configuration() {
    let mut replica = open(&CrashDisk::default(), &[1, 2, 3]);
    let chunk = SnapshotChunk {
        last_index: 40,
        last_term: 3,
        voters: Some(VoterSet {
            voters: vec![1, 4, 5],
            learners: vec![6],
        }),
        data: b"state".to_vec(),
        last: true,
        ..SnapshotChunk::default()
    };
    replica.step(START, message(4, 3, Body::SnapshotChunk(chunk)));
    let ready = replica.flush(START).expect("the disk works");
    assert_eq!(ready.restored.expect("restored").index, 40);
    let status = replica.status();
    assert_eq!(status.voters, [NodeId(1), NodeId(4), NodeId(5)]);
    assert_eq!(status.learners, [NodeId(6)]);
    assert_eq!((status.commit_index, status.last_index), (40, 40));
}

#[test]
fn a_configuration_change_is_discarded_when_the_disk_is_full() {
    let disk = CrashDisk::default();
    let mut replica = open(&disk, &[1]);
    replica.tick(START + Duration::from_secs(2));
    replica.flush(START).expect("the disk works");
    assert!(replica.leads_confirmed());
    disk.set_faults(Faults {
        space_left: Some(0),
        ..Faults::default()
    });
    replica
        .change_voters(VoterChange::AddLearner(NodeId(9)))
        .expect("appended");
    let ready = replica.flush(START).expect("a full disk is not an error");
    assert!(ready.storage_full && ready.lost_leadership);
    assert_eq!(replica.status().learners, []);
    assert!(replica.status().configuration_committed);
}
