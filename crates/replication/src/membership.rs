//! Configuration changes, one node at a time (Raft thesis, sections 4.1 and 4.2).

use millford_api::replication::{VoterSet, log_entry::Payload};
use millford_core::{Duration, NodeId};

use crate::configuration::Configuration;
use crate::options::CONTACT_MAX_AGE_HEARTBEATS;
use crate::progress::{Progress, ProgressState};
use crate::role::RoleState;
use crate::{Replica, VoterChange, VoterChangeError};

impl Replica {
    /// Appends a configuration that differs from the latest one by one node, and returns the index
    /// of its entry. It is in force at once, and committed when that entry is.
    ///
    /// Quorums of configurations that differ by one voter overlap; after two changes they need not.
    /// Therefore a change is rejected while an earlier one is not committed, and also before the
    /// leader has committed an entry of its own term, as its log may lack a change that an earlier
    /// leader made.
    ///
    /// # Errors
    /// A [`VoterChangeError`] for the condition that is not met; nothing was appended.
    pub fn change_voters(&mut self, change: VoterChange) -> Result<u64, VoterChangeError> {
        self.check_change_allowed()?;
        let configuration = self.changed_configuration(change)?;
        let set = VoterSet::from(&configuration);
        let index = self.append_own(Payload::Voters(set));
        self.align_peers();
        Ok(index)
    }

    fn check_change_allowed(&self) -> Result<(), VoterChangeError> {
        let RoleState::Leader(state) = &self.role else {
            return Err(VoterChangeError::NotLeader { hint: self.leader });
        };
        if state.transfer.is_some() {
            return Err(VoterChangeError::TransferInProgress);
        }
        if !self.has_committed_own_term() {
            return Err(VoterChangeError::TermNotCommitted);
        }
        if self.configurations.latest_index() > self.commit_index {
            return Err(VoterChangeError::ChangePending);
        }
        Ok(())
    }

    fn changed_configuration(
        &self,
        change: VoterChange,
    ) -> Result<Configuration, VoterChangeError> {
        let mut configuration = self.configurations.latest().clone();
        match change {
            VoterChange::AddLearner(node) => add_learner(&mut configuration, node)?,
            VoterChange::Promote(node) => self.promote(&mut configuration, node)?,
            VoterChange::Remove(node) => remove(&mut configuration, node)?,
        }
        if !self.has_quorum_contact(&configuration, self.contact_max_age()) {
            return Err(VoterChangeError::NoQuorum);
        }
        Ok(configuration)
    }

    fn promote(
        &self,
        configuration: &mut Configuration,
        node: NodeId,
    ) -> Result<(), VoterChangeError> {
        if !configuration.learners.remove(&node) {
            return Err(VoterChangeError::NotLearner);
        }
        if !self.has_caught_up(node) {
            return Err(VoterChangeError::NotCaughtUp);
        }
        configuration.voters.insert(node);
        Ok(())
    }

    /// Longest time since the last contact with a replica that a change may rely on.
    fn contact_max_age(&self) -> Duration {
        self.options.timing.heartbeat * CONTACT_MAX_AGE_HEARTBEATS
    }

    fn align_peers(&mut self) {
        let next_index = self.storage.last_index() + 1;
        let now = self.now;
        let own = self.options.node;
        let configuration = self.configurations.latest().clone();
        if let Some(state) = self.leader_state() {
            state.align_peers(&configuration, own, next_index, now);
            state.broadcast_due = true;
        }
    }

    fn has_caught_up(&self, node: NodeId) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        let peer = state.peers.get(&node);
        peer.is_some_and(|peer| self.is_caught_up(peer))
    }

    /// Whether a peer was in contact recently and lacks at most `promotion_lag` committed entries.
    pub(crate) fn is_caught_up(&self, peer: &Progress) -> bool {
        let replicates = matches!(peer.state, ProgressState::Replicate);
        let lag = self.commit_index.saturating_sub(peer.match_index());
        let has_contact = self.now.since(peer.last_contact()) < self.contact_max_age();
        replicates && has_contact && lag <= self.options.limits.promotion_lag
    }
}

fn add_learner(configuration: &mut Configuration, node: NodeId) -> Result<(), VoterChangeError> {
    if !node.is_some() || configuration.contains(node) {
        return Err(VoterChangeError::NoDifference);
    }
    configuration.learners.insert(node);
    Ok(())
}

fn remove(configuration: &mut Configuration, node: NodeId) -> Result<(), VoterChangeError> {
    if configuration.learners.remove(&node) {
        return Ok(());
    }
    if !configuration.voters.remove(&node) {
        return Err(VoterChangeError::NoDifference);
    }
    if configuration.voters.is_empty() {
        return Err(VoterChangeError::LastVoter);
    }
    Ok(())
}
