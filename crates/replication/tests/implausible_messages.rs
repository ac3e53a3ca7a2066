//! Messages that no correct replica sends are ignored, and no message makes a replica panic.

mod group;

use group::fixture::new_group;
use millford_api::replication::{
    AppendReply, AppendRequest, LogEntry, ReplicationMessage, SnapshotChunk, SnapshotReply,
    TimeoutNow, VoteReply, VoteRequest, VoterSet, log_entry::Payload, replication_message::Body,
};
use millford_core::{Duration, NodeId};
use prost::Message;
use quickcheck::{Arbitrary, Gen, quickcheck};

/// Generates small numbers, which occur as terms, indices and nodes in the group, and large ones,
/// which could overflow sums.
fn number(generator: &mut Gen) -> u64 {
    let small = u64::arbitrary(generator) % 8;
    *generator
        .choose(&[small, small, u64::MAX, u64::MAX / 4])
        .expect("choices")
}

fn flag(generator: &mut Gen) -> bool {
    bool::arbitrary(generator)
}

fn entry(generator: &mut Gen) -> LogEntry {
    let payloads = [None, Some(Payload::Command(Vec::new()))];
    LogEntry {
        index: number(generator),
        term: number(generator),
        payload: generator.choose(&payloads).cloned().flatten(),
    }
}

fn vote_request(generator: &mut Gen) -> VoteRequest {
    VoteRequest {
        last_index: number(generator),
        last_term: number(generator),
        pre_vote: flag(generator),
        transfer: flag(generator),
    }
}

fn vote_reply(generator: &mut Gen) -> VoteReply {
    VoteReply {
        granted: flag(generator),
        pre_vote: flag(generator),
        removed: flag(generator),
    }
}

fn any_append_request(generator: &mut Gen) -> AppendRequest {
    AppendRequest {
        previous_index: number(generator),
        previous_term: number(generator),
        entries: vec![entry(generator), entry(generator)],
        commit_index: number(generator),
        read_sequence: number(generator),
    }
}

fn append_reply(generator: &mut Gen) -> AppendReply {
    AppendReply {
        accepted: flag(generator),
        match_index: number(generator),
        read_sequence: number(generator),
        previous_index: number(generator),
    }
}

fn snapshot_chunk(generator: &mut Gen) -> SnapshotChunk {
    let voters = VoterSet {
        voters: vec![number(generator)],
        learners: Vec::new(),
    };
    SnapshotChunk {
        last_index: number(generator),
        last_term: number(generator),
        voters: Some(voters).filter(|_| flag(generator)),
        position: number(generator),
        data: Vec::new(),
        last: flag(generator),
        commit_index: number(generator),
    }
}

fn snapshot_reply(generator: &mut Gen) -> SnapshotReply {
    SnapshotReply {
        last_index: number(generator),
        next_position: number(generator),
        installed: flag(generator),
    }
}

fn body(generator: &mut Gen) -> Body {
    match u8::arbitrary(generator) % 7 {
        0 => Body::VoteRequest(vote_request(generator)),
        1 => Body::VoteReply(vote_reply(generator)),
        2 => Body::AppendRequest(any_append_request(generator)),
        3 => Body::AppendReply(append_reply(generator)),
        4 => Body::SnapshotChunk(snapshot_chunk(generator)),
        5 => Body::SnapshotReply(snapshot_reply(generator)),
        _ => Body::TimeoutNow(TimeoutNow {}),
    }
}

#[derive(Clone, Debug)]
struct AnyMessage(ReplicationMessage);

impl Arbitrary for AnyMessage {
    fn arbitrary(generator: &mut Gen) -> Self {
        Self(ReplicationMessage {
            shard: 3,
            from: number(generator),
            to: 1,
            term: number(generator),
            body: Some(body(generator)).filter(|_| u8::arbitrary(generator) > 10),
        })
    }
}

quickcheck! {
    fn no_message_makes_a_replica_panic(messages: Vec<AnyMessage>) -> bool {
        let mut simulation = new_group(1, 3);
        simulation.run_for(Duration::from_secs(2));
        let now = simulation.now;
        let replica = simulation.running_replica(NodeId(1));
        for AnyMessage(message) in messages {
            replica.step(now, message);
            replica.flush(now).expect("the disk works");
        }
        true
    }

    fn messages_round_trip_through_the_codec(message: AnyMessage) -> bool {
        let bytes = message.0.encode_to_vec();
        ReplicationMessage::decode(bytes.as_slice()) == Ok(message.0)
    }
}

/// A message from node 2 to node 1.
fn message(term: u64, body: Body) -> ReplicationMessage {
    ReplicationMessage {
        shard: 3,
        from: 2,
        to: 1,
        term,
        body: Some(body),
    }
}

/// An append request with one entry after `previous_index`, whose term is 1.
fn append_request(previous_index: u64, index: u64, term: u64, payload: Option<Payload>) -> Body {
    let entry = LogEntry {
        index,
        term,
        payload,
    };
    Body::AppendRequest(AppendRequest {
        previous_index,
        previous_term: 1,
        entries: vec![entry],
        ..AppendRequest::default()
    })
}

/// Bodies that no correct replica sends in `term` to a replica whose last index is `last`, each
/// with its fault.
fn implausible_bodies(term: u64, last: u64) -> [(&'static str, Body); 5] {
    let command = Some(Payload::Command(Vec::new()));
    let chunk_without_voters = SnapshotChunk {
        last_index: last + 5,
        last_term: 1,
        last: true,
        ..SnapshotChunk::default()
    };
    [
        (
            "a gap between indices",
            append_request(last, last + 2, 1, command.clone()),
        ),
        (
            "an entry without a payload",
            append_request(last, last + 1, 1, None),
        ),
        (
            "an entry of a later term than the message",
            append_request(last, last + 1, term + 1, command.clone()),
        ),
        (
            "an entry of an earlier term than the one before it",
            append_request(last, last + 1, 0, command),
        ),
        (
            "a snapshot without voters",
            Body::SnapshotChunk(chunk_without_voters),
        ),
    ]
}

#[test]
fn messages_that_no_correct_replica_sends_are_ignored() {
    let mut simulation = new_group(1, 3);
    simulation.run_for(Duration::from_secs(2));
    let now = simulation.now;
    let replica = simulation.running_replica(NodeId(1));
    let before = format!("{replica:?}");
    let status = replica.status();
    let term = status.term + 1;
    for (case, body) in implausible_bodies(term, status.last_index) {
        replica.step(now, message(term, body));
        assert_eq!(format!("{replica:?}"), before, "{case}");
    }
}
