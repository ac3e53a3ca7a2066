//! Text of an emulated response: a pure function of the prompt's marker, the run and the sequence
//! number, so that a caller can tell which request each chunk responds to.

use xxhash_rust::xxh3::xxh3_64;

/// Start of the marker in a prompt.
pub const MARKER_START: &str = "[request:";
const MARKER_END: char = ']';
const WORDS: [&str; 32] = [
    "morgunn", "fjall", "alda", "ljós", "vindur", "steinn", "bátur", "vegur", "hraun", "jökull",
    "skip", "bók", "eldur", "haf", "ský", "regn", "pluie", "saison", "fleuve", "savane", "orage",
    "mil", "vent", "station", "semis", "lac", "sable", "ciel", "aube", "marée", "crue", "soir",
];

/// Generator of the text of one emulated response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerText {
    marker: String,
    run: String,
}

impl AnswerText {
    /// Creates the generator of the response of `run` to the prompt that contains `marker`.
    #[must_use]
    pub fn new(marker: &str, run: &str) -> Self {
        Self {
            marker: marker.to_owned(),
            run: run.to_owned(),
        }
    }

    /// Returns the text of the chunk `sequence`. Chunk 0 consists of the marker and the run.
    #[must_use]
    pub fn chunk(&self, sequence: u64) -> String {
        if sequence == 0 {
            return format!("{{{} {}}} ", self.marker, self.run);
        }
        let hash = xxh3_64(format!("{}/{}/{sequence}", self.marker, self.run).as_bytes());
        let first = WORDS[usize::try_from(hash % 32).unwrap_or(0)];
        let second = WORDS[usize::try_from((hash >> 8) % 32).unwrap_or(0)];
        format!("{first} {second} ")
    }

    /// Returns the text of a complete response of `chunks` chunks.
    #[must_use]
    pub fn full_text(&self, chunks: u64) -> String {
        (0..chunks).map(|sequence| self.chunk(sequence)).collect()
    }

    /// Parses marker and run from the text of chunk 0; `None` if it is not one.
    #[must_use]
    pub fn announced_by(first_chunk: &str) -> Option<Self> {
        let inner = first_chunk.trim_end().strip_prefix('{')?.split_once('}')?.0;
        let (marker, run) = inner.split_once(' ')?;
        Some(Self::new(marker, run))
    }

    /// Returns the marker of the prompt.
    #[must_use]
    pub fn marker(&self) -> &str {
        &self.marker
    }

    /// Returns the id of the run.
    #[must_use]
    pub fn run(&self) -> &str {
        &self.run
    }
}

/// Returns the last marker in `text`, without its delimiters.
#[must_use]
pub fn find_marker(text: &str) -> Option<&str> {
    let start = text.rfind(MARKER_START)? + MARKER_START.len();
    let length = text[start..].find(MARKER_END)?;
    Some(&text[start..start + length])
}

/// Returns `marker` with its delimiters, as it appears in a prompt.
#[must_use]
pub fn marker_text(marker: &str) -> String {
    format!("{MARKER_START}{marker}{MARKER_END}")
}
