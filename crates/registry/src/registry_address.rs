//! Address of a registry, which the settings may change while the process runs.

use millford_settings::SettingsReader;

/// Address of a registry: fixed, or as the settings name it now.
#[derive(Clone)]
pub struct RegistryAddress {
    initial: String,
    reader: Option<SettingsReader<String>>,
}

impl RegistryAddress {
    /// An address that does not change.
    #[must_use]
    pub fn fixed(address: &str) -> Self {
        Self {
            initial: address.to_owned(),
            reader: None,
        }
    }

    /// The address that `reader` returns; `initial` while the settings cannot be read or name none.
    #[must_use]
    pub fn following(initial: &str, reader: SettingsReader<String>) -> Self {
        Self {
            initial: initial.to_owned(),
            reader: Some(reader),
        }
    }

    /// Returns the address (IP address and port) to use now.
    pub async fn get(&self) -> String {
        let Some(reader) = self.reader.clone() else {
            return self.initial.clone();
        };
        let read = tokio::task::spawn_blocking(move || reader()).await;
        let current = read.ok().flatten();
        let current = current.filter(|address| !address.is_empty());
        current.unwrap_or_else(|| self.initial.clone())
    }
}
