//! Handling of incoming messages and comparison of their terms with the current one (Raft thesis,
//! section 3.3).

use millford_api::replication::{ReplicationMessage, replication_message::Body};
use millford_core::{MonotonicTime, NodeId};

use crate::Replica;
use crate::message_check::is_plausible;

impl Replica {
    /// Processes a message from another replica. The next flush returns the replies.
    ///
    /// Messages may be lost, duplicated, delayed or reordered. A message that no correct replica
    /// could have sent is ignored.
    pub fn step(&mut self, now: MonotonicTime, message: ReplicationMessage) {
        self.advance_clock(now);
        if self.failure.is_some() || !self.is_addressed_here(&message) || !is_plausible(&message) {
            return;
        }
        self.check_quorum();
        let from = NodeId(message.from);
        if let Some(body) = message.body {
            self.dispatch(from, message.term, body);
        }
    }

    /// Whether a message comes from another node and is addressed to this replica and shard.
    fn is_addressed_here(&self, message: &ReplicationMessage) -> bool {
        message.shard == self.options.shard.0
            && message.to == self.options.node.0
            && message.from != self.options.node.0
            && message.from != NodeId::NONE.0
    }

    fn dispatch(&mut self, from: NodeId, term: u64, body: Body) {
        match body {
            Body::VoteRequest(request) => self.on_vote_request(from, term, request),
            Body::VoteReply(reply) => self.on_vote_reply(from, term, reply),
            Body::AppendRequest(request) => {
                if self.accept_leader(from, term) {
                    self.on_append_request(from, request);
                }
            }
            Body::SnapshotChunk(chunk) => {
                if self.accept_leader(from, term) {
                    self.on_snapshot_chunk(from, &chunk);
                }
            }
            Body::TimeoutNow(_) => self.on_timeout_now(from, term),
            Body::AppendReply(reply) => {
                if self.accept_reply(from, term) {
                    self.on_append_reply(from, reply);
                }
            }
            Body::SnapshotReply(reply) => {
                if self.accept_reply(from, term) {
                    self.on_snapshot_reply(from, reply);
                }
            }
        }
    }

    /// Follows the sender of a leader's message, adopting a newer term. Returns false for a message
    /// of an older term, whose sender is sent the current term so that it steps down.
    fn accept_leader(&mut self, from: NodeId, term: u64) -> bool {
        if term < self.term {
            self.reject_stale_leader(from);
            return false;
        }
        if term == self.term && self.is_leader() {
            // A term has at most one leader, so the message is corrupt.
            return false;
        }
        self.follow(term, from);
        true
    }

    /// Whether a reply is of the current term. A newer term is adopted, and the reply ignored.
    fn accept_reply(&mut self, from: NodeId, term: u64) -> bool {
        if term > self.term {
            self.adopt_term(term);
            return false;
        }
        if term < self.term {
            return false;
        }
        self.record_contact(from);
        true
    }
}
