//! Reading of settings from a TOML file and flags.

use miette::NamedSource;
use serde::de::DeserializeOwned;
use toml::Table;

use crate::error::{InvalidFile, SettingsError};
use crate::fault::SettingsFault;
use crate::key::SettingsKey;

/// The settings of one daemon. Deserialization must reject unknown keys and use defaults for
/// missing ones.
pub trait Settings: DeserializeOwned + Default {
    /// Descriptions of all keys, from which the flags and the help text are generated.
    const KEYS: &'static [SettingsKey];

    /// Returns all missing and invalid values; empty if the settings are valid.
    fn faults(&self) -> Vec<SettingsFault>;
}

/// Path and content of a settings file.
#[derive(Clone, Debug, Default)]
pub struct SettingsText {
    /// Path as given on the command line; empty without a settings file.
    pub path: String,
    /// Content of the file; empty without a settings file.
    pub text: String,
}

impl SettingsText {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// [`SettingsError::Unreadable`] if the file cannot be read, or is not UTF-8.
    pub fn read(path: &str) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        Ok(Self {
            path: path.to_owned(),
            text,
        })
    }

    /// Line of the first assignment to `key`, from 1; `None` if there is none.
    fn line_of(&self, key: &str) -> Option<usize> {
        let assigns = |line: &str| {
            line.trim_start()
                .strip_prefix(key)
                .is_some_and(|rest| rest.trim_start().starts_with('='))
        };
        self.text.lines().position(assigns).map(|line| line + 1)
    }

    /// Adds the path, the line and the text of the file to an error of the parser.
    fn invalid(&self, error: &toml::de::Error) -> SettingsError {
        let span = error.span().unwrap_or(0..0);
        let before = &self.text[..span.start.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        SettingsError::InvalidFile(Box::new(InvalidFile {
            path: self.path.clone(),
            line,
            message: error.message().to_owned(),
            text: NamedSource::new(&self.path, self.text.clone()),
            span: span.into(),
        }))
    }
}

/// Parses and checks the settings in `file`, overridden by the values in `flags`.
///
/// # Errors
/// The file is invalid, a flag is out of range, or [`Settings::faults`] returns any fault.
pub fn read<S: Settings>(file: &SettingsText, flags: Table) -> Result<S, SettingsError> {
    // The file is parsed without the flags first, so that its errors are reported with their
    // location.
    toml::from_str::<S>(&file.text).map_err(|error| file.invalid(&error))?;
    let mut merged: Table = toml::from_str(&file.text).map_err(|error| file.invalid(&error))?;
    merged.extend(flags);
    let settings: S = merged
        .try_into()
        .map_err(|error| SettingsError::FlagRange(Box::new(error)))?;
    let faults = settings.faults();
    if faults.is_empty() {
        return Ok(settings);
    }
    Err(SettingsError::Faults {
        list: list_faults(file, &faults),
    })
}

fn list_faults(file: &SettingsText, faults: &[SettingsFault]) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| match file.line_of(fault.key) {
            Some(line) => format!("  {}:{line}: {}: {}", file.path, fault.key, fault.text),
            None => format!("  {}: {}", fault.key, fault.text),
        })
        .collect();
    lines.join("\n")
}
