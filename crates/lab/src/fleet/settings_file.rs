//! Builds and writes settings files of the daemons.

use std::path::{Path, PathBuf};

use toml::{Table, Value};

use super::error::FleetError;

/// Builder of one daemon's settings.
#[derive(Clone, Debug, Default)]
pub struct SettingsFile {
    table: Table,
}

impl SettingsFile {
    /// Sets `key` to the text of `value`.
    #[must_use]
    pub fn text(mut self, key: &str, value: &(impl ToString + ?Sized)) -> Self {
        self.table
            .insert(key.to_owned(), Value::String(value.to_string()));
        self
    }

    /// Sets `key` to a whole number.
    #[must_use]
    pub fn number(mut self, key: &str, value: u32) -> Self {
        self.table
            .insert(key.to_owned(), Value::Integer(i64::from(value)));
        self
    }

    /// Sets `key` to a list of the texts of `values`.
    #[must_use]
    pub fn list<T: ToString>(mut self, key: &str, values: &[T]) -> Self {
        let values = values.iter().map(|value| Value::String(value.to_string()));
        self.table
            .insert(key.to_owned(), Value::Array(values.collect()));
        self
    }

    /// Writes the file `name.toml` into `folder` and returns its path.
    ///
    /// # Errors
    /// [`FleetError::Io`] when the file cannot be written.
    pub fn write(&self, folder: &Path, name: &str) -> Result<PathBuf, FleetError> {
        let path = folder.join(format!("{name}.toml"));
        let text = self.table.to_string();
        std::fs::write(&path, text).map_err(FleetError::io("writing a settings file"))?;
        Ok(path)
    }
}
