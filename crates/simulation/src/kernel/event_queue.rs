//! Priority queue of events by simulated time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use millford_core::MonotonicTime;

struct Entry<E> {
    at: MonotonicTime,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    // Reversed, since the heap pops its largest entry first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Queue of future events. Events at the same time are popped in the order in which they were pushed.
pub struct EventQueue<E> {
    heap: BinaryHeap<Entry<E>>,
    next_sequence: u64,
    now: MonotonicTime,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_sequence: 0,
            now: MonotonicTime::ZERO,
        }
    }
}

impl<E> EventQueue<E> {
    /// Returns the simulated time: that of the event popped last.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        self.now
    }

    /// Adds an event at time `at`, or now if `at` has passed.
    pub fn push(&mut self, at: MonotonicTime, event: E) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Entry {
            at: at.max(self.now),
            sequence,
            event,
        });
    }

    /// Takes the earliest event and advances the simulated time to it.
    pub fn pop(&mut self) -> Option<(MonotonicTime, E)> {
        let entry = self.heap.pop()?;
        self.now = entry.at;
        Some((entry.at, entry.event))
    }
}
