//! Description of one settings key, from which the flag and the help text are made.

/// Type of a key's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyKind {
    /// Text, addresses among them.
    Text,
    /// A whole number.
    Number,
    /// `true` or `false`.
    Flag,
    /// Several texts; the flag takes them separated by commas.
    List,
}

/// One key of a settings file. Its flag is the name with `-` for `_`.
#[derive(Clone, Copy, Debug)]
pub struct SettingsKey {
    /// Name in the file, in snake case.
    pub name: &'static str,
    /// Type of the value.
    pub kind: KeyKind,
    /// One line for `--help`.
    pub help: &'static str,
}

impl SettingsKey {
    /// Least severe level of log lines; every daemon has it.
    pub const LOG_LEVEL: Self = Self::text("log_level", "error, warn, info, debug or trace");
    /// Form of log lines; every daemon has it.
    pub const LOG_FORMAT: Self = Self::text("log_format", "text or json");

    /// A key that holds text.
    #[must_use]
    pub const fn text(name: &'static str, help: &'static str) -> Self {
        Self::new(name, KeyKind::Text, help)
    }

    /// A key that holds a whole number.
    #[must_use]
    pub const fn number(name: &'static str, help: &'static str) -> Self {
        Self::new(name, KeyKind::Number, help)
    }

    /// A key that holds several texts.
    #[must_use]
    pub const fn list(name: &'static str, help: &'static str) -> Self {
        Self::new(name, KeyKind::List, help)
    }

    /// A key that holds `true` or `false`.
    #[must_use]
    pub const fn flag(name: &'static str, help: &'static str) -> Self {
        Self::new(name, KeyKind::Flag, help)
    }

    const fn new(name: &'static str, kind: KeyKind, help: &'static str) -> Self {
        Self { name, kind, help }
    }

    /// The command-line flag, without the leading dashes.
    #[must_use]
    pub fn flag_name(&self) -> String {
        self.name.replace('_', "-")
    }
}
