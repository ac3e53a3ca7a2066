//! Command line of a daemon: parsing, help text and exit statuses.

use getopts::{Matches, Options};
use toml::{Table, Value};

use crate::error::SettingsError;
use crate::key::{KeyKind, SettingsKey};
use crate::reader::{self, Settings, SettingsText};

/// Exit status of a daemon whose command line or settings are invalid.
pub const FAULT_EXIT_STATUS: i32 = 2;

/// Name, purpose and version of a daemon, as its command line shows them.
#[derive(Clone, Copy, Debug)]
pub struct DaemonCommand {
    /// Name of the program, printed in the usage line, the version and error messages.
    pub program: &'static str,
    /// One sentence that begins the help text.
    pub purpose: &'static str,
    /// Version that `--version` prints after the program name.
    pub version: &'static str,
}

/// Action that a command line requests.
#[derive(Debug)]
pub enum Invocation<S> {
    /// Run with these settings.
    Run(S),
    /// Print this text and exit with status 0.
    Print(String),
}

impl DaemonCommand {
    /// Parses `arguments`, which exclude the program name, and reads the settings file that they
    /// name. Flags override the values of the file.
    ///
    /// # Errors
    /// A flag or argument is invalid, the file cannot be read, or the settings are invalid.
    pub fn parse<S: Settings>(&self, arguments: &[String]) -> Result<Invocation<S>, SettingsError> {
        let options = daemon_options(S::KEYS);
        let matches = options.parse(arguments)?;
        if let Some(free) = matches.free.first() {
            let argument = free.clone();
            return Err(SettingsError::UnexpectedArgument { argument });
        }
        if matches.opt_present("help") {
            return Ok(Invocation::Print(self.help(&options)));
        }
        if matches.opt_present("version") {
            let text = format!("{} {}", self.program, self.version);
            return Ok(Invocation::Print(text));
        }
        let file = match matches.opt_str("settings") {
            Some(path) => SettingsText::read(&path)?,
            None => SettingsText::default(),
        };
        let settings: S = reader::read(&file, flag_table(S::KEYS, &matches)?)?;
        if matches.opt_present("check") {
            return Ok(Invocation::Print("The settings are valid.".to_owned()));
        }
        Ok(Invocation::Run(settings))
    }

    /// Parses the command line of the process. If it requests output only, prints that and exits
    /// with status 0. On an error, prints it with its location to standard error and exits with
    /// [`FAULT_EXIT_STATUS`].
    pub fn parse_or_exit<S: Settings>(&self) -> S {
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        match self.parse(&arguments) {
            Ok(Invocation::Run(settings)) => settings,
            Ok(Invocation::Print(text)) => {
                println!("{text}");
                std::process::exit(0);
            }
            Err(error) => {
                eprintln!("{}: {}", self.program, error.code());
                eprintln!("{:?}", miette::Report::new(error));
                std::process::exit(FAULT_EXIT_STATUS);
            }
        }
    }

    fn help(&self, options: &Options) -> String {
        let brief = format!("{}\n\nUsage: {} [options]", self.purpose, self.program);
        options.usage(&brief)
    }
}

/// The flags common to all daemons, and one flag for each key.
fn daemon_options(keys: &[SettingsKey]) -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file in TOML", "FILE");
    options.optflag("", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    for key in keys {
        let hint = match key.kind {
            KeyKind::Text => "TEXT",
            KeyKind::Number => "NUMBER",
            KeyKind::Flag => "true|false",
            KeyKind::List => "TEXT,TEXT",
        };
        options.optopt("", &key.flag_name(), key.help, hint);
    }
    options
}

/// Returns the values of the flags as a table with the keys and types of a settings file.
fn flag_table(keys: &[SettingsKey], matches: &Matches) -> Result<Table, SettingsError> {
    let mut table = Table::new();
    for key in keys {
        if let Some(text) = matches.opt_str(&key.flag_name()) {
            table.insert(key.name.to_owned(), flag_value(key, &text)?);
        }
    }
    Ok(table)
}

fn flag_value(key: &SettingsKey, text: &str) -> Result<Value, SettingsError> {
    let invalid = |expected| SettingsError::FlagValue {
        flag: key.flag_name(),
        expected,
        value: text.to_owned(),
    };
    match key.kind {
        KeyKind::Text => Ok(Value::String(text.to_owned())),
        KeyKind::Number => text
            .parse()
            .map(Value::Integer)
            .map_err(|_| invalid("a whole number")),
        KeyKind::Flag => text
            .parse()
            .map(Value::Boolean)
            .map_err(|_| invalid("true or false")),
        KeyKind::List => {
            let elements = text.split(',').filter(|element| !element.is_empty());
            let elements = elements.map(|element| Value::String(element.to_owned()));
            Ok(Value::Array(elements.collect()))
        }
    }
}
