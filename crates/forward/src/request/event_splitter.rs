//! Splits an event stream into complete events.

use bytes::{Buf, Bytes, BytesMut};

/// One event, its closing blank line included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes as the backend sent them.
    pub bytes: Bytes,
    /// The event's id, if it is an unsigned integer.
    pub id: Option<u64>,
}

/// Takes bytes as they arrive and returns the events that are complete.
///
/// A backend may be lost in the middle of an event; an incomplete event must not reach
/// the caller of a stream that another backend resumes.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// The buffer holds no end of an event before this offset.
    searched: usize,
}

impl EventSplitter {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.event_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// What is left at the end of a stream: nothing, unless it ended within an event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        let length = self.buffer.remaining();
        self.buffer.split_to(length).freeze()
    }

    /// Drops what is left of a stream whose backend was lost.
    pub fn reset(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// End of the first event: behind the first empty line.
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

/// Bytes of the longest blank line with the line end before it.
const LONGEST_BLANK_LINE: usize = 4;

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
