//! The simulation: state, event loop and dispatch to the drivers.

use std::collections::BTreeMap;
use std::time::Duration;

use millford_core::MonotonicTime;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checkers::CheckResults;
use crate::history::Record;
use crate::kernel::{EventQueue, ProcessClock};
use crate::network::{Links, PartitionTable, ProcessId};
use crate::scenario::{Scenario, Topology};
use crate::world::active_faults::ActiveFaults;
use crate::world::agent_process::AgentProcess;
use crate::world::backend::{BackendKind, BackendProcess, RecentRuns};
use crate::world::callers::Callers;
use crate::world::control_process::ControlProcess;
use crate::world::event::{Event, RegistryEvent};
use crate::world::injected_defect::InjectedDefect;
use crate::world::operators::Operators;
use crate::world::process::{ProcessLoss, ProcessState};
use crate::world::process_input::ProcessInput;
use crate::world::proxy::ProxyProcess;
use crate::world::recorder::Recorder;
use crate::world::run_options::RunOptions;
use crate::world::service_registry::ServiceRegistry;

/// Largest initial drift of a clock in either direction, in parts per million.
const MAX_DRIFT_PPM: i32 = 200;

/// Upper bound of a clock's initial reading, in microseconds.
const MAX_CLOCK_START: u64 = 1 << 40;

/// Time within which the control nodes, agents and proxies start, in microseconds.
const START_SPREAD_MICROS: u64 = 300_000;

/// The whole state of a run.
pub struct Simulation {
    /// The scenario that is run.
    pub(super) scenario: Scenario,
    /// Number of machines and tenants.
    pub(super) topology: Topology,
    /// Seed, output and injected defect of the run.
    pub(super) options: RunOptions,
    /// Scheduled events, ordered by simulated time.
    pub(super) queue: EventQueue<Event>,
    /// Random number generator, the only source of randomness.
    pub(super) random: ChaCha8Rng,
    /// Recorder of the history, with the checkers.
    pub(super) recorder: Recorder,
    /// Simulated TCP connections between processes.
    pub(super) links: Links,
    /// Active network partitions between machines.
    pub(super) partitions: PartitionTable,
    /// Control nodes by number, from 1; lost ones included.
    pub(super) controls: BTreeMap<u16, ControlProcess>,
    /// Agents, by the number of their proxy node, from 1.
    pub(super) agents: BTreeMap<u16, AgentProcess>,
    /// Proxies, by the number of their proxy node, from 1.
    pub(super) proxies: BTreeMap<u16, ProxyProcess>,
    /// Backends by number, from 1; retired ones included.
    pub(super) backends: BTreeMap<u16, BackendProcess>,
    /// Service registry of the platform, which lists the backends.
    pub(super) registry: ServiceRegistry,
    /// Callers with their keys and client requests.
    pub(super) callers: Callers,
    /// Operators with their orders and pending requests.
    pub(super) operators: Operators,
    /// Planned and active faults.
    pub(super) faults: ActiveFaults,
    /// Runs that backends started recently.
    pub(super) recent_runs: RecentRuns,
    last_incarnation: u64,
}

impl Simulation {
    /// Creates a run of a scenario: empty disks, backends started, the first events scheduled.
    #[must_use]
    pub fn new(scenario: &Scenario, options: RunOptions) -> Self {
        let topology = scenario.topology(options.seed);
        let mut simulation = Self {
            scenario: scenario.clone(),
            topology,
            options,
            queue: EventQueue::default(),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            recorder: Recorder::default(),
            links: Links::default(),
            partitions: PartitionTable::default(),
            controls: BTreeMap::new(),
            agents: BTreeMap::new(),
            proxies: BTreeMap::new(),
            backends: BTreeMap::new(),
            registry: ServiceRegistry::default(),
            callers: Callers::new(scenario, topology, options.defect),
            operators: Operators::new(scenario, topology),
            faults: ActiveFaults::default(),
            recent_runs: RecentRuns::default(),
            last_incarnation: 0,
        };
        simulation.recorder.verbose = options.verbose;
        simulation.build();
        simulation
    }

    fn build(&mut self) {
        for number in 1..=self.topology.control_nodes {
            self.add_control(number);
        }
        for number in 1..=self.topology.proxy_nodes {
            let agent = AgentProcess::new(self.new_process());
            self.agents.insert(number, agent);
            let proxy = ProxyProcess::new(self.new_process());
            self.proxies.insert(number, proxy);
        }
        self.start_at_random_times();
        for _ in 0..self.topology.models {
            let backend = self.add_backend(BackendKind::Model);
            self.register_now(backend);
        }
        for _ in 0..self.topology.lookups {
            let backend = self.add_backend(BackendKind::Lookup);
            self.register_now(backend);
        }
        self.start_callers();
        self.start_operators();
        self.plan_faults();
    }

    fn start_at_random_times(&mut self) {
        let controls = self
            .controls
            .keys()
            .map(|number| ProcessId::Control(*number));
        let agents = self.agents.keys().map(|number| ProcessId::Agent(*number));
        let proxies = self.proxies.keys().map(|number| ProcessId::Proxy(*number));
        let processes: Vec<ProcessId> = controls.chain(agents).chain(proxies).collect();
        for process in processes {
            let delay = self.random.random_range(0..START_SPREAD_MICROS);
            self.schedule_after(Duration::from_micros(delay), Event::Start { process });
        }
    }

    fn register_now(&mut self, backend: u16) {
        self.start_process(ProcessId::Backend(backend));
        self.handle_registry(RegistryEvent::Register { backend });
    }

    /// Creates a process with a random clock.
    pub(super) fn new_process(&mut self) -> ProcessState {
        let local = self.random.random_range(0..MAX_CLOCK_START);
        let drift = self.random.random_range(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM);
        let now = self.now();
        let clock = ProcessClock::new(now, MonotonicTime::from_micros(local), drift);
        ProcessState::new(clock)
    }

    /// Returns the number of a new incarnation.
    pub(super) fn next_incarnation(&mut self) -> u64 {
        self.last_incarnation += 1;
        self.last_incarnation
    }

    /// Returns the simulated time.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        self.queue.now()
    }

    /// Schedules an event after a delay.
    pub(super) fn schedule_after(&mut self, delay: Duration, event: Event) {
        let at = self.now() + delay;
        self.queue.push(at, event);
    }

    /// Adds a record to the history, at the present simulated time.
    pub(super) fn record(&mut self, record: &Record) {
        let now = self.now();
        self.recorder.record(now, record);
    }

    /// Prints a log line if the run is verbose.
    pub(super) fn log(&mut self, text: impl FnOnce() -> String) {
        let now = self.now();
        self.recorder.log(now, text);
    }

    /// Runs to the end of the scenario. Returns the results of the checkers.
    pub fn run(&mut self) -> CheckResults {
        let end = MonotonicTime::ZERO + self.scenario.duration;
        while self.now() < end {
            let Some((at, event)) = self.queue.pop() else {
                break;
            };
            if at >= end {
                break;
            }
            self.handle(event);
        }
        self.recorder.finish(end)
    }

    /// Returns the trace hash so far.
    #[must_use]
    pub fn trace_hash(&self) -> u64 {
        self.recorder.trace_hash()
    }

    /// Returns the number of events in the trace hash.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.recorder.events()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Input {
                process,
                incarnation,
                input,
            } => self.deliver_input(process, incarnation, input),
            Event::Ready {
                process,
                incarnation,
            } => self.drain_inbox(process, incarnation),
            Event::Connect { link, attempts } => self.handle_connect(link, attempts),
            Event::Arrive { link, direction } => self.handle_arrival(link, direction),
            Event::SendLater {
                process,
                incarnation,
                link,
                packet,
            } => self.send_later(process, incarnation, link, *packet),
            Event::Start { process } => self.start_process(process),
            Event::FaultBegins { fault } => self.begin_planned_fault(fault),
            Event::FaultEnds { fault } => self.end_fault(fault),
            Event::CallerSends { lookup } => self.send_next_request(lookup),
            Event::CallerResends { client_request } => self.resend_request(client_request),
            Event::CallerReceives {
                client_request,
                delivery,
            } => self.deliver_to_caller(client_request, delivery),
            Event::CallerTimeout { client_request } => self.handle_caller_timeout(client_request),
            Event::Operator(event) => self.handle_operator(event),
            Event::Registry(event) => self.handle_registry(event),
            Event::ReadRegistry {
                process,
                incarnation,
            } => self.read_registry(process, incarnation),
        }
    }

    /// Returns the state of a process.
    #[must_use]
    pub(super) fn process(&self, process: ProcessId) -> Option<&ProcessState> {
        match process {
            ProcessId::Control(number) => self.controls.get(&number).map(|it| &it.process),
            ProcessId::Agent(number) => self.agents.get(&number).map(|it| &it.process),
            ProcessId::Proxy(number) => self.proxies.get(&number).map(|it| &it.process),
            ProcessId::Backend(number) => self.backends.get(&number).map(|it| &it.process),
        }
    }

    /// Returns the state of a process, for modification.
    pub(super) fn process_mut(&mut self, process: ProcessId) -> Option<&mut ProcessState> {
        match process {
            ProcessId::Control(number) => self.controls.get_mut(&number).map(|it| &mut it.process),
            ProcessId::Agent(number) => self.agents.get_mut(&number).map(|it| &mut it.process),
            ProcessId::Proxy(number) => self.proxies.get_mut(&number).map(|it| &mut it.process),
            ProcessId::Backend(number) => self.backends.get_mut(&number).map(|it| &mut it.process),
        }
    }

    /// Returns the reading of a process's clock.
    #[must_use]
    pub(super) fn local_time(&self, process: ProcessId) -> MonotonicTime {
        let now = self.now();
        self.process(process)
            .map_or(now, |state| state.clock.local(now))
    }

    /// Returns the incarnation of a process, 0 while it does not run.
    #[must_use]
    pub(super) fn incarnation_of(&self, process: ProcessId) -> u64 {
        match self.process(process) {
            Some(state) if state.running => state.incarnation,
            _ => 0,
        }
    }

    /// Passes an input to a process, or queues it while the process is frozen or busy.
    pub(super) fn deliver_input(
        &mut self,
        process: ProcessId,
        incarnation: u64,
        input: ProcessInput,
    ) {
        let now = self.now();
        let Some(state) = self.process_mut(process) else {
            return;
        };
        if !state.running || state.incarnation != incarnation {
            return;
        }
        let blocked = !state.is_free(now) || !state.inbox.is_empty();
        if blocked && !matches!(input, ProcessInput::Tick) {
            state.inbox.push_back(input);
            return;
        }
        self.dispatch(process, input, blocked);
    }

    /// Passes the queued inputs to a process, as far as it can handle them.
    pub(super) fn drain_inbox(&mut self, process: ProcessId, incarnation: u64) {
        loop {
            let now = self.now();
            let Some(state) = self.process_mut(process) else {
                return;
            };
            if state.incarnation != incarnation || !state.is_free(now) || state.inbox.is_empty() {
                return;
            }
            if let ProcessId::Control(number) = process {
                let inputs = std::mem::take(&mut state.inbox);
                self.control_batch(number, inputs.into());
                return;
            }
            let Some(input) = state.inbox.pop_front() else {
                return;
            };
            self.dispatch(process, input, false);
        }
    }

    /// Passes an input to the driver of a process. A `blocked` process is frozen or busy: the tick that it gets
    /// only schedules the next one.
    fn dispatch(&mut self, process: ProcessId, input: ProcessInput, blocked: bool) {
        match process {
            ProcessId::Control(number) => self.control_input(number, input, blocked),
            ProcessId::Agent(number) => self.agent_input(number, input, blocked),
            ProcessId::Proxy(number) => self.proxy_input(number, input, blocked),
            ProcessId::Backend(number) => self.backend_input(number, input),
        }
    }

    /// Starts a process that does not run, as a new incarnation. Its disk is unchanged.
    pub(super) fn start_process(&mut self, process: ProcessId) {
        let incarnation = self.next_incarnation();
        let defect = self.options.defect;
        let Some(state) = self.process_mut(process) else {
            return;
        };
        if state.running {
            return;
        }
        // Injected defect: the first proxy does not restart.
        let again = state.incarnation != 0 && process == ProcessId::Proxy(1);
        if again && defect == Some(InjectedDefect::NoRestart) {
            return;
        }
        state.start(incarnation);
        self.reset_unresponsive_links(process);
        match process {
            ProcessId::Control(number) => self.start_control(number),
            ProcessId::Agent(number) => self.start_agent(number),
            ProcessId::Proxy(number) => self.start_proxy(number),
            ProcessId::Backend(number) => self.start_backend(number),
        }
    }

    /// Ends a process abruptly. `loss` determines whether its peers get the end of their connections.
    pub(super) fn kill_process(&mut self, process: ProcessId, loss: ProcessLoss) {
        let Some(state) = self.process_mut(process) else {
            return;
        };
        if !state.running {
            return;
        }
        state.stop();
        self.end_links(process, loss);
        match process {
            ProcessId::Control(number) => self.control_exited(number),
            ProcessId::Agent(number) => self.agent_exited(number),
            ProcessId::Proxy(number) => self.proxy_exited(number),
            ProcessId::Backend(number) => self.backend_exited(number),
        }
    }

    /// Schedules the next tick of a process.
    pub(super) fn tick_after(&mut self, process: ProcessId, incarnation: u64, delay: Duration) {
        self.schedule_input(delay, process, incarnation, ProcessInput::Tick);
    }

    /// Schedules an input to an incarnation of a process.
    pub(super) fn schedule_input(
        &mut self,
        delay: Duration,
        process: ProcessId,
        incarnation: u64,
        input: ProcessInput,
    ) {
        self.schedule_after(
            delay,
            Event::Input {
                process,
                incarnation,
                input,
            },
        );
    }
}
