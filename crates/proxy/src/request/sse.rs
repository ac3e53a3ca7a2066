//! Decoder for server-sent events.

/// Largest event accepted, in bytes.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

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
    /// An event is larger than [`MAX_EVENT_BYTES`].
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct SseDecoder {
    buffer: Vec<u8>,
}

impl SseDecoder {
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
    /// Fails when an event is not valid UTF-8 or is too large.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, SseError> {
        while let Some(end) = event_end(&self.buffer) {
            let block: Vec<u8> = self.buffer.drain(..end).collect();
            let event = parse_event(&block)?;
            if !event.name.is_empty() || !event.data.is_empty() {
                return Ok(Some(event));
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(SseError::TooLarge);
        }
        Ok(None)
    }
}

/// Returns the position after the blank line that ends the first event, if it is complete.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in buffer.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buffer[line_start..position];
        if line.is_empty() || line == b"\r" {
            return Some(position + 1);
        }
        line_start = position + 1;
    }
    None
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
