//! Drives the connections: open, send, close, loss.

use std::time::Duration;

use millford_core::MonotonicTime;
use rand::Rng;

use crate::network::{Direction, LinkNumber, LinkState, Packet, ProcessId};
use crate::world::event::Event;
use crate::world::process::ProcessLoss;
use crate::world::process_input::ProcessInput;
use crate::world::simulation::Simulation;

/// Shortest delay of a packet between two machines, in microseconds.
const MIN_DELAY_MICROS: u64 = 100;
/// Upper bound of the delay of most packets between two machines, in microseconds.
const MAX_DELAY_MICROS: u64 = 1500;
/// Upper bound of the delay of the other packets, in microseconds.
const LONG_DELAY_MICROS: u64 = 30_000;
/// Share of packets whose delay is only bounded by [`LONG_DELAY_MICROS`].
const LONG_DELAY_SHARE: f64 = 0.005;
/// Delay between two processes of one machine, in microseconds.
const LOCAL_DELAY_MICROS: u64 = 60;
/// Shortest time until a lost packet is retransmitted, in microseconds.
const RETRANSMIT_MIN_MICROS: u64 = 100_000;
/// Upper bound of the time until a lost packet is retransmitted, in microseconds.
const RETRANSMIT_MAX_MICROS: u64 = 400_000;
/// Time until a connection request without an answer is repeated.
const CONNECT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Number of connection requests without an answer after which the connection fails.
const CONNECT_ATTEMPTS: u32 = 4;

impl Simulation {
    /// Draws the delay of a packet between two processes.
    pub(super) fn network_delay(&mut self, from: ProcessId, to: ProcessId) -> Duration {
        if from.machine() == to.machine() {
            return Duration::from_micros(LOCAL_DELAY_MICROS);
        }
        let max = if self.random.random_bool(LONG_DELAY_SHARE) {
            LONG_DELAY_MICROS
        } else {
            MAX_DELAY_MICROS
        };
        Duration::from_micros(self.random.random_range(MIN_DELAY_MICROS..max))
    }

    fn retransmit_delay(&mut self) -> Duration {
        let micros = self
            .random
            .random_range(RETRANSMIT_MIN_MICROS..RETRANSMIT_MAX_MICROS);
        Duration::from_micros(micros)
    }

    /// Starts a connection. The connecting process later gets `LinkOpened` or `LinkClosed`.
    pub(super) fn open_link(&mut self, connector: ProcessId, acceptor: ProcessId) -> LinkNumber {
        let incarnation = self.incarnation_of(connector);
        let link = self.links.connect(connector, incarnation, acceptor);
        let delay = self.network_delay(connector, acceptor);
        self.schedule_after(delay, Event::Connect { link, attempts: 0 });
        link
    }

    /// Handles the arrival of a connection request, or its loss.
    pub(super) fn handle_connect(&mut self, link: LinkNumber, attempts: u32) {
        let Some(it) = self.links.get(link) else {
            return;
        };
        let (connector, acceptor) = (it.connector(), it.acceptor().process);
        let passable = self
            .partitions
            .is_passable(connector.process.machine(), acceptor.machine());
        if !passable || self.faults.is_machine_down(acceptor.machine()) {
            self.retry_connection(link, attempts);
            return;
        }
        let incarnation = self.incarnation_of(acceptor);
        let delay = self.network_delay(acceptor, connector.process);
        if incarnation == 0 {
            self.links.remove(link);
            self.schedule_input(
                delay,
                connector.process,
                connector.incarnation,
                closed(link),
            );
            return;
        }
        let now = self.now();
        if let Some(it) = self.links.get_mut(link) {
            it.accept(incarnation, now, now + delay);
        }
        self.deliver_input(acceptor, incarnation, opened(link, true));
        self.schedule_input(
            delay,
            connector.process,
            connector.incarnation,
            opened(link, false),
        );
    }

    fn retry_connection(&mut self, link: LinkNumber, attempts: u32) {
        if attempts + 1 < CONNECT_ATTEMPTS {
            let attempts = attempts + 1;
            self.schedule_after(CONNECT_RETRY_AFTER, Event::Connect { link, attempts });
            return;
        }
        if let Some(it) = self.links.remove(link) {
            let connector = it.connector();
            self.deliver_input(connector.process, connector.incarnation, closed(link));
        }
    }

    /// Sends a packet at simulated time `at`, now or later.
    pub(super) fn send_packet(
        &mut self,
        from: ProcessId,
        link: LinkNumber,
        packet: Packet,
        at: MonotonicTime,
    ) {
        let Some(it) = self.links.get(link) else {
            return;
        };
        let direction = it.direction_from(from);
        let to = it.receiver(direction).process;
        let delay = self.network_delay(from, to);
        let (tag, size) = packet.trace();
        let arrival = self.links.send(link, direction, packet, at + delay);
        if let Some(arrival) = arrival {
            self.queue.push(arrival, Event::Arrive { link, direction });
            self.trace_packet(link, tag, size);
        }
    }

    /// Sends a packet that waited for a sync, if its process is still the same incarnation.
    pub(super) fn send_later(
        &mut self,
        process: ProcessId,
        incarnation: u64,
        link: LinkNumber,
        packet: Packet,
    ) {
        if self.incarnation_of(process) == incarnation {
            let now = self.now();
            self.send_packet(process, link, packet, now);
        }
    }

    fn trace_packet(&mut self, link: LinkNumber, tag: u8, size: usize) {
        let now = self.now();
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&link.0.to_le_bytes());
        bytes[8..].copy_from_slice(&(size as u64).to_le_bytes());
        self.recorder.trace(now, tag, &bytes);
    }

    /// Handles the arrival of the next packet of a direction. In a partition the packet is lost and
    /// retransmitted later.
    pub(super) fn handle_arrival(&mut self, link: LinkNumber, direction: Direction) {
        let Some(it) = self.links.get(link) else {
            return;
        };
        let (from, to) = (it.sender(direction).process, it.receiver(direction));
        if self
            .partitions
            .is_partitioned(from.machine(), to.process.machine())
        {
            let delay = self.retransmit_delay();
            self.schedule_after(delay, Event::Arrive { link, direction });
            return;
        }
        let Some(it) = self.links.get_mut(link) else {
            return;
        };
        let Some(packet) = it.take(direction) else {
            return;
        };
        if !it.delivers_to(to.process) {
            return;
        }
        let input = match packet {
            Packet::End => {
                self.links.remove(link);
                closed(link)
            }
            packet => ProcessInput::Packet { link, packet },
        };
        self.deliver_input(to.process, to.incarnation, input);
    }

    /// Closes a connection from one side. The other side gets the end after all packets that were sent before.
    pub(super) fn close_link(&mut self, process: ProcessId, link: LinkNumber) {
        let Some(it) = self.links.get(link) else {
            return;
        };
        if it.state() == LinkState::Connecting || it.is_unresponsive() {
            self.links.remove(link);
            return;
        }
        let now = self.now();
        self.send_packet(process, link, Packet::End, now);
        if let Some(it) = self.links.get_mut(link) {
            it.close(process);
        }
    }

    /// Ends the connections of a process that ended: closes them, or makes them unresponsive if the machine
    /// is lost.
    pub(super) fn end_links(&mut self, process: ProcessId, loss: ProcessLoss) {
        for link in self.links.of_process(process) {
            match loss {
                ProcessLoss::Crash => self.close_link(process, link),
                ProcessLoss::MachineLost => {
                    if let Some(it) = self.links.get_mut(link) {
                        it.abandon();
                    }
                }
            }
        }
    }

    /// Resets the unresponsive connections of a process whose machine is up again.
    pub(super) fn reset_unresponsive_links(&mut self, process: ProcessId) {
        for link in self.links.of_process(process) {
            let Some(it) = self.links.get(link).filter(|it| it.is_unresponsive()) else {
                continue;
            };
            let peer = it.receiver(it.direction_from(process));
            self.links.remove(link);
            self.deliver_input(peer.process, peer.incarnation, closed(link));
        }
    }

    /// Resets the connections of a process to other machines.
    pub(super) fn reset_links(&mut self, process: ProcessId) {
        for link in self.links.of_process(process) {
            let Some(it) = self.links.get(link) else {
                continue;
            };
            let ends = [it.connector(), it.acceptor()];
            if ends[0].process.machine() == ends[1].process.machine() {
                continue;
            }
            self.links.remove(link);
            for end in ends {
                self.deliver_input(end.process, end.incarnation, closed(link));
            }
        }
    }
}

fn opened(link: LinkNumber, accepted: bool) -> ProcessInput {
    ProcessInput::LinkOpened { link, accepted }
}

fn closed(link: LinkNumber) -> ProcessInput {
    ProcessInput::LinkClosed { link }
}
