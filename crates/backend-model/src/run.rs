//! One open run of an emulated backend.

use crate::event::RunRequest;

/// Progress of one run.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub model: String,
    pub blocks: Vec<u64>,
    pub output_tokens: u32,
    pub phase: Phase,
    /// Tokens told to the caller so far.
    pub reported_tokens: u32,
}

/// Where a run stands.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Phase {
    /// Core microseconds of prefill left.
    Prefill { core_micros_left: f64 },
    /// Tokens generated so far, with the part of the next one.
    Decode { tokens: f64 },
}

impl Run {
    /// A run that starts its prefill.
    pub fn new(request: &RunRequest, core_micros: f64) -> Self {
        Self {
            model: request.model.clone(),
            blocks: request.prompt_blocks.clone(),
            output_tokens: request.output_tokens.max(1),
            phase: Phase::Prefill {
                core_micros_left: core_micros,
            },
            reported_tokens: 0,
        }
    }

    /// Whether the run is past its first token.
    pub fn decodes(&self) -> bool {
        matches!(self.phase, Phase::Decode { .. })
    }
}
