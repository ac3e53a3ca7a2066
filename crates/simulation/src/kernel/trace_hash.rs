//! Running hash over the events of a run.

use xxhash_rust::xxh3::Xxh3;

/// Hash over the events of a run in order. Equal values show that two runs of a seed had the same history.
#[derive(Default)]
pub struct TraceHash {
    state: Xxh3,
    events: u64,
}

impl TraceHash {
    /// Adds an event: its simulated time in microseconds, the tag of its kind, and its bytes.
    pub fn add(&mut self, micros: u64, tag: u8, bytes: &[u8]) {
        self.events += 1;
        self.state.update(&micros.to_le_bytes());
        self.state.update(&[tag]);
        self.state.update(bytes);
    }

    /// Returns the number of events added.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the hash of the events added so far.
    #[must_use]
    pub fn value(&self) -> u64 {
        self.state.digest()
    }
}
