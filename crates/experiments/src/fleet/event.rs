//! Events of a simulated fleet.

use crate::fleet::fleet_options::FaultKind;

/// An event of the simulation's queue.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The next request of a model load arrives.
    Arrival {
        /// Index of the model load.
        load: usize,
    },
    /// A host reaches its next phase change; ignored if the host changed after this was scheduled.
    HostChange {
        /// Index of the host.
        host: usize,
        /// Generation of the host at scheduling; the event is ignored if the host has a newer one.
        generation: u64,
    },
    /// An attempt's timeout for the first token passed.
    AttemptTimeout {
        /// Id of the request.
        request: u64,
        /// Number of the attempt within the request, from 1 on.
        attempt: u32,
    },
    /// The time that the caller waits for the first token passed.
    Deadline {
        /// Id of the request.
        request: u64,
    },
    /// Proxies report their load and receive the load snapshot.
    Report,
    /// The placement role runs a tick.
    Plan,
    /// The utilization of all hosts is sampled.
    Sample,
    /// Proxies probe backends.
    Probe,
    /// A fault or an operator's action occurs.
    Fault(FaultKind),
    /// The platform stops a retired backend.
    Retired {
        /// Index of the host.
        host: usize,
    },
}
