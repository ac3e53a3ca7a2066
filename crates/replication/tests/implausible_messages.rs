//! Messages that no correct replica sends change nothing and stop nothing.

mod group;

use group::network::Weather;
use group::simulation::{Defect, Simulation};
use millford_api::replication::{
    AppendReply, AppendRequest, LogEntry, ReplicationMessage, SnapshotChunk, SnapshotReply,
    TimeoutNow, VoteReply, VoteRequest, VoterSet, log_entry::Payload, replication_message::Body,
};
use millford_core::{Duration, NodeId};
use prost::Message;
use quickcheck::{Arbitrary, Gen, quickcheck};

/// Small numbers that mean something to the group, and large ones that overflow.
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

fn body(generator: &mut Gen) -> Body {
    let voters = VoterSet {
        voters: vec![number(generator)],
        learners: Vec::new(),
    };
    match u8::arbitrary(generator) % 7 {
        0 => Body::VoteRequest(VoteRequest {
            last_index: number(generator),
            last_term: number(generator),
            pre_vote: flag(generator),
            transfer: flag(generator),
        }),
        1 => Body::VoteReply(VoteReply {
            granted: flag(generator),
            pre_vote: flag(generator),
            removed: flag(generator),
        }),
        2 => Body::AppendRequest(AppendRequest {
            previous_index: number(generator),
            previous_term: number(generator),
            entries: vec![entry(generator), entry(generator)],
            commit_index: number(generator),
            read_sequence: number(generator),
        }),
        3 => Body::AppendReply(AppendReply {
            accepted: flag(generator),
            match_index: number(generator),
            read_sequence: number(generator),
            previous_index: number(generator),
        }),
        4 => Body::SnapshotChunk(SnapshotChunk {
            last_index: number(generator),
            last_term: number(generator),
            voters: Some(voters).filter(|_| flag(generator)),
            position: number(generator),
            data: Vec::new(),
            last: flag(generator),
            commit_index: number(generator),
        }),
        5 => Body::SnapshotReply(SnapshotReply {
            last_index: number(generator),
            next_position: number(generator),
            installed: flag(generator),
        }),
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
        let mut simulation = Simulation::new(1, 3, Weather::CALM, Defect::None);
        simulation.run_for(Duration::from_secs(2));
        let now = simulation.now;
        let replica = simulation.replica(NodeId(1)).expect("runs");
        for AnyMessage(message) in messages {
            replica.step(now, message);
            replica.flush(now).expect("the disk works");
        }
        true
    }

    fn messages_survive_the_codec(message: AnyMessage) -> bool {
        let bytes = message.0.encode_to_vec();
        ReplicationMessage::decode(bytes.as_slice()) == Ok(message.0)
    }
}

#[test]
fn what_no_correct_replica_sends_is_ignored() {
    let mut simulation = Simulation::new(1, 3, Weather::CALM, Defect::None);
    simulation.run_for(Duration::from_secs(2));
    let now = simulation.now;
    let replica = simulation.replica(NodeId(1)).expect("runs");
    let before = format!("{replica:?}");
    let term = replica.status().term + 1;
    let last = replica.status().last_index;
    let append = |previous_index: u64, index: u64, term: u64, payload: Option<Payload>| {
        Body::AppendRequest(AppendRequest {
            previous_index,
            previous_term: 1,
            entries: vec![LogEntry {
                index,
                term,
                payload,
            }],
            ..AppendRequest::default()
        })
    };
    let known = Some(Payload::Command(Vec::new()));
    let chunk = SnapshotChunk {
        last_index: last + 5,
        last_term: 1,
        last: true,
        ..SnapshotChunk::default()
    };
    let implausible = [
        append(last, last + 2, 1, known.clone()),
        append(last, last + 1, 1, None),
        append(last, last + 1, term + 1, known.clone()),
        append(last, last + 1, 0, known),
        Body::SnapshotChunk(chunk),
    ];
    for body in implausible {
        replica.step(
            now,
            ReplicationMessage {
                shard: 3,
                from: 2,
                to: 1,
                term,
                body: Some(body),
            },
        );
        assert_eq!(format!("{replica:?}"), before);
    }
}
