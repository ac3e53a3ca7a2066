//! Tokenizer of one line of a scenario file.

use std::iter::Peekable;
use std::num::ParseIntError;
use std::str::{FromStr, SplitWhitespace};
use std::time::Duration;

use crate::scenario::parse_error::StatementError;

const MILLIS_PER_SECOND: u64 = 1000;

/// Reads a line token by token; tokens are separated by white space.
pub(crate) struct Tokens<'line> {
    tokens: Peekable<SplitWhitespace<'line>>,
}

impl<'line> Tokens<'line> {
    /// Creates a reader at the start of `line`.
    pub(crate) fn new(line: &'line str) -> Self {
        Self {
            tokens: line.split_whitespace().peekable(),
        }
    }

    /// Takes the next token, which must exist; `expected` describes it in the error.
    pub(crate) fn next(&mut self, expected: &'static str) -> Result<&'line str, StatementError> {
        self.tokens
            .next()
            .ok_or(StatementError::Missing { expected })
    }

    /// Takes the next token if it is `keyword`. Returns whether it was.
    pub(crate) fn take(&mut self, keyword: &str) -> bool {
        self.tokens.next_if(|next| *next == keyword).is_some()
    }

    /// Takes the next token, which must be `keyword`.
    pub(crate) fn expect(&mut self, keyword: &'static str) -> Result<(), StatementError> {
        let found = self.next(keyword)?;
        if found == keyword {
            return Ok(());
        }
        Err(StatementError::UnexpectedToken {
            expected: keyword,
            found: found.to_owned(),
        })
    }

    /// Takes an integer.
    pub(crate) fn number<N>(&mut self) -> Result<N, StatementError>
    where
        N: FromStr<Err = ParseIntError>,
    {
        self.number_with_suffix("")
    }

    /// Takes an integer that is directly followed by `suffix`.
    pub(crate) fn number_with_suffix<N>(
        &mut self,
        suffix: &'static str,
    ) -> Result<N, StatementError>
    where
        N: FromStr<Err = ParseIntError>,
    {
        let token = self.next("a number")?;
        let found = || token.to_owned();
        let digits = token
            .strip_suffix(suffix)
            .ok_or_else(|| StatementError::MissingSuffix {
                found: found(),
                suffix,
            })?;
        digits
            .parse()
            .map_err(|source| StatementError::InvalidNumber {
                found: found(),
                source,
            })
    }

    /// Takes a duration such as `250ms` or `3s`.
    pub(crate) fn duration(&mut self) -> Result<Duration, StatementError> {
        let token = self.next("a duration")?;
        parse_duration(token).ok_or_else(|| StatementError::InvalidDuration {
            found: token.to_owned(),
        })
    }

    /// Takes `for` and a duration.
    pub(crate) fn length(&mut self) -> Result<Duration, StatementError> {
        self.expect("for")?;
        self.duration()
    }

    /// Takes `for` and a duration if the next token is `for`; else returns `default`.
    pub(crate) fn length_or(&mut self, default: Duration) -> Result<Duration, StatementError> {
        if self.take("for") {
            return self.duration();
        }
        Ok(default)
    }

    /// Checks that no token is left.
    pub(crate) fn end(mut self) -> Result<(), StatementError> {
        match self.tokens.next() {
            None => Ok(()),
            Some(found) => Err(StatementError::TrailingToken {
                found: found.to_owned(),
            }),
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
