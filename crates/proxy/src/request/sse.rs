//! Decoder for server-sent events.

use std::sync::Arc;

use millford_bounded_io::{BufferError, BufferReservation, MemoryBudget, Reader, Source};

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// Name of the event; empty if it has none.
    pub name: String,
    /// Data lines, joined by line feeds.
    pub data: String,
}

/// Reason why bytes cannot be decoded as an event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SseError {
    /// An event is not valid UTF-8.
    #[error("an event is not valid UTF-8")]
    NotUtf8(#[from] std::str::Utf8Error),
    /// An event is larger than the limit, or has to give way to other buffers of the process.
    #[error("an event cannot be held: {0}")]
    OverLimit(#[from] BufferError),
}

/// Splits a byte stream into events.
#[derive(Debug)]
pub struct SseDecoder {
    buffer: Vec<u8>,
    held: BufferReservation,
    max_event_bytes: usize,
    /// Start of the first line whose end was not found yet.
    line_start: usize,
    /// Offset before which that line has no end.
    searched: usize,
}

impl SseDecoder {
    /// Creates a decoder of the events of one source, each of at most `max_event_bytes`.
    #[must_use]
    pub fn new(budget: &Arc<MemoryBudget>, source: Source, max_event_bytes: usize) -> Self {
        Self {
            buffer: Vec::new(),
            held: BufferReservation::new(budget, Reader::Answer, source),
            max_event_bytes,
            line_start: 0,
            searched: 0,
        }
    }

    /// Appends received bytes; they must be added in the order of arrival.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns how many bytes are not part of an event returned so far.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and returns the next complete event, or `None` while more bytes are needed.
    ///
    /// # Errors
    /// Fails when an event is not valid UTF-8, is too large or has to give way to others.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, SseError> {
        while let Some(end) = self.event_end() {
            let block: Vec<u8> = self.buffer.drain(..end).collect();
            self.line_start = 0;
            self.searched = 0;
            let event = parse_event(&block)?;
            if !event.name.is_empty() || !event.data.is_empty() {
                return Ok(Some(event));
            }
        }
        if self.buffer.len() > self.max_event_bytes {
            return Err(BufferError::TooLarge.into());
        }
        let held = self.held.resize(self.buffer.capacity());
        held.map_err(BufferError::from)?;
        Ok(None)
    }

    /// Completes once the incomplete event has had to give way to other buffers of the process.
    pub async fn revoked(&self) {
        self.held.revoked().await;
    }

    /// Returns the position after the blank line that ends the first event, if it is complete. Bytes that were searched
    /// before are not searched again, since the peer decides how many parts an event arrives in.
    fn event_end(&mut self) -> Option<usize> {
        while let Some(offset) = self.buffer[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line_end = self.searched + offset;
            let line = &self.buffer[self.line_start..line_end];
            let is_blank = line.is_empty() || line == b"\r";
            self.line_start = line_end + 1;
            self.searched = line_end + 1;
            if is_blank {
                return Some(line_end + 1);
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

fn parse_event(block: &[u8]) -> Result<SseEvent, SseError> {
    let text = std::str::from_utf8(block)?;
    let mut event = SseEvent::default();
    let mut has_data = false;
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "data" if has_data => {
                event.data.push('\n');
                event.data.push_str(value);
            }
            "data" => {
                event.data.push_str(value);
                has_data = true;
            }
            "event" => event.name.push_str(value),
            _ => {}
        }
    }
    Ok(event)
}
