//! Syntax errors of scenario files.

use std::num::ParseIntError;

use thiserror::Error;

/// Syntax error of a scenario file, with its line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {source}")]
pub struct ParseError {
    /// Line number, from 1.
    pub line: usize,
    /// Error in the statement of that line.
    pub source: StatementError,
}

/// Syntax error in a statement of a scenario file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StatementError {
    /// The line ends before the statement is complete.
    #[error("{expected} is missing")]
    Missing {
        /// Description of the token that should follow.
        expected: &'static str,
    },
    /// The statement requires a keyword, but another token follows.
    #[error("expected {expected:?}, found {found:?}")]
    UnexpectedToken {
        /// Required keyword.
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
    /// A token follows a complete statement.
    #[error("unexpected {found:?} after the statement")]
    TrailingToken {
        /// The token of the file.
        found: String,
    },
    /// A number does not end with its unit.
    #[error("{found:?} must end with {suffix:?}")]
    MissingSuffix {
        /// The token of the file.
        found: String,
        /// Unit that must follow the number.
        suffix: &'static str,
    },
    /// A token is not an integer, or is out of range.
    #[error("{found:?} is not an integer in the allowed range")]
    InvalidNumber {
        /// The token of the file.
        found: String,
        /// Error of the integer parser.
        source: ParseIntError,
    },
    /// The selector after a target keyword is neither a number nor `any` nor `leader`.
    #[error("{found:?} is not a number, any or leader")]
    InvalidChoice {
        /// The token of the file.
        found: String,
        /// Error of the integer parser.
        source: ParseIntError,
    },
    /// A token is not a duration in `ms` or `s`.
    #[error("{found:?} is not a duration in ms or s")]
    InvalidDuration {
        /// The token of the file.
        found: String,
    },
    /// A token is not one of the keywords that are allowed there.
    #[error("unknown {kind} {found:?}")]
    UnknownKeyword {
        /// What the keyword should name.
        kind: &'static str,
        /// The token of the file.
        found: String,
    },
    /// `roll` names something other than `cores`, `fronts` or `models`.
    #[error("rolling restart of {found:?} is not supported; expected cores, fronts or models")]
    InvalidRoll {
        /// The token of the file.
        found: String,
    },
    /// The end of a draw is not after its start.
    #[error("the end of the draw must be after its start")]
    EmptyDraw,
    /// The file has no `scenario` statement.
    #[error("the file has no `scenario` statement")]
    NoName,
    /// The file has no `site` statement.
    #[error("the file has no `site` statement")]
    NoSite,
}

impl StatementError {
    /// Returns [`StatementError::UnknownKeyword`].
    pub(crate) fn unknown(kind: &'static str, found: &str) -> Self {
        Self::UnknownKeyword {
            kind,
            found: found.to_owned(),
        }
    }
}
