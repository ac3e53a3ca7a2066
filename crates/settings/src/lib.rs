//! Common parts of the daemons: settings files and flags, logging, and the output of metrics.

pub mod command_line;
pub mod error;
pub mod fault;
pub mod key;
pub mod logging;
pub mod metrics;
pub mod process_signals;
pub mod reader;
pub mod settings_reader;

pub use command_line::{DaemonCommand, Invocation};
pub use error::SettingsError;
pub use fault::SettingsFault;
pub use key::{KeyKind, SettingsKey};
pub use logging::{LogFormat, LogOptions, PartLog};
pub use process_signals::{ProcessSignal, ProcessSignals};
pub use reader::Settings;
pub use settings_reader::SettingsReader;
