//! Settings values that are missing or out of range.

/// One fault found after the settings were read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Key at fault.
    pub key: &'static str,
    /// Description of the fault, as a short sentence.
    pub text: String,
}

impl SettingsFault {
    /// A fault of `key`.
    #[must_use]
    pub fn new(key: &'static str, text: impl Into<String>) -> Self {
        Self {
            key,
            text: text.into(),
        }
    }
}

/// Adds a fault for each required text that is empty.
pub fn require_texts(faults: &mut Vec<SettingsFault>, values: &[(&'static str, &str)]) {
    for (key, value) in values {
        if value.is_empty() {
            faults.push(SettingsFault::new(key, "A value is required."));
        }
    }
}

/// Adds a fault for each value that is not an IP address with a port, empty ones included.
pub fn require_addresses(faults: &mut Vec<SettingsFault>, values: &[(&'static str, &str)]) {
    for (key, value) in values {
        if value.parse::<std::net::SocketAddr>().is_err() {
            let text = format!("\"{value}\" is not an IP address with a port.");
            faults.push(SettingsFault::new(key, text));
        }
    }
}

/// As [`require_addresses`], for a value that may be empty.
pub fn check_optional_address(faults: &mut Vec<SettingsFault>, key: &'static str, value: &str) {
    if !value.is_empty() {
        require_addresses(faults, &[(key, value)]);
    }
}
