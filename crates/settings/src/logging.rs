//! Logging of a daemon: one sentence per line, with a fixed prefix for each part of the daemon.

use std::fmt::Display;
use std::sync::Arc;

use spdlog::formatter::{Formatter, JsonFormatter, PatternFormatter, pattern};
use spdlog::sink::{Sink, StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

/// Format of the log lines on standard error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Plain text: date, time, level, prefix and sentence.
    #[default]
    Text,
    /// One JSON object per line, with the prefix also as the field `part`.
    Json,
}

/// Level and format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogOptions {
    /// Least severe level that is written.
    pub level: Level,
    /// Format of a line.
    pub format: LogFormat,
}

impl LogOptions {
    /// Creates options from settings values. An unknown level counts as `info`.
    #[must_use]
    pub fn new(level_name: &str, format: LogFormat) -> Self {
        let level = parse_level(level_name).unwrap_or(Level::Info);
        Self { level, format }
    }
}

/// Parses the name of a level: `error`, `warn`, `info`, `debug` or `trace`. An empty name means
/// `info`. Returns `None` for an unknown name.
#[must_use]
pub fn parse_level(name: &str) -> Option<Level> {
    match name {
        "error" => Some(Level::Error),
        "warn" => Some(Level::Warn),
        "info" | "" => Some(Level::Info),
        "debug" => Some(Level::Debug),
        "trace" => Some(Level::Trace),
        _ => None,
    }
}

/// Sets the default logger of the process, which writes to standard error.
///
/// # Errors
/// The logger cannot be built.
pub fn init(options: LogOptions) -> Result<(), spdlog::Error> {
    let sink: Arc<dyn Sink> = match options.format {
        LogFormat::Text => {
            let formatter = PatternFormatter::new(pattern!(
                "{date} {time}.{millisecond} {level} {payload}{eol}"
            ));
            standard_error(formatter)?
        }
        LogFormat::Json => standard_error(JsonFormatter::new())?,
    };
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(options.level))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn standard_error<F: Formatter + 'static>(formatter: F) -> Result<Arc<dyn Sink>, spdlog::Error> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(formatter)
        .build()?;
    Ok(Arc::new(sink))
}

/// Logger for one part of a daemon, whose prefix begins each of its lines.
#[derive(Clone, Copy, Debug)]
pub struct PartLog {
    prefix: &'static str,
}

impl PartLog {
    /// Creates a logger whose lines begin with `prefix`, for example `FEED`.
    #[must_use]
    pub const fn new(prefix: &'static str) -> Self {
        Self { prefix }
    }

    /// Logs a detail that helps a developer to debug.
    pub fn debug(&self, sentence: impl Display) {
        let part = self.prefix;
        spdlog::debug!("{}: {}", part, sentence, kv: { part });
    }

    /// Logs a normal event that is of interest to an operator.
    pub fn info(&self, sentence: impl Display) {
        let part = self.prefix;
        spdlog::info!("{}: {}", part, sentence, kv: { part });
    }

    /// Logs a problem from which the daemon recovers by itself, but which should not occur often.
    pub fn warn(&self, sentence: impl Display) {
        let part = self.prefix;
        spdlog::warn!("{}: {}", part, sentence, kv: { part });
    }

    /// Logs a problem that needs an operator's action.
    pub fn error(&self, sentence: impl Display) {
        let part = self.prefix;
        spdlog::error!("{}: {}", part, sentence, kv: { part });
    }
}
