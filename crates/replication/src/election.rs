//! Elections: timers, pre-votes and votes of the candidate's side.

use millford_api::replication::{VoteReply, VoteRequest, replication_message::Body};
use millford_core::{Duration, MonotonicTime, NodeId};
use rand::Rng;

use crate::Replica;
use crate::ballot::Ballot;
use crate::role::RoleState;

impl Replica {
    /// Lets time pass: elections, heartbeats and step-down. Messages leave with the next flush.
    pub fn tick(&mut self, now: MonotonicTime) {
        self.advance_clock(now);
        if self.failure.is_some() {
            return;
        }
        if self.is_leader() {
            self.tick_leader();
        } else if self.now >= self.election_at {
            self.patience.round_failed();
            self.reset_election_timer();
            self.leader = NodeId::NONE;
            if self.may_campaign() {
                self.start_pre_vote();
            }
        }
    }

    /// The owner did not run for this long until now: what the leader sent meanwhile may still wait, so
    /// the time is not the leader's silence. Only the wish to campaign is put off; what this replica
    /// tells of its leader, and a leader's check of its quorum, go by real time.
    ///
    /// Never by more than a whole time-out from now: a leader that was stopped steps down on the first
    /// message that it takes, and a timer that is set then is not part of the stall.
    pub fn defer_election_deadline(&mut self, now: MonotonicTime, lost: Duration) {
        self.advance_clock(now);
        let whole = self
            .patience
            .stretch(self.options.timing.election_timeout_max);
        self.election_at = (self.election_at + lost).min(self.now + whole);
    }

    fn may_campaign(&self) -> bool {
        let has_space = self.full_until.is_none_or(|until| self.now >= until);
        self.is_voter() && !self.removed && has_space
    }

    pub(crate) fn reset_election_timer(&mut self) {
        let timing = &self.options.timing;
        let shortest = timing.election_timeout_min;
        let longest = timing.election_timeout_max;
        let timeout = self.random.random_range(shortest..=longest);
        self.election_at = self.now + self.patience.stretch(timeout);
    }

    /// Asks whether an election would succeed, without raising the term: a replica that was cut off
    /// does not depose a leader that the others follow.
    fn start_pre_vote(&mut self) {
        let ballot = Ballot::new(self.options.node);
        self.role = RoleState::PreCandidate(ballot);
        self.request_votes(true, false);
        self.count_votes();
    }

    /// Raises the term and asks for votes.
    pub(crate) fn start_election(&mut self, transfer: bool) {
        self.term += 1;
        self.voted_for = self.options.node;
        self.leader = NodeId::NONE;
        self.reset_election_timer();
        self.role = RoleState::Candidate(Ballot::new(self.options.node));
        self.request_votes(false, transfer);
        self.count_votes();
    }

    fn request_votes(&mut self, pre_vote: bool, transfer: bool) {
        let term = if pre_vote { self.term + 1 } else { self.term };
        let request = VoteRequest {
            last_index: self.storage.last_index(),
            last_term: self.last_term(),
            pre_vote,
            transfer,
        };
        let voters = self.configurations.latest().voters.clone();
        for voter in voters {
            if voter != self.options.node {
                self.send_with_term(voter, term, Body::VoteRequest(request));
            }
        }
    }

    pub(crate) fn on_vote_reply(&mut self, from: NodeId, term: u64, reply: VoteReply) {
        self.patience.note_other();
        // A granted pre-vote names the term that would follow and must not be taken over.
        let names_future_term = reply.pre_vote && reply.granted;
        if term > self.term && !names_future_term {
            self.adopt_term(term);
        }
        if reply.removed && !self.is_leader() {
            self.note_removed();
            return;
        }
        if !reply.granted {
            return;
        }
        match &mut self.role {
            RoleState::PreCandidate(ballot) if reply.pre_vote && term == self.term + 1 => {
                ballot.grant(from);
            }
            RoleState::Candidate(ballot) if !reply.pre_vote && term == self.term => {
                ballot.grant(from);
            }
            _ => return,
        }
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let configuration = self.configurations.latest();
        match &self.role {
            RoleState::PreCandidate(ballot) if ballot.is_won(configuration) => {
                self.start_election(false);
            }
            RoleState::Candidate(ballot) if ballot.is_won(configuration) => self.become_leader(),
            _ => {}
        }
    }

    /// A voter with a newer committed configuration does not know this replica any more.
    fn note_removed(&mut self) {
        self.removed = true;
        self.role = RoleState::Follower;
    }

    /// Takes over a newer term, as follower without a known leader.
    pub(crate) fn adopt_term(&mut self, term: u64) {
        if term > self.term {
            self.term = term;
            self.voted_for = NodeId::NONE;
        }
        self.step_down();
    }

    /// Follows the leader of a term that is not older than the own one.
    pub(crate) fn follow(&mut self, term: u64, leader: NodeId) {
        let is_same_follower = term == self.term && matches!(self.role, RoleState::Follower);
        if !is_same_follower {
            self.adopt_term(term);
        }
        self.leader = leader;
        self.leader_contact = Some(self.now);
        self.removed = false;
        self.patience.clear();
        self.reset_election_timer();
    }

    /// Whether a leader was heard from so lately that a vote could only disturb it.
    pub(crate) fn hears_leader(&self, now: MonotonicTime) -> bool {
        let shortest = self.options.timing.election_timeout_min;
        let heard = self.leader_contact;
        self.is_leader()
            || self.leader.is_some() && heard.is_some_and(|at| now.since(at) < shortest)
    }
}
