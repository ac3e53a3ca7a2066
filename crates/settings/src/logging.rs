//! Logs of a daemon: one sentence a line, with a fixed prefix for each part.

use std::fmt::Display;
use std::sync::Arc;

use spdlog::formatter::{Formatter, JsonFormatter, PatternFormatter, pattern};
use spdlog::sink::{Sink, StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

/// How log lines are written to standard error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Time, level, prefix, sentence.
    #[default]
    Text,
    /// One JSON object a line, with the part as a field.
    Json,
}

/// What to log and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogOptions {
    /// Least severe level that is written.
    pub level: Level,
    /// Form of a line.
    pub format: LogFormat,
}

impl LogOptions {
    /// Options from the values of the settings. A level that is not known counts as `info`.
    #[must_use]
    pub fn new(level_name: &str, format: LogFormat) -> Self {
        let level = parse_level(level_name).unwrap_or(Level::Info);
        Self { level, format }
    }
}

/// Reads a level by name: `error`, `warn`, `info`, `debug` or `trace`. An
/// empty name is `info`; an unknown one gives none.
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

/// Sends the process's logs to standard error.
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

/// Logger of one part of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct PartLog {
    prefix: &'static str,
}

impl PartLog {
    /// A logger whose lines begin with `prefix`, for example `FEED`.
    #[must_use]
    pub const fn new(prefix: &'static str) -> Self {
        Self { prefix }
    }

    /// Something a developer may want to follow.
    pub fn debug(&self, sentence: impl Display) {
        let part = self.prefix;
        spdlog::debug!("{}: {}", part, sentence, kv: { part });
    }

    /// A normal event that an operator may want to see.
    pub fn info(&self, sentence: impl Display) {
        let part = self.prefix;
        spdlog::info!("{}: {}", part, sentence, kv: { part });
    }

    /// Something that heals by itself but should not happen often.
    pub fn warn(&self, sentence: impl Display) {
        let part = self.prefix;
        spdlog::warn!("{}: {}", part, sentence, kv: { part });
    }

    /// Something that needs an operator.
    pub fn error(&self, sentence: impl Display) {
        let part = self.prefix;
        spdlog::error!("{}: {}", part, sentence, kv: { part });
    }
}
