//! Validation of incoming messages.
//!
//! Peers are trusted to follow the protocol, but they may run another version or have faults. A
//! message that no correct replica could have sent is ignored, as if it had been lost.

use millford_api::replication::{
    AppendRequest, LogEntry, ReplicationMessage, SnapshotChunk, replication_message::Body,
};

use crate::log_position::LogPosition;

/// Largest accepted term, index, offset or sequence number, so that sums with them cannot overflow.
const MAX_ACCEPTED: u64 = u64::MAX / 4;

/// Whether a correct replica could have sent the message.
pub(crate) fn is_plausible(message: &ReplicationMessage) -> bool {
    let body_is_plausible = match &message.body {
        Some(Body::VoteRequest(request)) => {
            all_in_range(&[request.last_index, request.last_term])
                && request.last_term <= message.term
        }
        Some(Body::VoteReply(_) | Body::TimeoutNow(_)) => true,
        Some(Body::AppendRequest(request)) => append_is_plausible(request, message.term),
        Some(Body::AppendReply(reply)) => {
            all_in_range(&[reply.match_index, reply.read_sequence, reply.previous_index])
        }
        Some(Body::SnapshotChunk(chunk)) => chunk_is_plausible(chunk, message.term),
        Some(Body::SnapshotReply(reply)) => all_in_range(&[reply.last_index, reply.next_position]),
        None => false,
    };
    body_is_plausible && all_in_range(&[message.term])
}

fn all_in_range(numbers: &[u64]) -> bool {
    numbers.iter().all(|number| *number <= MAX_ACCEPTED)
}

fn append_is_plausible(request: &AppendRequest, term: u64) -> bool {
    let numbers = [
        request.previous_index,
        request.previous_term,
        request.commit_index,
        request.read_sequence,
    ];
    let mut previous = LogPosition {
        term: request.previous_term,
        index: request.previous_index,
    };
    all_in_range(&numbers)
        && request.entries.iter().all(|entry| {
            let follows = entry_follows(entry, previous, term);
            previous = LogPosition {
                term: entry.term,
                index: entry.index,
            };
            follows
        })
}

/// Whether an entry may follow the one at `previous` in a message of `term`: indices are
/// contiguous, and terms neither decrease nor exceed `term`.
///
/// An entry without a payload has a payload kind that only a newer version can decode; storing the
/// entry would lose that payload.
fn entry_follows(entry: &LogEntry, previous: LogPosition, term: u64) -> bool {
    let is_next = entry.index == previous.index.saturating_add(1);
    let is_ordered = entry.term >= previous.term && entry.term <= term;
    is_next && is_ordered && entry.payload.is_some()
}

fn chunk_is_plausible(chunk: &SnapshotChunk, term: u64) -> bool {
    let has_voters = chunk
        .voters
        .as_ref()
        .is_some_and(|voters| !voters.voters.is_empty());
    let covers_entry = chunk.last_index > 0 && chunk.last_term > 0 && chunk.last_term <= term;
    all_in_range(&[chunk.last_index, chunk.position]) && covers_entry && has_voters
}
