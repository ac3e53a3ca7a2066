//! The tokens of one line of a scenario file.

use std::time::Duration;

const MILLIS_PER_SECOND: u64 = 1000;

/// Reads a line token by token.
pub struct Tokens<'line> {
    tokens: std::iter::Peekable<std::str::SplitWhitespace<'line>>,
}

impl<'line> Tokens<'line> {
    /// The tokens of `line`.
    #[must_use]
    pub fn new(line: &'line str) -> Self {
        Self {
            tokens: line.split_whitespace().peekable(),
        }
    }

    /// The next token, which must exist.
    pub fn next(&mut self, what: &str) -> Result<&'line str, String> {
        self.tokens
            .next()
            .ok_or_else(|| format!("{what} is missing"))
    }

    /// Takes the next token if it is `token`.
    pub fn take(&mut self, token: &str) -> bool {
        self.tokens.next_if(|next| *next == token).is_some()
    }

    /// The next token must be `token`.
    pub fn expect(&mut self, token: &str) -> Result<(), String> {
        let next = self.next(token)?;
        if next == token {
            return Ok(());
        }
        Err(format!("expected {token:?}, found {next:?}"))
    }

    /// An integer; `suffix`, if not empty, must follow it directly.
    pub fn number<N: std::str::FromStr>(&mut self, suffix: &str) -> Result<N, String> {
        let token = self.next("a number")?;
        let digits = token
            .strip_suffix(suffix)
            .ok_or_else(|| format!("{token:?} must end with {suffix:?}"))?;
        digits
            .parse()
            .map_err(|_| format!("{token:?} is not a number"))
    }

    /// A length of time such as `250ms` or `3s`.
    pub fn duration(&mut self) -> Result<Duration, String> {
        let token = self.next("a length of time")?;
        parse_duration(token).ok_or_else(|| format!("{token:?} is not a length of time"))
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
        match self.tokens.next() {
            None => Ok(()),
            Some(token) => Err(format!("unexpected {token:?}")),
        }
    }
}

fn parse_duration(token: &str) -> Option<Duration> {
    if let Some(millis) = token.strip_suffix("ms") {
        return millis.parse().ok().map(Duration::from_millis);
    }
    let seconds: u64 = token.strip_suffix('s')?.parse().ok()?;
    Some(Duration::from_millis(seconds * MILLIS_PER_SECOND))
}
