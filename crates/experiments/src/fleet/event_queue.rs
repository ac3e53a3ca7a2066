//! Events in order of time; events of one moment in the order in which they were added.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use millford_core::MonotonicTime;

use crate::fleet::event::Event;

/// The queue of a simulation.
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
    /// Adds an event.
    pub fn add(&mut self, at: MonotonicTime, event: Event) {
        let number = self.next_number;
        self.next_number += 1;
        self.order.push(Reverse(Due { at, number }));
        self.events.insert(number, event);
    }

    /// Takes the next event up to and with `until`.
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
