//! Vote requests as a voter handles them (Raft thesis, sections 3.4, 4.2.3 and 9.6).

use millford_api::replication::{VoteReply, VoteRequest, replication_message::Body};
use millford_core::NodeId;

use crate::Replica;
use crate::log_position::LogPosition;

impl Replica {
    /// Answers a request for a vote or pre-vote.
    ///
    /// A replica answers also when its own configuration does not list it as a voter: one that was
    /// just promoted may not have received that entry yet, and the candidate counts only the voters
    /// of the candidate's configuration.
    pub(crate) fn on_vote_request(&mut self, from: NodeId, term: u64, request: VoteRequest) {
        if term < self.term {
            self.reject_vote(from, &request);
            return;
        }
        if self.has_leader_contact(self.now) && !request.transfer {
            // Neither the term nor the vote changes while there is contact with a leader, so that a
            // candidate that the leader's messages do not reach cannot depose the leader.
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
        // At most one vote per term: election safety rests on it.
        let may_vote = !self.voted_for.is_some() || self.voted_for == from;
        if !may_vote || !self.is_up_to_date(request) {
            self.reject_vote(from, request);
            return;
        }
        // The flush stores term and vote before it returns the reply, so the vote is durable before
        // the candidate can count it.
        self.voted_for = from;
        self.reset_election_timer();
        let reply = VoteReply {
            granted: true,
            pre_vote: false,
            removed: false,
        };
        self.send(from, Body::VoteReply(reply));
    }

    /// Whether the candidate's log is at least as up to date as this replica's, and so has every
    /// committed entry that this replica has acknowledged. A candidate that passes this check on a
    /// quorum has every committed entry (leader completeness).
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

    /// Sends a rejection if the sender was removed from the group, so that it stops campaigning;
    /// else sends nothing.
    fn notify_if_removed(&mut self, from: NodeId, request: &VoteRequest) {
        if self.is_known_removed(from, request) {
            self.reject_vote(from, request);
        }
    }

    /// Whether the committed configuration lacks the sender and is newer than the sender's whole
    /// log, so that the sender cannot have received it. A sender that was added after that
    /// configuration has a newer log or is contacted by the leader that added it.
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
