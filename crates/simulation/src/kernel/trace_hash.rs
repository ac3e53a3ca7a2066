//! Running hash over everything that happened, in order.

use xxhash_rust::xxh3::Xxh3;

/// Hash of a run: the same seed gives the same value, so a replay can be trusted.
#[derive(Default)]
pub struct TraceHash {
    state: Xxh3,
    events: u64,
}

impl TraceHash {
    /// Adds one event: its true time in microseconds, a tag and its bytes.
    pub fn add(&mut self, micros: u64, tag: u8, bytes: &[u8]) {
        self.events += 1;
        self.state.update(&micros.to_le_bytes());
        self.state.update(&[tag]);
        self.state.update(bytes);
    }

    /// Number of events added.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// The hash so far.
    #[must_use]
    pub fn value(&self) -> u64 {
        self.state.digest()
    }
}
