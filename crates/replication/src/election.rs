//! Elections: ticks, and pre-votes and votes as a candidate requests and counts them (Raft thesis,
//! sections 3.4 and 9.6).

use millford_api::replication::{VoteReply, VoteRequest, replication_message::Body};
use millford_core::{Duration, MonotonicTime, NodeId};

use crate::Replica;
use crate::role::RoleState;
use crate::vote_tally::VoteTally;

/// Kind of a campaign for votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Campaign {
    /// Finds out whether an election would succeed, without raising the term.
    PreVote,
    /// An election in a new term.
    Election,
    /// An election that the leader requested in a transfer: voters grant their votes although they
    /// have contact with a leader.
    Transfer,
}

impl Replica {
    /// Processes timeouts: begins an election, makes heartbeats due, or steps down. The owner calls
    /// it every [`crate::TICK`]; the next flush returns the messages.
    pub fn tick(&mut self, now: MonotonicTime) {
        self.advance_clock(now);
        if self.failure.is_some() {
            return;
        }
        if self.is_leader() {
            self.tick_leader();
        } else if self.election_timer.is_expired(self.now) {
            self.election_timer.backoff.record_failed_election();
            self.reset_election_timer();
            self.leader = NodeId::NONE;
            if self.may_campaign() {
                self.start_pre_vote();
            }
        }
    }

    /// Postpones the election deadline after a stall of this process.
    ///
    /// The owner did not run for `stalled_time` until now. Messages that the leader sent in that
    /// time may still be queued, so the stall does not indicate an unresponsive leader. Only the
    /// campaign is postponed; the reported contact with the leader and a leader's quorum check use
    /// the real time.
    pub fn defer_election_deadline(&mut self, now: MonotonicTime, stalled_time: Duration) {
        self.advance_clock(now);
        self.election_timer
            .defer(self.now, stalled_time, &self.options.timing);
    }

    fn may_campaign(&self) -> bool {
        let has_space = self.disk_full_until.is_none_or(|until| self.now >= until);
        self.is_voter() && !self.removed && has_space
    }

    pub(crate) fn reset_election_timer(&mut self) {
        self.election_timer.reset(self.now, &self.options.timing);
    }

    /// Requests pre-votes, which find out whether an election would succeed without raising the
    /// term. A replica that was partitioned therefore does not depose a leader that the others
    /// follow.
    fn start_pre_vote(&mut self) {
        let tally = VoteTally::new(self.options.node);
        self.role = RoleState::PreCandidate(tally);
        self.request_votes(Campaign::PreVote);
        self.count_votes();
    }

    /// Raises the term, votes for itself and requests the others' votes.
    pub(crate) fn start_election(&mut self, campaign: Campaign) {
        self.term += 1;
        self.voted_for = self.options.node;
        self.leader = NodeId::NONE;
        self.reset_election_timer();
        self.role = RoleState::Candidate(VoteTally::new(self.options.node));
        self.request_votes(campaign);
        self.count_votes();
    }

    fn request_votes(&mut self, campaign: Campaign) {
        let is_pre_vote = campaign == Campaign::PreVote;
        let term = if is_pre_vote {
            self.term + 1
        } else {
            self.term
        };
        let last = self.last_position();
        let request = VoteRequest {
            last_index: last.index,
            last_term: last.term,
            pre_vote: is_pre_vote,
            transfer: campaign == Campaign::Transfer,
        };
        let voters = self.configurations.latest().voters.clone();
        for voter in voters {
            if voter != self.options.node {
                self.send_with_term(voter, term, Body::VoteRequest(request));
            }
        }
    }

    pub(crate) fn on_vote_reply(&mut self, from: NodeId, term: u64, reply: VoteReply) {
        self.election_timer.backoff.record_contested();
        // A granted pre-vote carries the term of the election that would follow, which must not be
        // adopted.
        let carries_future_term = reply.pre_vote && reply.granted;
        if term > self.term && !carries_future_term {
            self.adopt_term(term);
        }
        if reply.removed && !self.is_leader() {
            self.record_removed();
            return;
        }
        if !reply.granted {
            return;
        }
        match &mut self.role {
            RoleState::PreCandidate(tally) if reply.pre_vote && term == self.term + 1 => {
                tally.record_grant(from);
            }
            RoleState::Candidate(tally) if !reply.pre_vote && term == self.term => {
                tally.record_grant(from);
            }
            _ => return,
        }
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let configuration = self.configurations.latest();
        match &self.role {
            RoleState::PreCandidate(tally) if tally.is_won(configuration) => {
                self.start_election(Campaign::Election);
            }
            RoleState::Candidate(tally) if tally.is_won(configuration) => self.become_leader(),
            _ => {}
        }
    }

    /// Stops campaigning, as a voter with a newer committed configuration reported that it no
    /// longer contains this replica.
    fn record_removed(&mut self) {
        self.removed = true;
        self.role = RoleState::Follower;
    }

    /// Becomes a follower without a known leader, in `term` if that is newer than the current one.
    pub(crate) fn adopt_term(&mut self, term: u64) {
        if term > self.term {
            self.term = term;
            // A vote is valid in its own term only.
            self.voted_for = NodeId::NONE;
        }
        self.step_down();
    }

    /// Follows `leader`, whose term must not be older than the current one, and records the
    /// contact.
    pub(crate) fn follow(&mut self, term: u64, leader: NodeId) {
        let is_same_follower = term == self.term && matches!(self.role, RoleState::Follower);
        if !is_same_follower {
            self.adopt_term(term);
        }
        self.leader = leader;
        self.leader_contact = Some(self.now);
        self.removed = false;
        self.election_timer.backoff.record_leader();
        self.reset_election_timer();
    }

    /// Whether this replica leads, or had contact with the current leader within the shortest
    /// election timeout, so that granting a vote could only disrupt that leader.
    pub(crate) fn has_leader_contact(&self, now: MonotonicTime) -> bool {
        let shortest = self.options.timing.election_timeout_min;
        let contact = self.leader_contact;
        self.is_leader()
            || self.leader.is_some() && contact.is_some_and(|at| now.since(at) < shortest)
    }
}
