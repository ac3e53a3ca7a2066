//! Rule MEMORY: no process needs more memory than its settings allow, whatever its peers send.

use super::{Rule, Violation};
use crate::bounds::MEMORY_MB;
use crate::history::History;

/// Bytes of a megabyte of the settings.
const MEGABYTE: u64 = 1024 * 1024;

/// Checks every process whose memory was read.
#[must_use]
pub fn check(history: &History) -> Vec<Violation> {
    let over = history
        .memory
        .iter()
        .filter(|peak| peak.bytes > MEMORY_MB * MEGABYTE);
    over.map(|peak| Violation {
        rule: Rule::Memory,
        at: peak.at,
        text: format!(
            "{} of {:?} had {} MB, and may have {MEMORY_MB}",
            peak.role,
            peak.machine,
            peak.bytes / MEGABYTE
        ),
    })
    .collect()
}
