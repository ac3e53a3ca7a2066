//! Which machines cannot reach which others now.

use std::collections::BTreeMap;

use crate::network::process_id::MachineId;

/// Directed cuts, counted so that overlapping faults heal one by one.
#[derive(Default)]
pub struct CutTable {
    cuts: BTreeMap<(MachineId, MachineId), u32>,
}

impl CutTable {
    /// Packets from `from` to `to` vanish from now on.
    pub fn cut(&mut self, from: MachineId, to: MachineId) {
        *self.cuts.entry((from, to)).or_default() += 1;
    }

    /// Ends one cut of the direction.
    pub fn heal(&mut self, from: MachineId, to: MachineId) {
        let Some(count) = self.cuts.get_mut(&(from, to)) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.cuts.remove(&(from, to));
        }
    }

    /// Whether packets from `from` to `to` vanish.
    #[must_use]
    pub fn is_cut(&self, from: MachineId, to: MachineId) -> bool {
        self.cuts.contains_key(&(from, to))
    }

    /// Whether a connection between the two makes progress: TCP needs both directions.
    #[must_use]
    pub fn is_passable(&self, one: MachineId, other: MachineId) -> bool {
        !self.is_cut(one, other) && !self.is_cut(other, one)
    }
}
