//! Errors of the command line and the settings file, with the place of the fault.

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
    /// What is wrong.
    pub message: String,
    /// The file's text.
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
    /// A flag is unknown or its value is wrong.
    #[error("{message}")]
    #[diagnostic(code(settings_invalid_7001), help("run with --help to see every flag"))]
    BadFlag {
        /// What is wrong.
        message: String,
    },
}

impl SettingsError {
    /// The numbered result code.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        ResultCode::SettingsInvalid
    }
}
