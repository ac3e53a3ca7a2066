//! Samples of the messages of the package `millford.replication`.

use millford_api::replication;

use crate::sample::{Sample, Samples, Values};

/// Adds a sample of each message. A message with a `oneof` has one sample for each of its kinds.
pub(crate) fn add(samples: &mut Samples) {
    samples.add(
        "millford.replication.ReplicationMessage.vote_request",
        |values| replication::ReplicationMessage {
            shard: values.next(),
            from: values.next(),
            to: values.next(),
            term: values.next(),
            body: Some(replication::replication_message::Body::VoteRequest(
                values.next(),
            )),
        },
    );
    samples.add(
        "millford.replication.ReplicationMessage.vote_reply",
        |values| replication::ReplicationMessage {
            shard: values.next(),
            from: values.next(),
            to: values.next(),
            term: values.next(),
            body: Some(replication::replication_message::Body::VoteReply(
                values.next(),
            )),
        },
    );
    samples.add(
        "millford.replication.ReplicationMessage.append_request",
        |values| replication::ReplicationMessage {
            shard: values.next(),
            from: values.next(),
            to: values.next(),
            term: values.next(),
            body: Some(replication::replication_message::Body::AppendRequest(
                values.next(),
            )),
        },
    );
    samples.add(
        "millford.replication.ReplicationMessage.append_reply",
        |values| replication::ReplicationMessage {
            shard: values.next(),
            from: values.next(),
            to: values.next(),
            term: values.next(),
            body: Some(replication::replication_message::Body::AppendReply(
                values.next(),
            )),
        },
    );
    samples.add(
        "millford.replication.ReplicationMessage.snapshot_chunk",
        |values| replication::ReplicationMessage {
            shard: values.next(),
            from: values.next(),
            to: values.next(),
            term: values.next(),
            body: Some(replication::replication_message::Body::SnapshotChunk(
                values.next(),
            )),
        },
    );
    samples.add(
        "millford.replication.ReplicationMessage.snapshot_reply",
        |values| replication::ReplicationMessage {
            shard: values.next(),
            from: values.next(),
            to: values.next(),
            term: values.next(),
            body: Some(replication::replication_message::Body::SnapshotReply(
                values.next(),
            )),
        },
    );
    samples.add(
        "millford.replication.ReplicationMessage.timeout_now",
        |values| replication::ReplicationMessage {
            shard: values.next(),
            from: values.next(),
            to: values.next(),
            term: values.next(),
            body: Some(replication::replication_message::Body::TimeoutNow(
                values.next(),
            )),
        },
    );
    samples.add("millford.replication.LogEntry.empty", |values| {
        replication::LogEntry {
            index: values.next(),
            term: values.next(),
            payload: Some(replication::log_entry::Payload::Empty(values.next())),
        }
    });
    samples.add("millford.replication.LogEntry.command", |values| {
        replication::LogEntry {
            index: values.next(),
            term: values.next(),
            payload: Some(replication::log_entry::Payload::Command(values.next())),
        }
    });
    samples.add("millford.replication.LogEntry.voters", |values| {
        replication::LogEntry {
            index: values.next(),
            term: values.next(),
            payload: Some(replication::log_entry::Payload::Voters(values.next())),
        }
    });
    samples.add("millford.replication.Empty", replication::Empty::sample);
    samples.add(
        "millford.replication.VoterSet",
        replication::VoterSet::sample,
    );
    samples.add(
        "millford.replication.VoteRequest",
        replication::VoteRequest::sample,
    );
    samples.add(
        "millford.replication.VoteReply",
        replication::VoteReply::sample,
    );
    samples.add(
        "millford.replication.AppendRequest",
        replication::AppendRequest::sample,
    );
    samples.add(
        "millford.replication.AppendReply",
        replication::AppendReply::sample,
    );
    samples.add(
        "millford.replication.SnapshotChunk",
        replication::SnapshotChunk::sample,
    );
    samples.add(
        "millford.replication.SnapshotReply",
        replication::SnapshotReply::sample,
    );
    samples.add(
        "millford.replication.TimeoutNow",
        replication::TimeoutNow::sample,
    );
    samples.add(
        "millford.replication.HardState",
        replication::HardState::sample,
    );
}

impl Sample for replication::ReplicationMessage {
    fn sample(values: &mut Values) -> Self {
        replication::ReplicationMessage {
            shard: values.next(),
            from: values.next(),
            to: values.next(),
            term: values.next(),
            body: Some(replication::replication_message::Body::VoteRequest(
                values.next(),
            )),
        }
    }
}

impl Sample for replication::LogEntry {
    fn sample(values: &mut Values) -> Self {
        replication::LogEntry {
            index: values.next(),
            term: values.next(),
            payload: Some(replication::log_entry::Payload::Empty(values.next())),
        }
    }
}

impl Sample for replication::Empty {
    fn sample(_values: &mut Values) -> Self {
        replication::Empty {}
    }
}

impl Sample for replication::VoterSet {
    fn sample(values: &mut Values) -> Self {
        replication::VoterSet {
            voters: values.next(),
            learners: values.next(),
        }
    }
}

impl Sample for replication::VoteRequest {
    fn sample(values: &mut Values) -> Self {
        replication::VoteRequest {
            last_index: values.next(),
            last_term: values.next(),
            pre_vote: values.next(),
            transfer: values.next(),
        }
    }
}

impl Sample for replication::VoteReply {
    fn sample(values: &mut Values) -> Self {
        replication::VoteReply {
            granted: values.next(),
            pre_vote: values.next(),
            removed: values.next(),
        }
    }
}

impl Sample for replication::AppendRequest {
    fn sample(values: &mut Values) -> Self {
        replication::AppendRequest {
            previous_index: values.next(),
            previous_term: values.next(),
            entries: values.next(),
            commit_index: values.next(),
            read_sequence: values.next(),
        }
    }
}

impl Sample for replication::AppendReply {
    fn sample(values: &mut Values) -> Self {
        replication::AppendReply {
            accepted: values.next(),
            match_index: values.next(),
            read_sequence: values.next(),
            previous_index: values.next(),
        }
    }
}

impl Sample for replication::SnapshotChunk {
    fn sample(values: &mut Values) -> Self {
        replication::SnapshotChunk {
            last_index: values.next(),
            last_term: values.next(),
            voters: values.next(),
            position: values.next(),
            data: values.next(),
            last: values.next(),
            commit_index: values.next(),
        }
    }
}

impl Sample for replication::SnapshotReply {
    fn sample(values: &mut Values) -> Self {
        replication::SnapshotReply {
            last_index: values.next(),
            next_position: values.next(),
            installed: values.next(),
        }
    }
}

impl Sample for replication::TimeoutNow {
    fn sample(_values: &mut Values) -> Self {
        replication::TimeoutNow {}
    }
}

impl Sample for replication::HardState {
    fn sample(values: &mut Values) -> Self {
        replication::HardState {
            term: values.next(),
            voted_for: values.next(),
            node: values.next(),
        }
    }
}
