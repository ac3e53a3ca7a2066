//! Checks for settings values that are missing or out of range.

/// A missing or invalid value, found after the settings were parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Key of the value, as in the settings file.
    pub key: &'static str,
    /// Description of the fault, as a short sentence.
    pub text: String,
}

impl SettingsFault {
    /// Creates a fault in the value of `key`.
    #[must_use]
    pub fn new(key: &'static str, text: impl Into<String>) -> Self {
        Self {
            key,
            text: text.into(),
        }
    }
}

/// Adds a fault for each value that is empty. Values are given with their keys.
pub fn require_texts(faults: &mut Vec<SettingsFault>, values: &[(&'static str, &str)]) {
    for (key, value) in values {
        if value.is_empty() {
            faults.push(SettingsFault::new(key, "A value is required."));
        }
    }
}

/// Adds a fault for each value that is not an IP address with a port. Empty values are faults too.
pub fn require_addresses(faults: &mut Vec<SettingsFault>, values: &[(&'static str, &str)]) {
    for (key, value) in values {
        if value.parse::<std::net::SocketAddr>().is_err() {
            let text = format!("\"{value}\" is not an IP address with a port.");
            faults.push(SettingsFault::new(key, text));
        }
    }
}

/// Adds a fault for a number, given with its key, that is below `least`.
pub fn require_at_least(
    faults: &mut Vec<SettingsFault>,
    (key, value): (&'static str, u64),
    least: u64,
) {
    if value < least {
        let text = format!("The value must be at least {least}.");
        faults.push(SettingsFault::new(key, text));
    }
}

/// Adds a fault for a value that is neither empty nor an IP address with a port.
pub fn check_optional_address(faults: &mut Vec<SettingsFault>, key: &'static str, value: &str) {
    if !value.is_empty() {
        require_addresses(faults, &[(key, value)]);
    }
}
