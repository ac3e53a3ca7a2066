//! Text of simulated chunks. It contains content, run and sequence number, so that callers can check them.

use crate::history::{Chunk, ContentNumber};

const START: &str = "<<";
const END: &str = ">>";

/// Returns the text of a chunk.
#[must_use]
pub fn chunk_text(chunk: &Chunk) -> String {
    let last = u8::from(chunk.last);
    format!(
        "{START}{} {:x} {} {last}{END}",
        chunk.content.0, chunk.run, chunk.sequence
    )
}

/// Parses the chunks in a text; other parts of the text are ignored.
#[must_use]
pub fn read_chunks(text: &str) -> Vec<Chunk> {
    let starts = text.split(START).skip(1);
    let texts = starts.filter_map(|rest| rest.split_once(END));
    texts.filter_map(|(text, _)| read_chunk(text)).collect()
}

fn read_chunk(text: &str) -> Option<Chunk> {
    let mut tokens = text.split(' ');
    let content = ContentNumber(tokens.next()?.parse().ok()?);
    let run = u64::from_str_radix(tokens.next()?, 16).ok()?;
    let sequence = tokens.next()?.parse().ok()?;
    let last = tokens.next()? == "1";
    Some(Chunk {
        content,
        run,
        sequence,
        last,
    })
}
