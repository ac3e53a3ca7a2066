//! Parser of server-sent events.

/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// Value of the `id` field, if any.
    pub id: Option<String>,
    /// Value of the `event` field, if any.
    pub event: Option<String>,
    /// Values of the `data` fields, concatenated without line breaks.
    pub data: String,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct SseReader {
    buffer: Vec<u8>,
}

impl SseReader {
    /// Appends bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<SseEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let block: Vec<u8> = self.buffer.drain(..end + 2).collect();
            events.push(parse(&String::from_utf8_lossy(&block)));
        }
        events
    }
}

fn parse(block: &str) -> SseEvent {
    let mut event = SseEvent::default();
    for line in block.lines() {
        let Some((field, value)) = line.split_once(':') else {
            continue;
        };
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => event.id = Some(value.to_owned()),
            "event" => event.event = Some(value.to_owned()),
            "data" if event.data.is_empty() => value.clone_into(&mut event.data),
            "data" => event.data.push_str(value),
            _ => {}
        }
    }
    event
}
