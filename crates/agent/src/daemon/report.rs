//! What the agent shows to people and monitors.

use std::sync::{Arc, Mutex, PoisonError};

use crate::agent_core::AgentCore;
use crate::counters::AgentCounters;

/// State of the agent after its last event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentReport {
    /// A control node that is in touch with the quorum answers.
    pub in_touch: bool,
    /// Every shard was confirmed since the start.
    pub complete: bool,
    /// The proxy is linked.
    pub proxy_linked: bool,
    /// Epoch of the session, or 0.
    pub session_epoch: u64,
    /// Configuration revision held.
    pub revision: u64,
    /// Settlements that wait to be recorded.
    pub settles_waiting: usize,
    /// Counts since the start.
    pub counters: AgentCounters,
}

impl AgentReport {
    /// The present state of a core.
    #[must_use]
    pub fn of(core: &AgentCore) -> Self {
        Self {
            in_touch: core.in_touch(),
            complete: core.complete(),
            proxy_linked: core.proxy_linked(),
            session_epoch: core.session_epoch(),
            revision: core.revision(),
            settles_waiting: core.settles_waiting(),
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
    /// Puts a newer report in place.
    pub fn set(&self, report: AgentReport) {
        *self.report.lock().unwrap_or_else(PoisonError::into_inner) = report;
    }

    /// The present report.
    #[must_use]
    pub fn get(&self) -> AgentReport {
        *self.report.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
