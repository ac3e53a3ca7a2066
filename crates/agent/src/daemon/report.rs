//! Summary of the agent's state for metrics and health checks.

use std::sync::{Arc, Mutex, PoisonError};

use crate::agent_core::AgentCore;
use crate::counters::AgentCounters;

/// State of the agent after its last input event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentReport {
    /// Whether the agent is connected to a control node that has quorum contact.
    pub connected: bool,
    /// Whether every shard has been confirmed at least once since the agent started.
    pub complete: bool,
    /// Whether the proxy is connected and has completed its handshake.
    pub proxy_connected: bool,
    /// Epoch of the open session, or 0 if none is open.
    pub session_epoch: u64,
    /// Newest configuration revision received; 0 before the first.
    pub revision: u64,
    /// Number of claim outcomes that have not been acknowledged yet.
    pub pending_resolutions: usize,
    /// Counters since the start of the process.
    pub counters: AgentCounters,
}

impl AgentReport {
    /// Summarizes the current state of a core.
    #[must_use]
    pub fn of(core: &AgentCore) -> Self {
        Self {
            connected: core.is_connected(),
            complete: core.complete(),
            proxy_connected: core.proxy_connected(),
            session_epoch: core.session_epoch(),
            revision: core.revision(),
            pending_resolutions: core.pending_resolutions(),
            counters: core.counters(),
        }
    }
}

/// A report shared between the driver, which writes it, and its readers.
#[derive(Clone, Debug, Default)]
pub struct SharedReport {
    report: Arc<Mutex<AgentReport>>,
}

impl SharedReport {
    /// Replaces the report.
    pub fn set(&self, report: AgentReport) {
        *self.report.lock().unwrap_or_else(PoisonError::into_inner) = report;
    }

    /// Returns a copy of the current report.
    #[must_use]
    pub fn get(&self) -> AgentReport {
        *self.report.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
