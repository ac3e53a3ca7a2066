//! Identifiers of simulated machines and processes.

/// A machine: the unit that network partitions separate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MachineId {
    /// A control node by number, from 1; a replacement has a new number.
    ControlNode(u16),
    /// A proxy node by number, from 1.
    ProxyNode(u16),
    /// The machine of a backend, by the backend's number.
    Backend(u16),
    /// The machine of the service registry.
    Registry,
    /// All machines of callers and operators.
    Outside,
}

/// A process on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProcessId {
    /// The process of a control node.
    Control(u16),
    /// The agent of a proxy node.
    Agent(u16),
    /// The proxy of a proxy node.
    Proxy(u16),
    /// A backend.
    Backend(u16),
}

impl ProcessId {
    /// Returns the machine that the process runs on.
    #[must_use]
    pub fn machine(self) -> MachineId {
        match self {
            ProcessId::Control(number) => MachineId::ControlNode(number),
            ProcessId::Agent(number) | ProcessId::Proxy(number) => MachineId::ProxyNode(number),
            ProcessId::Backend(number) => MachineId::Backend(number),
        }
    }

    /// Returns the number of the process among its kind.
    #[must_use]
    pub fn number(self) -> u16 {
        match self {
            ProcessId::Control(number)
            | ProcessId::Agent(number)
            | ProcessId::Proxy(number)
            | ProcessId::Backend(number) => number,
        }
    }
}
