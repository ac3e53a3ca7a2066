//! The words of one line of a scenario file.

use std::time::Duration;

const MILLIS_PER_SECOND: u64 = 1000;

/// Reads a line word by word; errors are texts without a line number.
pub struct Words<'line> {
    words: std::iter::Peekable<std::str::SplitWhitespace<'line>>,
}

impl<'line> Words<'line> {
    /// The words of `line`.
    #[must_use]
    pub fn new(line: &'line str) -> Self {
        Self {
            words: line.split_whitespace().peekable(),
        }
    }

    /// The next word, which must exist.
    pub fn next(&mut self, what: &str) -> Result<&'line str, String> {
        self.words
            .next()
            .ok_or_else(|| format!("{what} is missing"))
    }

    /// Takes the next word if it is `word`.
    pub fn take(&mut self, word: &str) -> bool {
        self.words.next_if(|next| *next == word).is_some()
    }

    /// The next word must be `word`.
    pub fn expect(&mut self, word: &str) -> Result<(), String> {
        let next = self.next(word)?;
        if next == word {
            return Ok(());
        }
        Err(format!("expected {word:?}, found {next:?}"))
    }

    /// A whole number; `suffix`, if not empty, must follow it directly.
    pub fn number<N: std::str::FromStr>(&mut self, suffix: &str) -> Result<N, String> {
        let word = self.next("a number")?;
        let digits = word
            .strip_suffix(suffix)
            .ok_or_else(|| format!("{word:?} must end with {suffix:?}"))?;
        digits
            .parse()
            .map_err(|_| format!("{word:?} is not a number"))
    }

    /// A length of time such as `250ms` or `3s`.
    pub fn duration(&mut self) -> Result<Duration, String> {
        let word = self.next("a length of time")?;
        parse_duration(word).ok_or_else(|| format!("{word:?} is not a length of time"))
    }

    /// `for` and a length of time.
    pub fn length(&mut self) -> Result<Duration, String> {
        self.expect("for")?;
        self.duration()
    }

    /// `for` and a length of time if present, else `default`.
    pub fn length_or(&mut self, default: Duration) -> Result<Duration, String> {
        if self.take("for") {
            return self.duration();
        }
        Ok(default)
    }

    /// Nothing may follow.
    pub fn end(mut self) -> Result<(), String> {
        match self.words.next() {
            None => Ok(()),
            Some(word) => Err(format!("unexpected {word:?}")),
        }
    }
}

fn parse_duration(word: &str) -> Option<Duration> {
    if let Some(millis) = word.strip_suffix("ms") {
        return millis.parse().ok().map(Duration::from_millis);
    }
    let seconds: u64 = word.strip_suffix('s')?.parse().ok()?;
    Some(Duration::from_millis(seconds * MILLIS_PER_SECOND))
}
