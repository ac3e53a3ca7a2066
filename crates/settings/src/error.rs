//! Errors of the command line and the settings file, with their location.

use miette::{Diagnostic, NamedSource, SourceSpan};
use millford_core::ResultCode;
use thiserror::Error;

/// A settings file that cannot be parsed, with the location of the error.
#[derive(Debug, Error, Diagnostic)]
#[error("{path}:{line}: {message}")]
#[diagnostic(code(settings_invalid_7001))]
pub struct InvalidFile {
    /// Path of the file, as given on the command line.
    pub path: String,
    /// Line of the error, from 1.
    pub line: usize,
    /// Error message of the TOML parser.
    pub message: String,
    /// Content of the file.
    #[source_code]
    pub text: NamedSource<String>,
    /// Location of the error in the file, in bytes.
    #[label("here")]
    pub span: SourceSpan,
}

/// Reason why the command line or the settings were rejected. All have result code 7001.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The settings file cannot be read, or is not UTF-8.
    #[error("cannot read settings file {path}: {source}")]
    #[diagnostic(code(settings_invalid_7001))]
    Unreadable {
        /// Path of the file, as given on the command line.
        path: String,
        /// Error of the operating system or of the decoding.
        source: std::io::Error,
    },
    /// The settings file is not valid TOML, has an unknown key or a value of the wrong type.
    #[error(transparent)]
    #[diagnostic(transparent)]
    InvalidFile(Box<InvalidFile>),
    /// Values are missing or out of range. The message lists all of them.
    #[error("the settings are invalid:\n{list}")]
    #[diagnostic(code(settings_invalid_7001))]
    Faults {
        /// One line for each invalid value.
        list: String,
    },
    /// A flag is unknown, repeated or lacks its value.
    #[error(transparent)]
    #[diagnostic(code(settings_invalid_7001), help("run with --help to list all flags"))]
    Flag(#[from] getopts::Fail),
    /// The command line has an argument that is not a flag.
    #[error("unexpected argument \"{argument}\"")]
    #[diagnostic(code(settings_invalid_7001), help("run with --help to list all flags"))]
    UnexpectedArgument {
        /// The first such argument.
        argument: String,
    },
    /// The value of a flag has the wrong type.
    #[error("--{flag} takes {expected}, not \"{value}\"")]
    #[diagnostic(code(settings_invalid_7001), help("run with --help to list all flags"))]
    FlagValue {
        /// Name of the flag, without the leading dashes.
        flag: String,
        /// Description of the type, for example `a whole number`.
        expected: &'static str,
        /// Value as given on the command line.
        value: String,
    },
    /// The value of a flag cannot be converted to the setting's type, for example because a number
    /// is out of range.
    #[error("{}", .0.message())]
    #[diagnostic(code(settings_invalid_7001), help("run with --help to list all flags"))]
    FlagRange(Box<toml::de::Error>),
}

impl SettingsError {
    /// The result code, which is the same for all variants.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        ResultCode::SettingsInvalid
    }
}
