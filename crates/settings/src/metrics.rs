//! Text form of metrics for a scrape.

use prometheus::{Encoder, Registry, TextEncoder};

/// Content type of the text form.
pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Every metric of the registry in the Prometheus text form.
#[must_use]
pub fn render(registry: &Registry) -> String {
    let mut buffer = Vec::new();
    match TextEncoder::new().encode(&registry.gather(), &mut buffer) {
        Ok(()) => String::from_utf8_lossy(&buffer).into_owned(),
        Err(error) => format!("# metrics cannot be encoded: {error}\n"),
    }
}
