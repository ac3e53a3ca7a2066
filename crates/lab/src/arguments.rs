//! Parses command-line arguments.

use std::path::PathBuf;
use std::str::FromStr;

use getopts::{Matches, Options};
use thiserror::Error;

use crate::fleet::Site;

/// Reason why a command line is invalid.
#[derive(Debug, Error)]
pub enum ArgumentError {
    /// An option is unknown, repeated or lacks its value.
    #[error(transparent)]
    Option(#[from] getopts::Fail),
    /// The command accepts no operands.
    #[error("unexpected argument \"{0}\"")]
    UnexpectedOperand(String),
    /// The command needs files and none is given.
    #[error("at least one {what} is required")]
    NoFile {
        /// Kind of the files, for instance `log file`.
        what: &'static str,
    },
    /// The value of an option cannot be parsed.
    #[error("--{option}: invalid value \"{value}\"")]
    BadValue {
        /// Name of the option.
        option: String,
        /// The value as given.
        value: String,
    },
    /// The value of an option is not one of its choices.
    #[error("--{option}: unknown {option} \"{value}\"")]
    UnknownChoice {
        /// Name of the option.
        option: &'static str,
        /// The value as given.
        value: String,
    },
    /// The value of an option is not of the required form or range.
    #[error("--{option} {requirement}")]
    Requirement {
        /// Name of the option.
        option: &'static str,
        /// Text that follows the name of the option, for instance `must be between 0 and 1`.
        requirement: &'static str,
    },
    /// The `bench` command has no measurement of this name.
    #[error("unknown measurement \"{0}\"")]
    UnknownMeasurement(String),
    /// The `bench` command was called without the name of a measurement.
    #[error("usage: millford-lab bench overhead [options]")]
    NoMeasurement,
}

/// Parses the arguments of a command without operands. Returns `None` after printing the help.
///
/// # Errors
/// [`ArgumentError::Option`] or [`ArgumentError::UnexpectedOperand`].
pub fn parse(
    command: &str,
    options: &mut Options,
    arguments: &[String],
) -> Result<Option<Matches>, ArgumentError> {
    options.optflag("h", "help", "print this help and exit");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        println!(
            "{}",
            options.usage(&format!("Usage: millford-lab {command} [options]"))
        );
        return Ok(None);
    }
    if let Some(free) = matches.free.first() {
        return Err(ArgumentError::UnexpectedOperand(free.clone()));
    }
    Ok(Some(matches))
}

/// Parses the arguments of a command whose operands are files. Returns `None` after printing the help.
///
/// # Errors
/// [`ArgumentError::Option`], or [`ArgumentError::NoFile`] with `what` as the kind of the files.
pub fn parse_files(
    mut options: Options,
    usage: &str,
    what: &'static str,
    arguments: &[String],
) -> Result<Option<Matches>, ArgumentError> {
    options.optflag("h", "help", "print this help and exit");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        println!("{}", options.usage(usage));
        return Ok(None);
    }
    if matches.free.is_empty() {
        return Err(ArgumentError::NoFile { what });
    }
    Ok(Some(matches))
}

/// Returns the operands as paths.
#[must_use]
pub fn files(matches: &Matches) -> Vec<PathBuf> {
    matches.free.iter().map(PathBuf::from).collect()
}

/// Returns the value of an option, or `default` if it is absent.
///
/// # Errors
/// [`ArgumentError::BadValue`] when it cannot be parsed.
pub fn value<T: FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, ArgumentError> {
    Ok(optional(matches, name)?.unwrap_or(default))
}

/// Returns the value of an option, or `None` if it is absent.
///
/// # Errors
/// [`ArgumentError::BadValue`] when it cannot be parsed.
pub fn optional<T: FromStr>(matches: &Matches, name: &str) -> Result<Option<T>, ArgumentError> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(parsed) => Ok(Some(parsed)),
        Err(_) => Err(ArgumentError::BadValue {
            option: name.to_owned(),
            value: text,
        }),
    }
}

/// Returns the value of an option, or `default` if it is absent. An invalid value is reported with the
/// text `requirement`.
///
/// # Errors
/// [`ArgumentError::Requirement`] when it cannot be parsed.
pub fn required_form<T: FromStr>(
    matches: &Matches,
    option: &'static str,
    default: T,
    requirement: &'static str,
) -> Result<T, ArgumentError> {
    let bad_form = |_| ArgumentError::Requirement {
        option,
        requirement,
    };
    matches.opt_get_default(option, default).map_err(bad_form)
}

/// Adds the option `--site`, which [`site`] reads.
pub fn add_site(options: &mut Options) {
    options.optopt("", "site", "topology", "demo|reykjavik|dakar");
}

/// Adds the flag `--keep-logs`.
pub fn add_keep_logs(options: &mut Options) {
    options.optflag(
        "",
        "keep-logs",
        "keep the folder of settings, logs and data after the run",
    );
}

/// Returns the site named by `--site`, or `default` if the option is absent.
///
/// # Errors
/// [`ArgumentError::UnknownChoice`] when there is no such site.
pub fn site(matches: &Matches, default: Site) -> Result<Site, ArgumentError> {
    let Some(name) = matches.opt_str("site") else {
        return Ok(default);
    };
    Site::from_name(&name).ok_or(ArgumentError::UnknownChoice {
        option: "site",
        value: name,
    })
}
