//! Reads settings from a TOML file and flags.

use miette::NamedSource;
use serde::de::DeserializeOwned;
use toml::Table;

use crate::error::{InvalidFile, SettingsError};
use crate::fault::SettingsFault;
use crate::key::SettingsKey;

/// The settings of one daemon. Deserialization must refuse unknown keys and default missing ones.
pub trait Settings: DeserializeOwned + Default {
    /// Every key, for flags and help.
    const KEYS: &'static [SettingsKey];

    /// Missing or impossible values, all of them.
    fn faults(&self) -> Vec<SettingsFault>;
}

/// A settings file as it was read.
#[derive(Clone, Debug, Default)]
pub struct SettingsText {
    /// Path as given; empty without a file.
    pub path: String,
    /// Content.
    pub text: String,
}

impl SettingsText {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// The file cannot be read, or is not UTF-8.
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

    /// Line of the first assignment to `key`, from 1.
    fn line_of(&self, key: &str) -> Option<usize> {
        let assigns = |line: &str| {
            line.trim_start()
                .strip_prefix(key)
                .is_some_and(|rest| rest.trim_start().starts_with('='))
        };
        self.text.lines().position(assigns).map(|line| line + 1)
    }

    /// The parser's error with its place in the file.
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

/// Reads and checks settings: the file first, `flags` over it.
///
/// # Errors
/// The file is not valid, a flag is out of range, or [`Settings::faults`] finds any.
pub fn read<S: Settings>(file: &SettingsText, flags: Table) -> Result<S, SettingsError> {
    // Parsed by itself first, so that a fault of the file is reported with its place.
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
