//! Confirmed reads: proof that this replica still leads, at an index (`ReadIndex`, Raft thesis,
//! section 6.4).

use crate::progress::Progress;
use crate::role::RoleState;
use crate::{NotLeader, Replica};

impl Replica {
    /// Requests a confirmed read. `request` comes back in a flush, in [`crate::Ready::confirmed_reads`]
    /// or [`crate::Ready::failed_reads`].
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
    /// Not before an entry of the own term is committed: until then the commit index may lag behind
    /// what earlier leaders acknowledged.
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
    /// A replica that answered in this term after the broadcast began had not helped to elect a newer
    /// leader before it began; so no newer leader can have committed anything by then.
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
