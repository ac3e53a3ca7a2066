//! Which front machines are in touch, and since when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use millford_core::MonotonicTime;

use crate::history::{FrontNumber, Record};
use crate::network::MachineId;

/// After this much calm a front machine counts as in touch, whatever its agent says.
const CALM_IS_TOUCH: Duration = Duration::from_secs(12);

#[derive(Default)]
struct FrontTouch {
    claimed_since: Option<MonotonicTime>,
    faults: BTreeSet<u32>,
    calm_since: MonotonicTime,
}

/// Touch of every front machine and calm of the whole site.
#[derive(Default)]
pub struct TouchTable {
    fronts: BTreeMap<FrontNumber, FrontTouch>,
    faults: BTreeSet<u32>,
    calm_since: MonotonicTime,
}

impl TouchTable {
    /// Learns from a record.
    pub fn observe(&mut self, at: MonotonicTime, record: &Record) {
        match record {
            Record::Touch { front, in_touch } => self.claim(at, *front, *in_touch),
            Record::FaultBegan { fault, machines } => self.begin(*fault, machines),
            Record::FaultEnded { fault, machines } => self.end(at, *fault, machines),
            _ => {}
        }
    }

    fn claim(&mut self, at: MonotonicTime, front: FrontNumber, in_touch: bool) {
        let touch = self.fronts.entry(front).or_default();
        touch.claimed_since = match in_touch {
            true => touch.claimed_since.or(Some(at)),
            false => None,
        };
    }

    fn begin(&mut self, fault: u32, machines: &[MachineId]) {
        self.faults.insert(fault);
        for front in fronts_of(machines) {
            self.fronts.entry(front).or_default().faults.insert(fault);
        }
    }

    fn end(&mut self, at: MonotonicTime, fault: u32, machines: &[MachineId]) {
        self.faults.remove(&fault);
        self.calm_since = at;
        for front in fronts_of(machines) {
            let touch = self.fronts.entry(front).or_default();
            touch.faults.remove(&fault);
            touch.calm_since = at;
        }
    }

    /// Since when nothing at all is disturbed.
    #[must_use]
    pub fn calm_since(&self) -> Option<MonotonicTime> {
        self.faults.is_empty().then_some(self.calm_since)
    }

    /// Since when the front machine is in touch and undisturbed.
    #[must_use]
    pub fn touch_since(&self, front: FrontNumber) -> Option<MonotonicTime> {
        let touch = self.fronts.get(&front)?;
        if !touch.faults.is_empty() {
            return None;
        }
        let by_calm = self.calm_since().map(|since| since + CALM_IS_TOUCH);
        let since = match (touch.claimed_since, by_calm) {
            (Some(claimed), Some(calm)) => claimed.min(calm),
            (Some(claimed), None) => claimed,
            (None, calm) => calm?,
        };
        Some(since.max(touch.calm_since))
    }

    /// Every front machine heard of.
    pub fn fronts(&self) -> impl Iterator<Item = FrontNumber> + '_ {
        self.fronts.keys().copied()
    }
}

fn fronts_of(machines: &[MachineId]) -> impl Iterator<Item = FrontNumber> + '_ {
    machines.iter().filter_map(|machine| match machine {
        MachineId::Front(number) => Some(FrontNumber(*number)),
        _ => None,
    })
}
