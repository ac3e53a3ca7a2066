//! Command line of a daemon.

use getopts::{Matches, Options};
use toml::{Table, Value};

use crate::error::SettingsError;
use crate::key::{KeyKind, SettingsKey};
use crate::reader::{self, Settings, SettingsText};

/// Exit status of a process whose settings have faults.
pub const FAULT_EXIT_STATUS: i32 = 2;

/// Name and purpose of a daemon, for its command line.
#[derive(Clone, Copy, Debug)]
pub struct DaemonCommand {
    /// Program name.
    pub program: &'static str,
    /// One sentence for `--help`.
    pub purpose: &'static str,
    /// Version that `--version` prints.
    pub version: &'static str,
}

/// What a command line requests.
#[derive(Debug)]
pub enum Invocation<S> {
    /// Run with these settings.
    Run(S),
    /// Print this text and leave with status 0.
    Print(String),
}

impl DaemonCommand {
    /// Reads the command line (without the program name) and the settings file that it names.
    ///
    /// # Errors
    /// A flag or argument is not valid, the file cannot be read, or the settings have faults.
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

    /// Reads the process's own command line. Ends the process with status 0 when it only prints, and
    /// with [`FAULT_EXIT_STATUS`] after an error, which is printed with its place.
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

/// The flags that every daemon has, and one for each key.
fn daemon_options(keys: &[SettingsKey]) -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file in TOML", "FILE");
    options.optflag("", "check", "check the settings and leave");
    options.optflag("h", "help", "print this help and leave");
    options.optflag("V", "version", "print the version and leave");
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

/// The values given by flags, as a settings file would hold them.
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
