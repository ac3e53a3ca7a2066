//! Names of simulated machines and processes.

/// A machine: what network cuts separate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MachineId {
    /// A core machine, by its place in the scenario; a replacement has a new number.
    Core(u16),
    /// A front machine.
    Front(u16),
    /// The machine of a backend.
    Backend(u16),
    /// Where the service registry runs.
    Registry,
    /// Where callers and operators are.
    Outside,
}

/// A process on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProcessId {
    /// The control node of a core machine.
    Control(u16),
    /// The agent of a front machine.
    Agent(u16),
    /// The proxy of a front machine.
    Proxy(u16),
    /// A backend.
    Backend(u16),
}

impl ProcessId {
    /// The machine that the process runs on.
    #[must_use]
    pub fn machine(self) -> MachineId {
        match self {
            ProcessId::Control(number) => MachineId::Core(number),
            ProcessId::Agent(number) | ProcessId::Proxy(number) => MachineId::Front(number),
            ProcessId::Backend(number) => MachineId::Backend(number),
        }
    }

    /// A number for the trace hash.
    #[must_use]
    pub fn trace_number(self) -> u32 {
        let (kind, number) = match self {
            ProcessId::Control(number) => (1, number),
            ProcessId::Agent(number) => (2, number),
            ProcessId::Proxy(number) => (3, number),
            ProcessId::Backend(number) => (4, number),
        };
        (kind << 16) | u32::from(number)
    }
}
