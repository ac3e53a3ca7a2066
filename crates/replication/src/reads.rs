//! Confirmed reads: proof that this replica still leads, at an index.

use crate::leader_state::ReadRound;
use crate::ready::ConfirmedRead;
use crate::role::RoleState;
use crate::{NotLeader, Replica};

impl Replica {
    /// Asks for a confirmed read. The number comes back in a flush, confirmed or failed.
    pub fn read_index(&mut self, request: u64) -> Result<(), NotLeader> {
        let hint = self.not_leader();
        let Some(state) = self.leader_state() else {
            return Err(hint);
        };
        state.new_reads.push(request);
        Ok(())
    }

    /// Begins a round for the reads that came since the last one.
    ///
    /// Not before an entry of the own term is committed: until then the commit index may lag behind
    /// what earlier leaders acknowledged.
    pub(crate) fn begin_read_round(&mut self) {
        if !self.has_committed_own_term() {
            return;
        }
        let index = self.commit_index;
        let Some(state) = self.leader_state() else {
            return;
        };
        if state.new_reads.is_empty() {
            return;
        }
        state.last_round += 1;
        state.message_due = true;
        let requests = std::mem::take(&mut state.new_reads);
        state.rounds.push_back(ReadRound {
            round: state.last_round,
            index,
            requests,
        });
    }

    /// Confirms the rounds that a quorum has answered. Who answered in this term after the round
    /// began had not helped to elect a newer leader before it began.
    pub(crate) fn confirm_reads(&mut self) {
        let own = self.options.node;
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let last_round = state.last_round;
        let confirmed = self.configurations.latest().quorum_value(|voter| {
            if voter == own {
                return last_round;
            }
            state.peers.get(&voter).map_or(0, |peer| peer.read_sequence)
        });
        while let Some(round) = state.rounds.pop_front_if(|round| round.round <= confirmed) {
            let index = round.index;
            let reads = round.requests.into_iter();
            self.confirmed_reads
                .extend(reads.map(|request| ConfirmedRead { request, index }));
        }
    }
}
