//! Roles of a replica.

use crate::leader_state::LeaderState;
use crate::vote_tally::VoteTally;

/// Role of a replica, as reported to its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Not a voter in the latest configuration: receives the log and never campaigns.
    Learner,
    /// Voter that follows a leader, or has none and waits for its election timeout.
    Follower,
    /// Requests pre-votes to find out whether an election would succeed, without raising the term.
    PreCandidate,
    /// Requests votes in a new term.
    Candidate,
    /// Accepts proposals and replicates its log to the other replicas.
    Leader,
}

/// Role with the state specific to it. Learners are `Follower` here.
#[derive(Debug)]
pub(crate) enum RoleState {
    Follower,
    PreCandidate(VoteTally),
    Candidate(VoteTally),
    Leader(Box<LeaderState>),
}
