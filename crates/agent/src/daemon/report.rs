//! The agent's state for monitors.

use std::sync::{Arc, Mutex, PoisonError};

use crate::agent_core::AgentCore;
use crate::counters::AgentCounters;

/// State of the agent after its last event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentReport {
    /// The agent is connected to a control node that has quorum contact.
    pub connected: bool,
    /// Every shard was confirmed since the start.
    pub complete: bool,
    /// The proxy is connected.
    pub proxy_connected: bool,
    /// Epoch of the session, or 0.
    pub session_epoch: u64,
    /// Newest configuration revision received, or 0.
    pub revision: u64,
    /// Outcomes of claims that wait to be recorded.
    pub pending_resolutions: usize,
    /// Counts since the start.
    pub counters: AgentCounters,
}

impl AgentReport {
    /// The present state of a core.
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

/// A report shared between the driver and those who read it.
#[derive(Clone, Debug, Default)]
pub struct SharedReport {
    report: Arc<Mutex<AgentReport>>,
}

impl SharedReport {
    /// Replaces the report.
    pub fn set(&self, report: AgentReport) {
        *self.report.lock().unwrap_or_else(PoisonError::into_inner) = report;
    }

    /// The present report.
    #[must_use]
    pub fn get(&self) -> AgentReport {
        *self.report.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
