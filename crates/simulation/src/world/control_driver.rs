//! Drives the control nodes; replaces the I/O of the control daemon.

use std::sync::Arc;
use std::time::Duration;

use millford_control::options::VOTERS_PER_SHARD;
use millford_control::timing::TICK;
use millford_control::{ControlNode, ControlOptions, LinkId, NodeInput, NodeOutput, PeerKind};
use millford_core::MonotonicTime;
use millford_storage::Disk;
use rand::Rng;

use crate::disk::MemoryDisk;
use crate::network::{LinkNumber, Packet, ProcessId};
use crate::world::addresses::{
    SEEDS, control_address, control_at, operator_address, seed_addresses,
};
use crate::world::control_process::ControlProcess;
use crate::world::event::{Event, OperatorEvent};
use crate::world::injected_defect::InjectedDefect;
use crate::world::process::ProcessLoss;
use crate::world::process_input::ProcessInput;
use crate::world::simulation::Simulation;

/// Longest sync that only delays the messages it makes durable; a longer one blocks the whole node.
const MAX_NONBLOCKING_SYNC: Duration = Duration::from_millis(200);
/// Number of shards, without the configuration shard.
const DATA_SHARDS: u32 = 6;
/// Time after which a node that is not reachable is replaced in its shards.
const REPLACE_AFTER: Duration = Duration::from_secs(5);
/// Time from a fatal error of a node to its restart.
const RESTART_AFTER_FATAL: Duration = Duration::from_secs(1);
/// Time from the start of a node to its first read of the registry.
const FIRST_REGISTRY_READ_AFTER: Duration = Duration::from_millis(10);

impl Simulation {
    /// Adds a control node with an empty disk.
    pub(super) fn add_control(&mut self, number: u16) {
        let seeds = self.seeds_for_new_control(number);
        let control = ControlProcess::new(self.new_process(), seeds);
        if self.options.defect == Some(InjectedDefect::IgnoredSyncs) {
            control.disk().ignore_syncs();
        }
        self.controls.insert(number, control);
    }

    /// Opens the node of a control process that starts.
    pub(super) fn start_control(&mut self, number: u16) {
        let process = ProcessId::Control(number);
        let local = self.local_time(process);
        let incarnation = self.incarnation_of(process);
        let options = self.control_options(number);
        let Some(control) = self.controls.get_mut(&number) else {
            return;
        };
        control.forget_incarnation();
        let disk_image = Arc::clone(&control.disk_image);
        let disks = move |folder: &str| {
            Box::new(MemoryDisk::new(Arc::clone(&disk_image), folder)) as Box<dyn Disk>
        };
        match ControlNode::open(options, disks, local) {
            Ok(node) => {
                control.node = Some(node);
                self.tick_after(process, incarnation, TICK);
                self.schedule_registry_read(FIRST_REGISTRY_READ_AFTER, process, incarnation);
            }
            Err(error) => {
                self.log(|| format!("control node {number} failed to open its data: {error}"));
                self.control_fatal(number);
            }
        }
    }

    /// Returns the seed addresses of a new control node. The initial nodes have each other's addresses. Later
    /// ones get the addresses of nodes in service, as the operators' guide requires.
    fn seeds_for_new_control(&self, number: u16) -> Vec<String> {
        if number <= SEEDS {
            return seed_addresses();
        }
        let serving = self.controls.iter().filter(|(_, control)| !control.lost);
        serving
            .map(|(number, _)| control_address(*number))
            .collect()
    }

    fn control_options(&mut self, number: u16) -> ControlOptions {
        let control = self.controls.get(&number);
        let seeds = control
            .map(|control| control.seeds.clone())
            .unwrap_or_default();
        ControlOptions {
            zone: self.zone(number),
            internal_address: control_address(number),
            operator_address: operator_address(number),
            seeds,
            data_shards: DATA_SHARDS,
            voters_per_shard: VOTERS_PER_SHARD,
            replace_after: REPLACE_AFTER,
            seed: self.random.random(),
        }
    }

    /// Returns the zone of the machine with this number among its kind.
    #[must_use]
    pub(super) fn zone(&self, number: u16) -> String {
        format!("zone-{}", number % self.topology.zones.max(1))
    }

    /// Handles the end of a control process: drops its node and loses unsynced bytes.
    pub(super) fn control_exited(&mut self, number: u16) {
        let Some(control) = self.controls.get_mut(&number) else {
            return;
        };
        control.forget_incarnation();
        control.disk().lose_power(&mut self.random);
    }

    fn control_fatal(&mut self, number: u16) {
        let process = ProcessId::Control(number);
        self.kill_process(process, ProcessLoss::Crash);
        self.schedule_after(RESTART_AFTER_FATAL, Event::Start { process });
    }

    /// Passes an input to a control node. A `blocked` node is frozen or busy, and a tick only schedules the
    /// next one.
    pub(super) fn control_input(&mut self, number: u16, input: ProcessInput, blocked: bool) {
        let process = ProcessId::Control(number);
        let incarnation = self.incarnation_of(process);
        if matches!(input, ProcessInput::Tick) {
            self.tick_after(process, incarnation, TICK);
            if blocked {
                return;
            }
        }
        if let Some(input) = self.control_node_input(number, input) {
            self.handle_batch(number, vec![input]);
        }
    }

    /// Passes the inputs that were queued while the disk was busy to a control node as one batch, which needs
    /// only one flush.
    pub(super) fn control_batch(&mut self, number: u16, inputs: Vec<ProcessInput>) {
        let inputs = inputs.into_iter();
        let inputs: Vec<_> = inputs
            .filter_map(|input| self.control_node_input(number, input))
            .collect();
        self.handle_batch(number, inputs);
    }

    fn handle_batch(&mut self, number: u16, inputs: Vec<NodeInput>) {
        let process = ProcessId::Control(number);
        let incarnation = self.incarnation_of(process);
        let local = self.local_time(process);
        let Some(control) = self.controls.get_mut(&number) else {
            return;
        };
        let Some(node) = control.node.as_mut() else {
            return;
        };
        let outputs = node.handle_batch(local, inputs);
        let (busy, stalled) = {
            let mut disk = control.disk();
            (disk.take_busy_micros(), disk.take_stalled())
        };
        let mut free_at = self.now() + Duration::from_micros(busy);
        if stalled {
            free_at = free_at.max(self.faults.stalled_until(number));
        }
        // In the daemon each shard syncs on its own thread, with one sync for all that is waiting. So a
        // short sync merely delays what it makes durable, while a long one blocks the node.
        if free_at > self.now() + MAX_NONBLOCKING_SYNC {
            self.busy_until(process, incarnation, free_at);
        }
        for output in outputs {
            self.control_output(number, output, free_at);
        }
    }

    fn busy_until(&mut self, process: ProcessId, incarnation: u64, free_at: MonotonicTime) {
        if let Some(state) = self.process_mut(process) {
            state.busy_until = free_at;
        }
        self.queue.push(
            free_at,
            Event::Ready {
                process,
                incarnation,
            },
        );
    }

    fn control_node_input(&mut self, number: u16, input: ProcessInput) -> Option<NodeInput> {
        let registry = self.registry.view();
        let control = self.controls.get_mut(&number)?;
        match input {
            ProcessInput::LinkOpened { link, accepted } => {
                let peer = if accepted {
                    PeerKind::Incoming
                } else {
                    PeerKind::Outgoing
                };
                if accepted {
                    control.accept_link(link);
                }
                let link = control.links.name_of(link)?;
                Some(NodeInput::LinkOpened { link, peer })
            }
            ProcessInput::LinkClosed { link } => {
                let link = control.links.remove(link)?;
                Some(NodeInput::LinkClosed { link })
            }
            ProcessInput::Packet {
                link,
                packet: Packet::Frame(frame),
            } => {
                let link = control.links.name_of(link)?;
                Some(NodeInput::Frame {
                    link,
                    frame: *frame,
                })
            }
            ProcessInput::Operator { request, body } => Some(NodeInput::Operator {
                request,
                body: *body,
            }),
            ProcessInput::Registry => Some(NodeInput::Registry(registry)),
            ProcessInput::Tick => Some(NodeInput::Tick),
            _ => None,
        }
    }

    fn control_output(&mut self, number: u16, output: NodeOutput, at: MonotonicTime) {
        let process = ProcessId::Control(number);
        match output {
            NodeOutput::Send { link, frame } => {
                if let Some(link) = self.control_link(number, link) {
                    let packet = Packet::Frame(Box::new(frame));
                    self.schedule_send(at, process, link, packet);
                }
            }
            NodeOutput::Connect { link, address } => {
                self.connect_control_to_peer(number, link, &address);
            }
            NodeOutput::Close { link } => {
                let control = self.controls.get_mut(&number);
                let link = control.and_then(|control| control.links.remove_name(link));
                if let Some(link) = link {
                    self.close_link(process, link);
                }
            }
            NodeOutput::OperatorReply { request, reply } => {
                let delay = self.network_delay(process, ProcessId::Backend(0));
                self.operators.send_reply(request, reply);
                self.queue.push(
                    at + delay,
                    Event::Operator(OperatorEvent::Reply { request }),
                );
            }
            NodeOutput::Event(event) => {
                self.log(|| format!("control node {number}: {event:?}"));
            }
            NodeOutput::Fatal { code } => {
                self.log(|| format!("control node {number} stops after a fatal error: {code}"));
                self.control_fatal(number);
            }
        }
    }

    fn schedule_send(
        &mut self,
        at: MonotonicTime,
        process: ProcessId,
        link: LinkNumber,
        packet: Packet,
    ) {
        let incarnation = self.incarnation_of(process);
        let packet = Box::new(packet);
        let send = Event::SendLater {
            process,
            incarnation,
            link,
            packet,
        };
        self.queue.push(at, send);
    }

    fn control_link(&self, number: u16, link: LinkId) -> Option<LinkNumber> {
        self.controls.get(&number)?.links.link_of(link)
    }

    fn connect_control_to_peer(&mut self, number: u16, id: LinkId, address: &str) {
        let process = ProcessId::Control(number);
        let link = self.open_link(process, control_at(address));
        if let Some(control) = self.controls.get_mut(&number) {
            control.links.insert(link, id);
        }
    }
}
