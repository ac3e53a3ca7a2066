//! Handing the leadership to another voter.

use millford_api::replication::{TimeoutNow, replication_message::Body};
use millford_core::NodeId;

use crate::leader_state::Transfer;
use crate::role::RoleState;
use crate::{Replica, TransferRefused};

impl Replica {
    /// Hands the leadership to a voter: once it holds the whole log, it is asked to campaign.
    /// Proposals are refused until then; they are taken again if it has not succeeded within the
    /// shortest election timeout.
    pub fn transfer_leadership(&mut self, to: NodeId) -> Result<(), TransferRefused> {
        let deadline = self.now + self.options.timing.election_timeout_min;
        let quorum_timeout = self.options.timing.quorum_timeout;
        let now = self.now;
        let hint = self.leader;
        let is_voter = self.configurations.latest().is_voter(to);
        let Some(state) = self.leader_state() else {
            return Err(TransferRefused::NotLeader { hint });
        };
        if state.transfer.is_some() {
            return Err(TransferRefused::Transferring);
        }
        let peer = state.peers.get(&to).filter(|_| is_voter);
        let peer = peer.ok_or(TransferRefused::NotVoter)?;
        if now.since(peer.last_contact) >= quorum_timeout {
            return Err(TransferRefused::TargetUnreachable);
        }
        state.transfer = Some(Transfer {
            to,
            deadline,
            asked: false,
        });
        Ok(())
    }

    /// Asks the other voter to campaign once it holds everything.
    pub(crate) fn advance_transfer(&mut self) {
        let last_index = self.storage.last_index();
        let Some(state) = self.leader_state() else {
            return;
        };
        let Some(mut transfer) = state.transfer else {
            return;
        };
        let peer = state.peers.get(&transfer.to);
        let holds_all = peer.is_some_and(|peer| peer.match_index == last_index);
        if transfer.asked || !holds_all {
            return;
        }
        transfer.asked = true;
        state.transfer = Some(transfer);
        self.send(transfer.to, Body::TimeoutNow(TimeoutNow {}));
    }

    /// The leader asks this replica to campaign. A late or repeated message costs an election and
    /// no safety.
    pub(crate) fn on_timeout_now(&mut self, from: NodeId, term: u64) {
        let is_current = term == self.term && self.leader == from;
        let is_follower = matches!(self.role, RoleState::Follower);
        if is_current && is_follower && self.is_voter() {
            self.start_election(true);
        }
    }
}
