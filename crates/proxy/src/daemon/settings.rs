//! Settings of the proxy.

use millford_bounded_io::{MIN_HEAD_BYTES, MemoryLimit, ServerBounds};
use millford_core::Duration;
use millford_data_plane::limits::RequestLimits;
use millford_settings::fault::{require_addresses, require_at_least, require_texts};
use millford_settings::logging::{LogOptions, parse_level};
use millford_settings::{LogFormat, Settings, SettingsFault, SettingsKey};
use serde::Deserialize;

/// Room for the request line and the separators of headers, in bytes.
const REQUEST_LINE_BYTES: usize = 8 * 1024;

/// Settings file of `millford-proxy`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxySettings {
    /// Name of the node; it must not be empty.
    pub name: String,
    /// Zone of the node; may be empty.
    pub zone: String,
    /// IP address and port on which callers are served.
    pub caller_address: String,
    /// IP address and port of the agent on the same node.
    pub agent_address: String,
    /// Least severe level that is logged: error, warn, info, debug or trace.
    pub log_level: String,
    /// Format of a log line: text or JSON.
    pub log_format: LogFormat,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Largest total size of the request headers, names and values, in bytes.
    pub max_header_bytes: u64,
    /// Most connections of callers that are served at the same time.
    pub max_connections: u64,
    /// Memory that the process may use, in megabytes. Limits on what is held for callers and backends follow from it, and
    /// fewer connections than `max_connections` if it is small.
    pub memory_limit_mb: u64,
    /// Largest head of a backend's answer, in bytes; at least 8192.
    pub max_backend_head_bytes: u64,
    /// Largest event of a backend's stream, in bytes.
    pub max_event_bytes: u64,
    /// Largest answer of a backend that is not a stream, in bytes.
    pub max_answer_bytes: u64,
    /// Longest time to receive the complete headers of a request, in milliseconds. It also limits
    /// how long a keep-alive connection may be idle.
    pub header_timeout_ms: u64,
    /// Longest time for opening a TCP connection to a backend, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Estimated time to the first token above which requests are queued or refused, in
    /// milliseconds.
    pub first_token_limit_ms: u64,
    /// Inactivity of a stream after which its backend is ejected, in milliseconds.
    #[serde(rename = "stream_silence_ms")]
    pub stream_inactivity_timeout_ms: u64,
    /// Longest wait for open requests to end when the process drains, in milliseconds.
    #[serde(rename = "leave_timeout_ms")]
    pub drain_timeout_ms: u64,
}

impl Default for ProxySettings {
    fn default() -> Self {
        let limits = RequestLimits::default();
        Self {
            name: String::new(),
            zone: String::new(),
            caller_address: String::new(),
            agent_address: String::new(),
            log_level: "info".to_owned(),
            log_format: LogFormat::default(),
            max_body_bytes: 4 * 1024 * 1024,
            max_header_bytes: 16 * 1024,
            max_connections: 16_384,
            memory_limit_mb: 2560,
            max_backend_head_bytes: 16 * 1024,
            max_event_bytes: to_u64(limits.max_event_bytes),
            max_answer_bytes: to_u64(limits.max_answer_bytes),
            header_timeout_ms: 15_000,
            connect_timeout_ms: 300,
            first_token_limit_ms: to_millis(limits.first_token_limit),
            stream_inactivity_timeout_ms: to_millis(limits.stream_inactivity_timeout),
            drain_timeout_ms: 30_000,
        }
    }
}

impl ProxySettings {
    /// Returns the limits of the request path.
    #[must_use]
    pub fn limits(&self) -> RequestLimits {
        RequestLimits {
            first_token_limit: Duration::from_millis(self.first_token_limit_ms),
            stream_inactivity_timeout: Duration::from_millis(self.stream_inactivity_timeout_ms),
            max_event_bytes: to_usize(self.max_event_bytes),
            max_answer_bytes: to_usize(self.max_answer_bytes),
            caller_body_bytes: self.memory_limit().caller_body_bytes(),
            answer_bytes: self.memory_limit().buffer_bytes(),
            ..RequestLimits::default()
        }
    }

    /// Returns the memory that the process may use.
    #[must_use]
    pub fn memory_limit(&self) -> MemoryLimit {
        MemoryLimit::of_megabytes(self.memory_limit_mb)
    }

    /// Returns the bounds of the callers' connections.
    #[must_use]
    pub fn server_bounds(&self) -> ServerBounds {
        let fitting = self.memory_limit().max_connections();
        ServerBounds {
            max_connections: to_usize(self.max_connections).min(fitting),
            header_timeout: Duration::from_millis(self.header_timeout_ms),
            max_head_bytes: to_usize(self.max_header_bytes).saturating_add(REQUEST_LINE_BYTES),
            ..ServerBounds::default()
        }
    }

    /// Returns the level and format of the log. An invalid level, which is reported as a fault,
    /// counts as info.
    #[must_use]
    pub fn log_options(&self) -> LogOptions {
        LogOptions {
            level: parse_level(&self.log_level).unwrap_or(spdlog::Level::Info),
            format: self.log_format,
        }
    }
}

impl Settings for ProxySettings {
    const KEYS: &'static [SettingsKey] = &[
        SettingsKey::text("name", "name of the node"),
        SettingsKey::text("zone", "zone of the node"),
        SettingsKey::text("caller_address", "IP address and port for callers"),
        SettingsKey::text("agent_address", "IP address and port of the agent"),
        SettingsKey::text("log_level", "error, warn, info, debug or trace"),
        SettingsKey::text("log_format", "text or json"),
        SettingsKey::number("max_body_bytes", "largest request body"),
        SettingsKey::number("max_header_bytes", "largest sum of the request headers"),
        SettingsKey::number("max_connections", "most connections of callers"),
        SettingsKey::number(
            "memory_limit_mb",
            "memory that the process may use, in megabytes",
        ),
        SettingsKey::number(
            "max_backend_head_bytes",
            "largest head of a backend's answer",
        ),
        SettingsKey::number("max_event_bytes", "largest event of a backend's stream"),
        SettingsKey::number(
            "max_answer_bytes",
            "largest answer of a backend that is not a stream",
        ),
        SettingsKey::number("header_timeout_ms", "longest time for a request's headers"),
        SettingsKey::number("connect_timeout_ms", "longest time to reach a backend"),
        SettingsKey::number("first_token_limit_ms", "estimated first token to admit"),
        SettingsKey::number("stream_silence_ms", "silence that ejects a backend"),
        SettingsKey::number(
            "leave_timeout_ms",
            "longest wait for open requests at the end",
        ),
    ];

    fn faults(&self) -> Vec<SettingsFault> {
        let mut faults = Vec::new();
        require_texts(&mut faults, &[("name", &self.name)]);
        require_addresses(
            &mut faults,
            &[
                ("caller_address", &self.caller_address),
                ("agent_address", &self.agent_address),
            ],
        );
        if parse_level(&self.log_level).is_none() {
            faults.push(SettingsFault::new("log_level", "This is not a log level."));
        }
        let head_bytes = ("max_backend_head_bytes", self.max_backend_head_bytes);
        require_at_least(&mut faults, head_bytes, MIN_HEAD_BYTES);
        let positive = [
            ("memory_limit_mb", self.memory_limit_mb),
            ("max_event_bytes", self.max_event_bytes),
            ("max_answer_bytes", self.max_answer_bytes),
            ("max_body_bytes", self.max_body_bytes),
            ("max_header_bytes", self.max_header_bytes),
            ("max_connections", self.max_connections),
            ("header_timeout_ms", self.header_timeout_ms),
            ("connect_timeout_ms", self.connect_timeout_ms),
            ("first_token_limit_ms", self.first_token_limit_ms),
            ("stream_silence_ms", self.stream_inactivity_timeout_ms),
        ];
        for (key, value) in positive {
            if value == 0 {
                faults.push(SettingsFault::new(key, "The value must be above 0."));
            }
        }
        faults
    }
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn to_u64(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
