//! The text of simulated pieces: it names content, run and place, so that callers can tell.

use crate::history::{ContentNumber, Piece};

const START: &str = "<<";
const END: &str = ">>";

/// Text of a piece.
#[must_use]
pub fn mark_of(piece: &Piece) -> String {
    let last = u8::from(piece.last);
    format!(
        "{START}{} {:x} {} {last}{END}",
        piece.content.0, piece.run, piece.sequence
    )
}

/// Pieces whose marks stand in a text.
#[must_use]
pub fn read_marks(text: &str) -> Vec<Piece> {
    let starts = text.split(START).skip(1);
    let marks = starts.filter_map(|rest| rest.split_once(END));
    marks.filter_map(|(mark, _)| read_mark(mark)).collect()
}

fn read_mark(mark: &str) -> Option<Piece> {
    let mut words = mark.split(' ');
    let content = ContentNumber(words.next()?.parse().ok()?);
    let run = u64::from_str_radix(words.next()?, 16).ok()?;
    let sequence = words.next()?.parse().ok()?;
    let last = words.next()? == "1";
    Some(Piece {
        content,
        run,
        sequence,
        last,
    })
}
