//! Roles of a replica.

use crate::leader_state::LeaderState;
use crate::vote_tally::VoteTally;

/// Role of a replica, for its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Not a voter: receives the log and never campaigns.
    Learner,
    /// Follows a leader, or waits for one.
    Follower,
    /// Requests pre-votes: finds out whether an election would succeed.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads the group.
    Leader,
}

/// Role with the state that only this role has.
#[derive(Debug)]
pub(crate) enum RoleState {
    Follower,
    PreCandidate(VoteTally),
    Candidate(VoteTally),
    Leader(Box<LeaderState>),
}
