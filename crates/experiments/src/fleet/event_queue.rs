//! Event queue ordered by time; events at the same time keep the order in which they were added.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use millford_core::MonotonicTime;

use crate::fleet::event::Event;

/// Pending events of a simulation.
#[derive(Debug, Default)]
pub struct EventQueue {
    order: BinaryHeap<Reverse<Due>>,
    events: BTreeMap<u64, Event>,
    next_number: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: MonotonicTime,
    number: u64,
}

impl EventQueue {
    /// Schedules an event for the time `at`.
    pub fn add(&mut self, at: MonotonicTime, event: Event) {
        let number = self.next_number;
        self.next_number += 1;
        self.order.push(Reverse(Due { at, number }));
        self.events.insert(number, event);
    }

    /// Removes and returns the next event; `None` if there is none at or before `until`.
    pub fn next(&mut self, until: MonotonicTime) -> Option<(MonotonicTime, Event)> {
        let Reverse(due) = *self.order.peek()?;
        if due.at > until {
            return None;
        }
        self.order.pop();
        let event = self.events.remove(&due.number)?;
        Some((due.at, event))
    }
}
