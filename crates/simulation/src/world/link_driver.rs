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
const CONNECT_TRIES: u32 = 4;

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

    /// Starts a connection; the connecting process hears `LinkOpened` or `LinkClosed`.
    pub fn open_link(&mut self, connector: ProcessId, acceptor: ProcessId) -> LinkNumber {
        let boot = self.boot_of(connector);
        let link = self.links.connect(connector, boot, acceptor);
        let delay = self.network_delay(connector, acceptor);
        self.after(delay, Event::Connect { link, tries: 0 });
        link
    }

    /// A connection request arrives, or would.
    pub fn connection_arrives(&mut self, link: LinkNumber, tries: u32) {
        let Some(it) = self.links.get(link) else {
            return;
        };
        let (connector, acceptor) = (it.connector, it.acceptor);
        let connector_boot = it.connector_boot;
        let passable = self
            .cuts
            .is_passable(connector.machine(), acceptor.machine());
        if !passable || self.is_machine_down(acceptor) {
            self.retry_connection(link, tries);
            return;
        }
        let acceptor_boot = self.boot_of(acceptor);
        let delay = self.network_delay(acceptor, connector);
        if acceptor_boot == 0 {
            self.links.remove(link);
            self.tell_after(delay, connector, connector_boot, closed(link));
            return;
        }
        let opened_at = self.now() + delay;
        if let Some(it) = self.links.get_mut(link) {
            it.state = LinkState::Open;
            it.acceptor_boot = acceptor_boot;
            it.last_arrival = [self.queue.now(), opened_at];
        }
        let accepted = true;
        self.give(
            acceptor,
            acceptor_boot,
            ProcessInput::LinkOpened { link, accepted },
        );
        let accepted = false;
        let opened = ProcessInput::LinkOpened { link, accepted };
        self.tell_after(delay, connector, connector_boot, opened);
    }

    fn retry_connection(&mut self, link: LinkNumber, tries: u32) {
        if tries + 1 < CONNECT_TRIES {
            let tries = tries + 1;
            self.after(CONNECT_RETRY, Event::Connect { link, tries });
            return;
        }
        if let Some(it) = self.links.remove(link) {
            self.give(it.connector, it.connector_boot, closed(link));
        }
    }

    fn tell_after(&mut self, delay: Duration, process: ProcessId, boot: u64, input: ProcessInput) {
        self.after(
            delay,
            Event::Input {
                process,
                boot,
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
        let boot = it.receiver_boot(direction);
        if self.cuts.is_cut(from.machine(), to.machine()) {
            let delay = self.retransmit_delay();
            self.after(delay, Event::Arrive { link, direction });
            return;
        }
        let Some(it) = self.links.get_mut(link) else {
            return;
        };
        let Some(packet) = it.take(direction) else {
            return;
        };
        if it.silent || it.closed_by == Some(to) {
            return;
        }
        if matches!(packet, Packet::End) {
            self.links.remove(link);
            self.give(to, boot, closed(link));
            return;
        }
        self.give(to, boot, ProcessInput::Packet { link, packet });
    }

    /// One side closes; the other hears of it after what was sent before.
    pub fn close_link(&mut self, process: ProcessId, link: LinkNumber) {
        let Some(it) = self.links.get(link) else {
            return;
        };
        if it.state == LinkState::Connecting || it.silent {
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

    /// A process ended: its connections end, in silence if its machine is lost.
    pub fn end_links(&mut self, process: ProcessId, silent: bool) {
        for link in self.links.of_process(process) {
            if !silent {
                self.close_link(process, link);
            } else if let Some(it) = self.links.get_mut(link) {
                it.silent = true;
            }
        }
    }

    /// A machine is back after a silent loss: what arrives on its old connections is refused.
    pub fn break_silent_links(&mut self, process: ProcessId) {
        for link in self.links.of_process(process) {
            let Some(it) = self.links.get(link).filter(|it| it.silent) else {
                continue;
            };
            let direction = match it.connector == process {
                true => Direction::Forward,
                false => Direction::Backward,
            };
            let (other, boot) = (it.receiver(direction), it.receiver_boot(direction));
            self.links.remove(link);
            self.give(other, boot, closed(link));
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
                (it.connector, it.connector_boot),
                (it.acceptor, it.acceptor_boot),
            ];
            self.links.remove(link);
            for (end, boot) in ends {
                self.give(end, boot, closed(link));
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
