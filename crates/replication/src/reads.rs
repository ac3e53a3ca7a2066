//! Confirmed reads: linearizable reads without a log entry, by confirming the leadership at a
//! commit index (`ReadIndex`, Raft thesis, section 6.4).

use crate::progress::Progress;
use crate::role::RoleState;
use crate::{NotLeader, Replica};

impl Replica {
    /// Requests a confirmed read. A later flush returns `request`, a number chosen by the owner, in
    /// [`crate::Ready::confirmed_reads`] or [`crate::Ready::failed_reads`].
    ///
    /// # Errors
    /// [`NotLeader`] when this replica does not lead.
    pub fn read_index(&mut self, request: u64) -> Result<(), NotLeader> {
        let not_leader = self.not_leader();
        let state = self.leader_state().ok_or(not_leader)?;
        state.reads.push(request);
        Ok(())
    }

    /// Begins a broadcast for the reads that were requested since the last one.
    ///
    /// Waits until an entry of the leader's own term is committed: before that, the commit index
    /// may be lower than the index up to which earlier leaders have acknowledged entries.
    pub(crate) fn begin_read_batch(&mut self) {
        if !self.has_committed_own_term() {
            return;
        }
        let index = self.commit_index;
        if let Some(state) = self.leader_state()
            && state.reads.begin_batch(index)
        {
            state.broadcast_due = true;
        }
    }

    /// Confirms the reads whose broadcast a quorum has answered.
    ///
    /// A replica that answers the broadcast in this term had not voted for a newer leader before
    /// the broadcast began. With answers from a quorum, no newer leader can have been elected, or
    /// have committed an entry, before then.
    pub(crate) fn confirm_reads(&mut self) {
        let own = self.options.node;
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let last_sequence = state.reads.last_sequence();
        let answered = self.configurations.latest().quorum_value(|voter| {
            if voter == own {
                return last_sequence;
            }
            state.peers.get(&voter).map_or(0, Progress::read_sequence)
        });
        let confirmed = state.reads.take_confirmed(answered);
        self.pending.confirmed_reads.extend(confirmed);
    }
}
