//! Reading of a subcommand's arguments.

use std::str::FromStr;

use getopts::{Matches, Options};

use crate::fleet::FleetError;

/// Parses `arguments`; `--help` prints the usage and gives `None`.
pub fn parse(
    command: &str,
    options: &mut Options,
    arguments: &[String],
) -> Result<Option<Matches>, FleetError> {
    options.optflag("h", "help", "print this help and leave");
    let matches = options
        .parse(arguments)
        .map_err(|error| argument(&error.to_string()))?;
    if matches.opt_present("help") {
        println!(
            "{}",
            options.usage(&format!("Usage: millford-lab {command} [options]"))
        );
        return Ok(None);
    }
    if let Some(free) = matches.free.first() {
        return Err(argument(&format!("unexpected argument \"{free}\"")));
    }
    Ok(Some(matches))
}

/// The value of an option, or `default`.
pub fn value<T: FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, FleetError> {
    match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text
            .parse()
            .map_err(|_| argument(&format!("--{name}: bad value \"{text}\""))),
    }
}

/// The value of an option that may be absent.
pub fn optional<T: FromStr>(matches: &Matches, name: &str) -> Result<Option<T>, FleetError> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    let parsed = text
        .parse()
        .map_err(|_| argument(&format!("--{name}: bad value \"{text}\"")))?;
    Ok(Some(parsed))
}

/// An error about the command line.
#[must_use]
pub fn argument(text: &str) -> FleetError {
    FleetError::Argument(text.to_owned())
}
