//! All connections of a run.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::network::link::{Direction, Link, LinkNumber, LinkState};
use crate::network::packet::Packet;
use crate::network::process_id::ProcessId;

/// Table of connections, by number.
#[derive(Default)]
pub struct Links {
    links: BTreeMap<LinkNumber, Link>,
    next: u64,
}

impl Links {
    /// Starts a connection from a process's incarnation to another process.
    pub fn connect(
        &mut self,
        connector: ProcessId,
        incarnation: u64,
        acceptor: ProcessId,
    ) -> LinkNumber {
        self.next += 1;
        let number = LinkNumber(self.next);
        let link = Link {
            connector,
            connector_incarnation: incarnation,
            acceptor,
            acceptor_incarnation: 0,
            state: LinkState::Connecting,
            unresponsive: false,
            closed_by: None,
            in_flight: Default::default(),
            last_arrival: [MonotonicTime::ZERO; 2],
        };
        self.links.insert(number, link);
        number
    }

    /// The connection, unless it was removed.
    #[must_use]
    pub fn get(&self, number: LinkNumber) -> Option<&Link> {
        self.links.get(&number)
    }

    /// The connection for changes, unless it was removed.
    pub fn get_mut(&mut self, number: LinkNumber) -> Option<&mut Link> {
        self.links.get_mut(&number)
    }

    /// Forgets a connection.
    pub fn remove(&mut self, number: LinkNumber) -> Option<Link> {
        self.links.remove(&number)
    }

    /// Sends a packet and returns its arrival, never before that of an earlier one.
    pub fn send(
        &mut self,
        number: LinkNumber,
        direction: Direction,
        packet: Packet,
        arrival: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let link = self.links.get_mut(&number)?;
        if link.state == LinkState::Closed {
            return None;
        }
        let index = Link::index(direction);
        let arrival = arrival.max(link.last_arrival[index]);
        link.last_arrival[index] = arrival;
        link.in_flight[index].push_back(packet);
        Some(arrival)
    }

    /// Numbers of the connections of a process, in order.
    #[must_use]
    pub fn of_process(&self, process: ProcessId) -> Vec<LinkNumber> {
        let taking_part = self
            .links
            .iter()
            .filter(|(_, link)| link.connector == process || link.acceptor == process);
        taking_part.map(|(number, _)| *number).collect()
    }
}
