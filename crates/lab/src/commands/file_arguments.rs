//! Command lines that name files.

use getopts::{Matches, Options};

/// Parses `arguments`; `--help` prints the usage and gives `None`.
///
/// # Errors
/// What is wrong with the command line, or that it names no file; `what` the files are.
pub fn parse(
    mut options: Options,
    usage: &str,
    what: &str,
    arguments: &[String],
) -> Result<Option<Matches>, String> {
    options.optflag("h", "help", "show this help");
    let matches = options
        .parse(arguments)
        .map_err(|error| error.to_string())?;
    if matches.opt_present("help") {
        println!("{}", options.usage(usage));
        return Ok(None);
    }
    if matches.free.is_empty() {
        return Err(format!("name at least one {what}"));
    }
    Ok(Some(matches))
}
