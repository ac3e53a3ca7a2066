//! Drives the agents; replaces the I/O of the agent daemon.

use std::time::Duration;

use millford_agent::{AgentCore, AgentInput, AgentOptions, AgentOutput};
use rand::Rng;

use crate::history::{ProxyNodeNumber, Record};
use crate::network::{LinkNumber, Packet, ProcessId};
use crate::world::addresses::{agent_address, control_at, seed_addresses};
use crate::world::process_input::ProcessInput;
use crate::world::simulation::Simulation;

/// Longest time between two ticks.
const MAX_TICK: Duration = Duration::from_millis(50);
/// Shortest time between two ticks.
const MIN_TICK: Duration = Duration::from_micros(500);
/// Duration of a read of the registry.
const REGISTRY_DELAY: Duration = Duration::from_millis(3);
/// Time from the start of an agent to its first tick.
const START_TICK: Duration = Duration::from_millis(1);

impl Simulation {
    /// Starts an agent with the control node addresses saved on its disk.
    pub(super) fn start_agent(&mut self, number: u16) {
        let process = ProcessId::Agent(number);
        let local = self.local_time(process);
        let incarnation = self.incarnation_of(process);
        let zone = self.zone(number);
        let random_seed = self.random.random();
        let boot_id = self.random.random();
        let Some(agent) = self.agents.get_mut(&number) else {
            return;
        };
        agent.forget_incarnation();
        let mut control_addresses = seed_addresses();
        for address in &agent.saved_addresses {
            if !control_addresses.contains(address) {
                control_addresses.push(address.clone());
            }
        }
        let options = AgentOptions {
            name: format!("front-{number}"),
            zone,
            address: agent_address(number),
            boot_id,
            control_addresses,
            random_seed,
            ..Default::default()
        };
        agent.core = Some(AgentCore::new(&options, local));
        self.tick_after(process, incarnation, START_TICK);
    }

    /// Handles the end of an agent's process.
    pub(super) fn agent_exited(&mut self, number: u16) {
        if let Some(agent) = self.agents.get_mut(&number) {
            agent.forget_incarnation();
        }
        self.record_connectivity(number, false);
    }

    /// Passes an input to an agent. A `blocked` agent is frozen or busy, and a tick only schedules the next one.
    pub(super) fn agent_input(&mut self, number: u16, input: ProcessInput, blocked: bool) {
        let process = ProcessId::Agent(number);
        let is_tick = matches!(input, ProcessInput::Tick);
        if is_tick && blocked {
            let incarnation = self.incarnation_of(process);
            self.tick_after(process, incarnation, MAX_TICK);
            return;
        }
        let Some(input) = self.agent_core_input(number, input) else {
            return;
        };
        let local = self.local_time(process);
        let Some(agent) = self.agents.get_mut(&number) else {
            return;
        };
        let Some(core) = agent.core.as_mut() else {
            return;
        };
        let outputs = core.handle(local, input);
        let connected = core.is_connected();
        let next = core.next_tick(local);
        for output in outputs {
            self.agent_output(number, output);
        }
        self.record_connectivity(number, connected);
        if is_tick {
            let incarnation = self.incarnation_of(process);
            let delay = next.since(local).clamp(MIN_TICK, MAX_TICK);
            self.tick_after(process, incarnation, delay);
        }
    }

    fn record_connectivity(&mut self, number: u16, connected: bool) {
        let agent = self.agents.get_mut(&number);
        if agent.is_some_and(|agent| agent.update_connected(connected)) {
            let proxy_node = ProxyNodeNumber(number);
            self.record(&Record::AgentConnectivity {
                proxy_node,
                connected,
            });
        }
    }

    fn agent_core_input(&mut self, number: u16, input: ProcessInput) -> Option<AgentInput> {
        let registry = self.registry.agent_view();
        let agent = self.agents.get_mut(&number)?;
        match input {
            ProcessInput::LinkOpened {
                link,
                accepted: true,
            } => {
                agent.proxy = Some(link);
                Some(AgentInput::ProxyUp)
            }
            ProcessInput::LinkOpened { link, .. } => {
                let link = agent.links.name_of(link)?;
                Some(AgentInput::LinkUp { link })
            }
            ProcessInput::LinkClosed { link } if agent.proxy == Some(link) => {
                agent.proxy = None;
                Some(AgentInput::ProxyDown)
            }
            ProcessInput::LinkClosed { link } => {
                let link = agent.links.remove(link)?;
                Some(AgentInput::LinkDown { link })
            }
            ProcessInput::Packet {
                link,
                packet: Packet::Frame(frame),
            } => {
                let link = agent.links.name_of(link)?;
                Some(AgentInput::ControlFrame { link, frame })
            }
            ProcessInput::Packet {
                link,
                packet: Packet::Local(frame),
            } if agent.proxy == Some(link) => Some(AgentInput::ProxyFrame(frame)),
            ProcessInput::Registry => Some(AgentInput::Registry(registry)),
            ProcessInput::Tick => Some(AgentInput::Tick),
            _ => None,
        }
    }

    fn agent_output(&mut self, number: u16, output: AgentOutput) {
        let process = ProcessId::Agent(number);
        let now = self.now();
        match output {
            AgentOutput::Connect { link, address } => {
                self.connect_agent_to_control(number, link, &address);
            }
            AgentOutput::SendControl { link, frame } => {
                if let Some(link) = self.agent_link(number, link) {
                    self.send_packet(process, link, Packet::Frame(frame), now);
                }
            }
            AgentOutput::CloseControl { link } => {
                let agent = self.agents.get_mut(&number);
                let link = agent.and_then(|agent| agent.links.remove_name(link));
                if let Some(link) = link {
                    self.close_link(process, link);
                }
            }
            AgentOutput::SendProxy(frame) => {
                let link = self.agents.get(&number).and_then(|agent| agent.proxy);
                if let Some(link) = link {
                    self.send_packet(process, link, Packet::Local(frame), now);
                }
            }
            AgentOutput::ReadRegistry => {
                let incarnation = self.incarnation_of(process);
                self.schedule_registry_read(REGISTRY_DELAY, process, incarnation);
            }
            AgentOutput::SaveMembers(members) => {
                if let Some(agent) = self.agents.get_mut(&number) {
                    let addresses = members.into_iter().map(|member| member.internal_address);
                    agent.saved_addresses = addresses.collect();
                }
            }
            // The seeds of a simulated fleet do not change, and its processes are not told to end.
            AgentOutput::ReadSeeds | AgentOutput::Stopped => {}
        }
    }

    fn agent_link(&self, number: u16, link: u64) -> Option<LinkNumber> {
        self.agents.get(&number)?.links.link_of(link)
    }

    fn connect_agent_to_control(&mut self, number: u16, id: u64, address: &str) {
        let process = ProcessId::Agent(number);
        let link = self.open_link(process, control_at(address));
        if let Some(agent) = self.agents.get_mut(&number) {
            agent.links.insert(link, id);
        }
    }
}
