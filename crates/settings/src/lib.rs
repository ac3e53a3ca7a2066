//! Common parts of the daemons: settings files and flags, logging, and the output of metrics.

pub mod command_line;
pub mod error;
pub mod fault;
pub mod key;
pub mod logging;
pub mod metrics;
pub mod reader;

pub use command_line::{DaemonCommand, Invocation};
pub use error::SettingsError;
pub use fault::SettingsFault;
pub use key::{KeyKind, SettingsKey};
pub use logging::{LogFormat, LogOptions, PartLog};
pub use reader::Settings;
