//! Connections: opening, sending, closing, loss.

use std::time::Duration;

use millford_core::MonotonicTime;
use rand::Rng;

use crate::network::{Direction, LinkNumber, LinkState, Packet, ProcessId};
use crate::world::event::Event;
use crate::world::process_input::ProcessInput;
use crate::world::site::Site;

const MIN_DELAY_MICROS: u64 = 100;
const MAX_DELAY_MICROS: u64 = 1500;
const LONG_DELAY_MICROS: u64 = 30_000;
const LONG_DELAY_SHARE: f64 = 0.005;
const LOCAL_DELAY_MICROS: u64 = 60;
const RETRANSMIT_MIN_MICROS: u64 = 100_000;
const RETRANSMIT_MAX_MICROS: u64 = 400_000;
const CONNECT_RETRY: Duration = Duration::from_secs(1);
const CONNECT_ATTEMPTS: u32 = 4;

impl Site {
    /// Delay of one packet between two processes.
    pub fn network_delay(&mut self, from: ProcessId, to: ProcessId) -> Duration {
        if from.machine() == to.machine() {
            return Duration::from_micros(LOCAL_DELAY_MICROS);
        }
        let most = match self.random.random_bool(LONG_DELAY_SHARE) {
            true => LONG_DELAY_MICROS,
            false => MAX_DELAY_MICROS,
        };
        Duration::from_micros(self.random.random_range(MIN_DELAY_MICROS..most))
    }

    fn retransmit_delay(&mut self) -> Duration {
        let micros = self
            .random
            .random_range(RETRANSMIT_MIN_MICROS..RETRANSMIT_MAX_MICROS);
        Duration::from_micros(micros)
    }

    /// Starts a connection; the connecting process gets `LinkOpened` or `LinkClosed`.
    pub fn open_link(&mut self, connector: ProcessId, acceptor: ProcessId) -> LinkNumber {
        let incarnation = self.incarnation_of(connector);
        let link = self.links.connect(connector, incarnation, acceptor);
        let delay = self.network_delay(connector, acceptor);
        self.schedule_after(delay, Event::Connect { link, attempts: 0 });
        link
    }

    /// A connection request arrives, or would.
    pub fn connection_arrives(&mut self, link: LinkNumber, attempts: u32) {
        let Some(it) = self.links.get(link) else {
            return;
        };
        let (connector, acceptor) = (it.connector, it.acceptor);
        let connector_incarnation = it.connector_incarnation;
        let passable = self
            .partitions
            .is_passable(connector.machine(), acceptor.machine());
        if !passable || self.is_machine_down(acceptor) {
            self.retry_connection(link, attempts);
            return;
        }
        let acceptor_incarnation = self.incarnation_of(acceptor);
        let delay = self.network_delay(acceptor, connector);
        if acceptor_incarnation == 0 {
            self.links.remove(link);
            self.deliver_after(delay, connector, connector_incarnation, closed(link));
            return;
        }
        let opened_at = self.now() + delay;
        if let Some(it) = self.links.get_mut(link) {
            it.state = LinkState::Open;
            it.acceptor_incarnation = acceptor_incarnation;
            it.last_arrival = [self.queue.now(), opened_at];
        }
        let accepted = true;
        self.deliver_input(
            acceptor,
            acceptor_incarnation,
            ProcessInput::LinkOpened { link, accepted },
        );
        let accepted = false;
        let opened = ProcessInput::LinkOpened { link, accepted };
        self.deliver_after(delay, connector, connector_incarnation, opened);
    }

    fn retry_connection(&mut self, link: LinkNumber, attempts: u32) {
        if attempts + 1 < CONNECT_ATTEMPTS {
            let attempts = attempts + 1;
            self.schedule_after(CONNECT_RETRY, Event::Connect { link, attempts });
            return;
        }
        if let Some(it) = self.links.remove(link) {
            self.deliver_input(it.connector, it.connector_incarnation, closed(link));
        }
    }

    fn deliver_after(
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

    /// Sends a packet at a time, now or later.
    pub fn send_packet(
        &mut self,
        from: ProcessId,
        link: LinkNumber,
        packet: Packet,
        at: MonotonicTime,
    ) {
        let Some(it) = self.links.get(link) else {
            return;
        };
        let direction = match it.connector == from {
            true => Direction::Forward,
            false => Direction::Backward,
        };
        let to = it.receiver(direction);
        let delay = self.network_delay(from, to);
        let trace = packet.trace();
        let arrival = self.links.send(link, direction, packet, at + delay);
        if let Some(arrival) = arrival {
            self.queue.push(arrival, Event::Arrive { link, direction });
            self.trace_packet(link, trace);
        }
    }

    fn trace_packet(&mut self, link: LinkNumber, (tag, size): (u8, usize)) {
        let now = self.now();
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&link.0.to_le_bytes());
        bytes[8..].copy_from_slice(&(size as u64).to_le_bytes());
        self.recorder.trace(now, tag, &bytes);
    }

    /// The next packet of a direction arrives, unless it is lost and sent again.
    pub fn packet_arrives(&mut self, link: LinkNumber, direction: Direction) {
        let Some(it) = self.links.get(link) else {
            return;
        };
        let (from, to) = (it.sender(direction), it.receiver(direction));
        let incarnation = it.receiver_incarnation(direction);
        if self.partitions.is_partitioned(from.machine(), to.machine()) {
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
        if it.unresponsive || it.closed_by == Some(to) {
            return;
        }
        if matches!(packet, Packet::End) {
            self.links.remove(link);
            self.deliver_input(to, incarnation, closed(link));
            return;
        }
        self.deliver_input(to, incarnation, ProcessInput::Packet { link, packet });
    }

    /// One side closes; the other receives the end after what was sent before.
    pub fn close_link(&mut self, process: ProcessId, link: LinkNumber) {
        let Some(it) = self.links.get(link) else {
            return;
        };
        if it.state == LinkState::Connecting || it.unresponsive {
            self.links.remove(link);
            return;
        }
        let now = self.now();
        self.send_packet(process, link, Packet::End, now);
        if let Some(it) = self.links.get_mut(link) {
            it.state = LinkState::Closed;
            it.closed_by.get_or_insert(process);
        }
    }

    /// A process ended: its connections are closed, or stop responding if its machine is lost.
    pub fn end_links(&mut self, process: ProcessId, unresponsive: bool) {
        for link in self.links.of_process(process) {
            if !unresponsive {
                self.close_link(process, link);
            } else if let Some(it) = self.links.get_mut(link) {
                it.unresponsive = true;
            }
        }
    }

    /// A machine that was lost is back: its old connections are reset.
    pub fn reset_unresponsive_links(&mut self, process: ProcessId) {
        for link in self.links.of_process(process) {
            let Some(it) = self.links.get(link).filter(|it| it.unresponsive) else {
                continue;
            };
            let direction = match it.connector == process {
                true => Direction::Forward,
                false => Direction::Backward,
            };
            let (other, incarnation) = (it.receiver(direction), it.receiver_incarnation(direction));
            self.links.remove(link);
            self.deliver_input(other, incarnation, closed(link));
        }
    }

    /// Resets every connection between machines of a process.
    pub fn reset_links(&mut self, process: ProcessId) {
        for link in self.links.of_process(process) {
            let Some(it) = self.links.get(link) else {
                continue;
            };
            if it.connector.machine() == it.acceptor.machine() {
                continue;
            }
            let ends = [
                (it.connector, it.connector_incarnation),
                (it.acceptor, it.acceptor_incarnation),
            ];
            self.links.remove(link);
            for (end, incarnation) in ends {
                self.deliver_input(end, incarnation, closed(link));
            }
        }
    }

    fn is_machine_down(&self, process: ProcessId) -> bool {
        self.faults.is_machine_down(process.machine())
    }
}

fn closed(link: LinkNumber) -> ProcessInput {
    ProcessInput::LinkClosed { link }
}
