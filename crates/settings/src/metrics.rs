//! Metrics in the Prometheus text format.

use prometheus::{Encoder, Registry, TextEncoder};

/// HTTP content type of the text format.
pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Encodes all metrics of the registry. If that fails, returns a comment line with the error.
#[must_use]
pub fn render(registry: &Registry) -> String {
    let mut buffer = Vec::new();
    match TextEncoder::new().encode(&registry.gather(), &mut buffer) {
        Ok(()) => String::from_utf8_lossy(&buffer).into_owned(),
        Err(error) => format!("# failed to encode the metrics: {error}\n"),
    }
}
