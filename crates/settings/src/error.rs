//! Errors of the command line and the settings file, with their place.

use miette::{Diagnostic, NamedSource, SourceSpan};
use millford_core::ResultCode;
use thiserror::Error;

/// A settings file that is not valid, with the place of the fault.
#[derive(Debug, Error, Diagnostic)]
#[error("{path}:{line}: {message}")]
#[diagnostic(code(settings_invalid_7001))]
pub struct InvalidFile {
    /// Path as given.
    pub path: String,
    /// Line of the fault, from 1.
    pub line: usize,
    /// The parser's description of the fault.
    pub message: String,
    /// Text of the file.
    #[source_code]
    pub text: NamedSource<String>,
    /// Place of the fault.
    #[label("here")]
    pub span: SourceSpan,
}

/// Why the settings could not be used. All are result code 7001.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read settings file {path}: {source}")]
    #[diagnostic(code(settings_invalid_7001))]
    Unreadable {
        /// Path as given.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file is not valid, at one place.
    #[error(transparent)]
    #[diagnostic(transparent)]
    InvalidFile(Box<InvalidFile>),
    /// Values are missing or out of range; all are listed.
    #[error("the settings have faults:\n{list}")]
    #[diagnostic(code(settings_invalid_7001))]
    Faults {
        /// One line for each fault.
        list: String,
    },
    /// A flag is unknown, repeated or lacks its value.
    #[error(transparent)]
    #[diagnostic(code(settings_invalid_7001), help("run with --help to see every flag"))]
    Flag(#[from] getopts::Fail),
    /// An argument is no flag.
    #[error("unexpected argument \"{argument}\"")]
    #[diagnostic(code(settings_invalid_7001), help("run with --help to see every flag"))]
    UnexpectedArgument {
        /// The argument.
        argument: String,
    },
    /// The value of a flag has the wrong type.
    #[error("--{flag} takes {expected}, not \"{value}\"")]
    #[diagnostic(code(settings_invalid_7001), help("run with --help to see every flag"))]
    FlagValue {
        /// Name of the flag, without the leading dashes.
        flag: String,
        /// What the flag takes.
        expected: &'static str,
        /// Value as given.
        value: String,
    },
    /// The values of the flags do not fit the settings, for instance a number out of its range.
    #[error("{}", .0.message())]
    #[diagnostic(code(settings_invalid_7001), help("run with --help to see every flag"))]
    FlagRange(Box<toml::de::Error>),
}

impl SettingsError {
    /// The numbered result code.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        ResultCode::SettingsInvalid
    }
}
