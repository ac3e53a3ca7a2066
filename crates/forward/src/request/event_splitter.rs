//! Splits a stream of server-sent events into complete events.

use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use millford_bounded_io::{BufferError, BufferReservation, MemoryBudget, Reader, Source};

/// One event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes as the backend sent them.
    pub bytes: Bytes,
    /// The event's id; `None` without one, or if it is not an unsigned integer.
    pub id: Option<u64>,
}

/// Buffers received bytes and returns complete events.
///
/// The connection to a backend may be lost in the middle of an event. If another backend resumes the stream, the
/// incomplete event must not have been forwarded to the caller.
#[derive(Debug)]
pub struct EventSplitter {
    buffer: BytesMut,
    held: BufferReservation,
    max_event_bytes: usize,
    /// Offset before which the buffer contains no end of an event.
    searched: usize,
}

impl Default for EventSplitter {
    /// A splitter without a limit.
    fn default() -> Self {
        Self::new(&MemoryBudget::unlimited(), Source::Connection, usize::MAX)
    }
}

impl EventSplitter {
    /// Creates an empty buffer for events of at most `max_event_bytes` from `source`.
    #[must_use]
    pub fn new(budget: &Arc<MemoryBudget>, source: Source, max_event_bytes: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            held: BufferReservation::new(budget, Reader::Answer, source),
            max_event_bytes,
            searched: 0,
        }
    }

    /// Appends received bytes to the buffer, after [`Self::next_event`] has returned `None`.
    ///
    /// # Errors
    /// Fails when the incomplete event is too large, or the budget of the process does not allow more.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BufferError> {
        if self.buffer.len() > self.max_event_bytes {
            return Err(BufferError::TooLarge);
        }
        self.buffer.extend_from_slice(bytes);
        self.held.resize(self.buffer.capacity())?;
        Ok(())
    }

    /// Completes once the buffer has had to give way to others.
    pub async fn revoked(&self) {
        self.held.revoked().await;
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.event_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Removes and returns the remaining bytes at the end of a stream: empty unless it ended within an event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.searched = 0;
        let length = self.buffer.remaining();
        self.buffer.split_to(length).freeze()
    }

    /// Returns the offset after the first event, which ends with a blank line; `None` if no event is complete.
    fn event_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(LONGEST_BLANK_LINE);
        let buffer = &self.buffer;
        let found = (from..buffer.len()).find_map(|at| blank_line_at(&buffer[at..], at));
        if found.is_none() {
            self.searched = buffer.len();
        }
        found
    }
}

/// Number of bytes before the end of the searched part that are searched again, because they may be the beginning
/// of a blank line that was incomplete.
const LONGEST_BLANK_LINE: usize = 4;

/// Returns the offset after the blank line if `rest`, which begins at offset `at`, begins with a line end and a
/// blank line.
fn blank_line_at(rest: &[u8], at: usize) -> Option<usize> {
    if rest.starts_with(b"\n\n") {
        return Some(at + 2);
    }
    if rest.starts_with(b"\n\r\n") {
        return Some(at + 3);
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    text.trim().parse().ok()
}
