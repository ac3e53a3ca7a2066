//! Votes on the voter's side (Raft thesis, sections 3.4, 4.2.3 and 9.6).

use millford_api::replication::{VoteReply, VoteRequest, replication_message::Body};
use millford_core::NodeId;

use crate::Replica;
use crate::log_position::LogPosition;

impl Replica {
    /// Answers a request for a vote or pre-vote.
    ///
    /// The own configuration does not matter: a replica that was just promoted may not know it yet,
    /// and the candidate counts only the voters of its own configuration.
    pub(crate) fn on_vote_request(&mut self, from: NodeId, term: u64, request: VoteRequest) {
        if term < self.term {
            self.reject_vote(from, &request);
            return;
        }
        if self.has_leader_contact(self.now) && !request.transfer {
            // Neither the term nor the vote changes while there is contact with a leader: a candidate
            // that the leader does not reach cannot depose it.
            self.notify_if_removed(from, &request);
            return;
        }
        self.election_timer.backoff.record_contested();
        if request.pre_vote {
            self.answer_pre_vote(from, term, &request);
        } else {
            self.answer_vote(from, term, &request);
        }
    }

    fn answer_pre_vote(&mut self, from: NodeId, term: u64, request: &VoteRequest) {
        if term == self.term || !self.is_up_to_date(request) {
            self.reject_vote(from, request);
            return;
        }
        let reply = VoteReply {
            granted: true,
            pre_vote: true,
            removed: false,
        };
        self.send_with_term(from, term, Body::VoteReply(reply));
    }

    fn answer_vote(&mut self, from: NodeId, term: u64, request: &VoteRequest) {
        if term > self.term {
            self.adopt_term(term);
        }
        // One vote a term: election safety rests on it.
        let is_free = !self.voted_for.is_some() || self.voted_for == from;
        if !is_free || !self.is_up_to_date(request) {
            self.reject_vote(from, request);
            return;
        }
        // Durable before the reply leaves: the flush stores term and vote first.
        self.voted_for = from;
        self.reset_election_timer();
        let reply = VoteReply {
            granted: true,
            pre_vote: false,
            removed: false,
        };
        self.send(from, Body::VoteReply(reply));
    }

    /// Whether the candidate's log holds every entry that this replica may have acknowledged. A
    /// candidate that a quorum finds up to date holds every committed entry (leader completeness).
    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        last_position_of(request) >= self.last_position()
    }

    fn reject_vote(&mut self, from: NodeId, request: &VoteRequest) {
        let reply = VoteReply {
            granted: false,
            pre_vote: request.pre_vote,
            removed: self.is_known_removed(from, request),
        };
        self.send(from, Body::VoteReply(reply));
    }

    fn notify_if_removed(&mut self, from: NodeId, request: &VoteRequest) {
        if self.is_known_removed(from, request) {
            self.reject_vote(from, request);
        }
    }

    /// Whether the sender is not in the committed configuration and cannot know it: the
    /// configuration's entry is newer than the sender's whole log. A replica that was added later
    /// has a newer log or will be contacted by the leader that added it.
    fn is_known_removed(&self, sender: NodeId, request: &VoteRequest) -> bool {
        let committed = self.configurations.as_of(self.commit_index);
        if committed.index == 0 || committed.configuration.contains(sender) {
            return false;
        }
        let Some(term) = self.storage.term_at(committed.index) else {
            return false;
        };
        let configuration_position = LogPosition {
            term,
            index: committed.index,
        };
        configuration_position > last_position_of(request)
    }
}

fn last_position_of(request: &VoteRequest) -> LogPosition {
    LogPosition {
        term: request.last_term,
        index: request.last_index,
    }
}
