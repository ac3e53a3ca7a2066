//! Errors of scenario files.

use std::num::ParseIntError;

use thiserror::Error;

/// Why a scenario file cannot be parsed, with the line that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {source}")]
pub struct ParseError {
    /// Line number, from 1.
    pub line: usize,
    /// What is wrong with the line.
    pub source: StatementError,
}

/// Why a statement of a scenario file cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StatementError {
    /// The line ends too early.
    #[error("{expected} is missing")]
    Missing {
        /// What should follow.
        expected: &'static str,
    },
    /// Another token is found where a keyword is due.
    #[error("expected {expected:?}, found {found:?}")]
    UnexpectedToken {
        /// The keyword.
        expected: &'static str,
        /// The token of the file.
        found: String,
    },
    /// A bound has neither `<=` nor `>=`.
    #[error("expected <= or >=, found {found:?}")]
    UnexpectedComparison {
        /// The token of the file.
        found: String,
    },
    /// Something follows a complete statement.
    #[error("unexpected {found:?}")]
    TrailingToken {
        /// The token of the file.
        found: String,
    },
    /// A number lacks its unit.
    #[error("{found:?} must end with {suffix:?}")]
    MissingSuffix {
        /// The token of the file.
        found: String,
        /// The unit.
        suffix: &'static str,
    },
    /// A token should be a number of the right size.
    #[error("{found:?} is not a number")]
    InvalidNumber {
        /// The token of the file.
        found: String,
        /// Why it is none.
        source: ParseIntError,
    },
    /// A target is named neither by number nor by keyword.
    #[error("{found:?} is not a number, any or leader")]
    InvalidChoice {
        /// The token of the file.
        found: String,
        /// Why it is no number.
        source: ParseIntError,
    },
    /// A token should be a length of time.
    #[error("{found:?} is not a length of time")]
    InvalidDuration {
        /// The token of the file.
        found: String,
    },
    /// A token is none of the keywords of its kind.
    #[error("unknown {kind} {found:?}")]
    UnknownKeyword {
        /// Kind of keyword.
        kind: &'static str,
        /// The token of the file.
        found: String,
    },
    /// A rolling restart names something that cannot be restarted one by one.
    #[error("cannot roll {found:?}")]
    InvalidRoll {
        /// The token of the file.
        found: String,
    },
    /// The end of a draw is not after its start.
    #[error("the draw ends before it starts")]
    EmptyDraw,
    /// The file has no `scenario` statement.
    #[error("the scenario has no name")]
    NoName,
    /// The file has no `site` statement.
    #[error("the scenario names no site")]
    NoSite,
}

impl StatementError {
    /// A token that is none of the keywords of its kind.
    pub(crate) fn unknown(kind: &'static str, found: &str) -> Self {
        Self::UnknownKeyword {
            kind,
            found: found.to_owned(),
        }
    }
}
