//! Description of a settings key, from which its flag and help text are generated.

/// Type of a key's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyKind {
    /// A string, for example a name, a path or an address.
    Text,
    /// An integer.
    Number,
    /// `true` or `false`.
    Flag,
    /// An array of strings. On the command line they are separated by commas.
    List,
}

/// A key of a settings file. Its flag has the same name with `-` instead of `_`.
#[derive(Clone, Copy, Debug)]
pub struct SettingsKey {
    /// Name in the file, in snake case.
    pub name: &'static str,
    /// Type of the value.
    pub kind: KeyKind,
    /// Description in the help text, in one line.
    pub help: &'static str,
}

impl SettingsKey {
    /// Least severe level of the log lines that are written. Common to all daemons.
    pub const LOG_LEVEL: Self = Self::text("log_level", "error, warn, info, debug or trace");
    /// Format of the log lines. Common to all daemons.
    pub const LOG_FORMAT: Self = Self::text("log_format", "text or json");

    /// Describes a key whose value is a string.
    #[must_use]
    pub const fn text(name: &'static str, help: &'static str) -> Self {
        Self::new(name, KeyKind::Text, help)
    }

    /// Describes a key whose value is an integer.
    #[must_use]
    pub const fn number(name: &'static str, help: &'static str) -> Self {
        Self::new(name, KeyKind::Number, help)
    }

    /// Describes a key whose value is an array of strings.
    #[must_use]
    pub const fn list(name: &'static str, help: &'static str) -> Self {
        Self::new(name, KeyKind::List, help)
    }

    /// Describes a key whose value is `true` or `false`.
    #[must_use]
    pub const fn flag(name: &'static str, help: &'static str) -> Self {
        Self::new(name, KeyKind::Flag, help)
    }

    const fn new(name: &'static str, kind: KeyKind, help: &'static str) -> Self {
        Self { name, kind, help }
    }

    /// Name of the command-line flag, without the leading dashes.
    #[must_use]
    pub fn flag_name(&self) -> String {
        self.name.replace('_', "-")
    }
}
