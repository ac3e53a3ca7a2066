//! Command line of a daemon.

use getopts::{Matches, Options};
use toml::{Table, Value};

use crate::error::SettingsError;
use crate::key::{KeyKind, SettingsKey};
use crate::reader::{self, Settings, SettingsText};

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

/// What a command line asks for.
#[derive(Debug)]
pub enum Invocation<S> {
    /// Run with these settings.
    Run(S),
    /// Print this text and leave with status 0.
    Print(String),
}

impl DaemonCommand {
    /// Reads the command line (without the program name) and the settings file that it names.
    pub fn parse<S: Settings>(&self, arguments: &[String]) -> Result<Invocation<S>, SettingsError> {
        let options = daemon_options(S::KEYS);
        let matches = options.parse(arguments).map_err(|error| bad_flag(&error))?;
        if let Some(free) = matches.free.first() {
            return Err(SettingsError::BadFlag {
                message: format!("unexpected argument \"{free}\""),
            });
        }
        if matches.opt_present("help") {
            return Ok(Invocation::Print(self.help(&options)));
        }
        if matches.opt_present("version") {
            return Ok(Invocation::Print(format!(
                "{} {}",
                self.program, self.version
            )));
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

    /// Reads the process's own command line; prints and leaves when nothing is to be run.
    ///
    /// A fault is printed with its place and ends the process with [`FAULT_EXIT_STATUS`].
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

/// Exit status of a process whose settings have faults.
pub const FAULT_EXIT_STATUS: i32 = 2;

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
    let wrong = |expected: &str| SettingsError::BadFlag {
        message: format!("--{} takes {expected}, not \"{text}\"", key.flag_name()),
    };
    match key.kind {
        KeyKind::Text => Ok(Value::String(text.to_owned())),
        KeyKind::Number => text
            .parse()
            .map(Value::Integer)
            .map_err(|_| wrong("a whole number")),
        KeyKind::Flag => text
            .parse()
            .map(Value::Boolean)
            .map_err(|_| wrong("true or false")),
        KeyKind::List => {
            let parts = text.split(',').filter(|part| !part.is_empty());
            Ok(Value::Array(
                parts.map(|part| Value::String(part.to_owned())).collect(),
            ))
        }
    }
}

fn bad_flag(error: &getopts::Fail) -> SettingsError {
    SettingsError::BadFlag {
        message: error.to_string(),
    }
}
