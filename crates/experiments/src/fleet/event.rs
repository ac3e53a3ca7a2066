//! What happens in a simulated fleet.

use crate::fleet::fleet_options::FaultKind;

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The next request of a model load arrives.
    Arrival { load: usize },
    /// A host's next phase change, unless the host changed since.
    HostChange { host: usize, generation: u64 },
    /// The attempt has been silent for too long.
    AttemptTimeout { request: u64, attempt: u32 },
    /// The caller gives up.
    Deadline { request: u64 },
    /// Proxies report their work and get the picture.
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
    Retired { host: usize },
}
