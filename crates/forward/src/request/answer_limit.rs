//! The limit of an answer that is relayed as it arrives: of each event of a stream, or else of the whole answer.

use crate::backend::Excess;
use crate::settings::ForwardBounds;

/// Counts what a backend sends against the limit of its answer.
#[derive(Clone, Copy, Debug)]
pub enum AnswerLimit {
    /// A stream may have any length, but not its events.
    Event {
        /// Largest event, in bytes.
        max_bytes: u64,
        /// Bytes since the end of the last event.
        since_event: u64,
        /// Whether the received bytes end with a line end.
        at_line_start: bool,
    },
    /// Any other answer.
    Whole {
        /// Largest answer, in bytes.
        max_bytes: u64,
        /// Bytes received so far.
        received: u64,
    },
}

impl AnswerLimit {
    /// Creates the limit of an answer on a route for streams, or on another route.
    #[must_use]
    pub fn of(bounds: &ForwardBounds, is_stream: bool) -> Self {
        if is_stream {
            return Self::Event {
                max_bytes: u64::try_from(bounds.max_event_bytes).unwrap_or(u64::MAX),
                since_event: 0,
                at_line_start: false,
            };
        }
        Self::Whole {
            max_bytes: bounds.max_answer_bytes,
            received: 0,
        }
    }

    /// Records received bytes.
    ///
    /// # Errors
    /// Fails with what is too large.
    pub fn record(&mut self, bytes: &[u8]) -> Result<(), Excess> {
        match self {
            Self::Event {
                max_bytes,
                since_event,
                at_line_start,
            } => {
                match last_blank_line(bytes, *at_line_start) {
                    Some(rest) => *since_event = rest as u64,
                    None => *since_event += bytes.len() as u64,
                }
                *at_line_start = ends_with_line_end(bytes, *at_line_start);
                within(*since_event, *max_bytes, Excess::Event)
            }
            Self::Whole {
                max_bytes,
                received,
            } => {
                *received += bytes.len() as u64;
                within(*received, *max_bytes, Excess::Answer)
            }
        }
    }
}

fn within(bytes: u64, max_bytes: u64, excess: Excess) -> Result<(), Excess> {
    if bytes > max_bytes {
        Err(excess)
    } else {
        Ok(())
    }
}

/// Returns the number of bytes after the last blank line, or `None` if there is none. `at_line_start` tells whether the
/// bytes before ended with a line end.
fn last_blank_line(bytes: &[u8], at_line_start: bool) -> Option<usize> {
    let mut end = bytes.len();
    while let Some(line_end) = bytes[..end].iter().rposition(|byte| *byte == b'\n') {
        let before = &bytes[..line_end];
        let before = before.strip_suffix(b"\r").unwrap_or(before);
        let is_blank = before.last().map_or(at_line_start, |byte| *byte == b'\n');
        if is_blank {
            return Some(bytes.len() - line_end - 1);
        }
        end = line_end;
    }
    None
}

/// Whether the bytes end with a line end, to which a carriage return may already follow.
fn ends_with_line_end(bytes: &[u8], at_line_start: bool) -> bool {
    let text = bytes.strip_suffix(b"\r").unwrap_or(bytes);
    text.last().map_or(at_line_start, |byte| *byte == b'\n')
}
