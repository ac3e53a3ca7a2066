//! Parsing of a command's arguments.

use std::path::PathBuf;
use std::str::FromStr;

use getopts::{Matches, Options};
use thiserror::Error;

use crate::fleet::Site;

/// Why a command line cannot be used.
#[derive(Debug, Error)]
pub enum ArgumentError {
    /// An option is unknown, stands twice or lacks its value.
    #[error(transparent)]
    Option(#[from] getopts::Fail),
    /// The command takes no operands.
    #[error("unexpected argument \"{0}\"")]
    UnexpectedOperand(String),
    /// The command takes files and none is named.
    #[error("name at least one {what}")]
    NoFile {
        /// What the files are, for instance `log file`.
        what: &'static str,
    },
    /// The value of an option cannot be parsed.
    #[error("--{option}: bad value \"{value}\"")]
    BadValue {
        /// Name of the option.
        option: String,
        /// The value as given.
        value: String,
    },
    /// The value of an option is none of its choices.
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
        /// What is wrong with it, for instance `is no number`.
        requirement: &'static str,
    },
    /// `bench` has no measurement of this name.
    #[error("unknown measurement \"{0}\"")]
    UnknownMeasurement(String),
    /// `bench` needs the name of a measurement.
    #[error("usage: millford-lab bench overhead [options]")]
    NoMeasurement,
}

/// Parses the arguments of a command without operands; `None` after the help was printed.
///
/// # Errors
/// [`ArgumentError::Option`] or [`ArgumentError::UnexpectedOperand`].
pub fn parse(
    command: &str,
    options: &mut Options,
    arguments: &[String],
) -> Result<Option<Matches>, ArgumentError> {
    options.optflag("h", "help", "print this help and leave");
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

/// Parses the arguments of a command whose operands are files; `None` after the help was printed.
///
/// # Errors
/// [`ArgumentError::Option`] or [`ArgumentError::NoFile`], which names `what` the files are.
pub fn parse_files(
    mut options: Options,
    usage: &str,
    what: &'static str,
    arguments: &[String],
) -> Result<Option<Matches>, ArgumentError> {
    options.optflag("h", "help", "show this help");
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

/// The files among the operands.
#[must_use]
pub fn files(matches: &Matches) -> Vec<PathBuf> {
    matches.free.iter().map(PathBuf::from).collect()
}

/// The value of an option, or `default`.
///
/// # Errors
/// [`ArgumentError::BadValue`] when it cannot be parsed.
pub fn value<T: FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, ArgumentError> {
    Ok(optional(matches, name)?.unwrap_or(default))
}

/// The value of an option that may be absent.
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

/// The value of an option whose bad values are reported by what it must be.
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

/// Adds `--site`, read by [`site`].
pub fn add_site(options: &mut Options) {
    options.optopt("", "site", "topology", "demo|reykjavik|dakar");
}

/// Adds `--keep-logs`.
pub fn add_keep_logs(options: &mut Options) {
    options.optflag(
        "",
        "keep-logs",
        "keep the folder of settings, logs and data",
    );
}

/// The topology that `--site` names, or `default`.
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
