//! Leadership transfer to another voter (Raft thesis, section 3.10).

use millford_api::replication::{TimeoutNow, replication_message::Body};
use millford_core::NodeId;

use crate::election::Campaign;
use crate::leader_state::LeaderTransfer;
use crate::role::RoleState;
use crate::{Replica, TransferError};

impl Replica {
    /// Begins to transfer the leadership to a voter, which is requested to campaign once its log
    /// matches the complete log of this leader.
    ///
    /// Proposals are rejected during the transfer. They are accepted again if it has not succeeded
    /// within the shortest election timeout.
    ///
    /// # Errors
    /// A [`TransferError`] when this replica does not lead, a transfer is already in progress, or
    /// the target is not a reachable voter.
    pub fn transfer_leadership(&mut self, target: NodeId) -> Result<(), TransferError> {
        let deadline = self.now + self.options.timing.election_timeout_min;
        let quorum_timeout = self.options.timing.quorum_timeout;
        let now = self.now;
        let hint = self.leader;
        let is_voter = self.configurations.latest().is_voter(target);
        let Some(state) = self.leader_state() else {
            return Err(TransferError::NotLeader { hint });
        };
        if state.transfer.is_some() {
            return Err(TransferError::InProgress);
        }
        let peer = state.peers.get(&target).filter(|_| is_voter);
        let peer = peer.ok_or(TransferError::NotVoter)?;
        if now.since(peer.last_contact()) >= quorum_timeout {
            return Err(TransferError::TargetUnreachable);
        }
        state.transfer = Some(LeaderTransfer {
            target,
            deadline,
            timeout_now_sent: false,
        });
        Ok(())
    }

    /// Requests the target of a transfer to campaign once its log matches the complete log.
    pub(crate) fn advance_transfer(&mut self) {
        let last_index = self.storage.last_index();
        let Some(state) = self.leader_state() else {
            return;
        };
        let Some(mut transfer) = state.transfer else {
            return;
        };
        let peer = state.peers.get(&transfer.target);
        let holds_complete_log = peer.is_some_and(|peer| peer.match_index() == last_index);
        if transfer.timeout_now_sent || !holds_complete_log {
            return;
        }
        transfer.timeout_now_sent = true;
        state.transfer = Some(transfer);
        self.send(transfer.target, Body::TimeoutNow(TimeoutNow {}));
    }

    /// Starts an election at the request of the leader. A delayed or duplicated request may cause
    /// an unnecessary election, but does not affect safety.
    pub(crate) fn on_timeout_now(&mut self, from: NodeId, term: u64) {
        let is_current = term == self.term && self.leader == from;
        let is_follower = matches!(self.role, RoleState::Follower);
        if is_current && is_follower && self.is_voter() {
            self.start_election(Campaign::Transfer);
        }
    }
}
