//! What happens in a simulated fleet.

use crate::fleet::fleet_options::FaultKind;

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The next request of a model load arrives.
    Arrival {
        /// Index of the model load.
        load: usize,
    },
    /// A host's next phase change, unless the host changed since.
    HostChange {
        /// Index of the host.
        host: usize,
        /// State of the host that the change was computed for; a later state voids it.
        generation: u64,
    },
    /// The attempt has been unresponsive for too long.
    AttemptTimeout {
        /// Number of the request.
        request: u64,
        /// Number of the attempt within the request.
        attempt: u32,
    },
    /// The caller gives up.
    Deadline {
        /// Number of the request.
        request: u64,
    },
    /// Proxies report their load and receive the load snapshot.
    Report,
    /// The placement role plans.
    Plan,
    /// Utilization is sampled.
    Sample,
    /// Proxies probe ejected backends.
    Probe,
    /// A fault or an operator's act.
    Fault(FaultKind),
    /// The platform ends a retired backend.
    Retired {
        /// Index of the host.
        host: usize,
    },
}
