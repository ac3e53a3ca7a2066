//! Steps of the agent's shutdown.

use millford_core::{Duration, MonotonicTime};

use crate::timing::DRAIN_NOTICE_TIMEOUT;

/// Progress of the shutdown since the termination signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shutdown {
    /// The proxy may still serve requests, so that the agent goes on as before.
    ServingProxy {
        /// Time of the termination signal.
        since: MonotonicTime,
    },
    /// The request to close the session is in flight.
    ClosingSession {
        /// Id of the request.
        request_id: u64,
        /// Time after which the agent no longer waits for the reply.
        deadline: MonotonicTime,
    },
}

/// What the agent knows about its proxy while it shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyPhase {
    /// No proxy is connected, or its process has ended.
    Gone,
    /// The proxy has not reported that it is draining.
    Serving,
    /// The proxy is draining.
    Draining,
}

impl Shutdown {
    /// Returns whether the session is to be closed now, because the proxy no longer needs the agent.
    ///
    /// A termination signal for the whole machine reaches the proxy as well, which then reports that it is draining.
    /// A proxy that does not within [`DRAIN_NOTICE_TIMEOUT`] goes on: only the agent is being replaced.
    #[must_use]
    pub fn must_close_session(
        &self,
        now: MonotonicTime,
        proxy: ProxyPhase,
        drain_timeout: Duration,
    ) -> bool {
        let Self::ServingProxy { since } = self else {
            return false;
        };
        let waited = now.since(*since);
        match proxy {
            ProxyPhase::Gone => true,
            ProxyPhase::Serving => waited >= DRAIN_NOTICE_TIMEOUT.min(drain_timeout),
            ProxyPhase::Draining => waited >= drain_timeout,
        }
    }
}
