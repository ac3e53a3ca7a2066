//! A settings value that is missing or out of range.

/// One fault found after the settings were read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Key at fault.
    pub key: &'static str,
    /// What is wrong, as a short sentence.
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

/// Adds a fault for each value that is not an IP address with a port.
pub fn require_addresses(faults: &mut Vec<SettingsFault>, values: &[(&'static str, &str)]) {
    for (key, value) in values {
        if value.parse::<std::net::SocketAddr>().is_err() {
            let text = format!("\"{value}\" is not an IP address with a port.");
            faults.push(SettingsFault::new(key, text));
        }
    }
}
