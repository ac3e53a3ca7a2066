//! Table of all connections of a run.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::network::link::{Direction, Link, LinkEnd, LinkNumber};
use crate::network::packet::Packet;
use crate::network::process_id::ProcessId;

/// Connections that were started and not yet removed, by number.
#[derive(Default)]
pub struct Links {
    links: BTreeMap<LinkNumber, Link>,
    last: u64,
}

impl Links {
    /// Starts a connection from an incarnation of a process to another process. Returns its number.
    pub fn connect(
        &mut self,
        connector: ProcessId,
        incarnation: u64,
        acceptor: ProcessId,
    ) -> LinkNumber {
        self.last += 1;
        let number = LinkNumber(self.last);
        let connector = LinkEnd {
            process: connector,
            incarnation,
        };
        self.links.insert(number, Link::new(connector, acceptor));
        number
    }

    /// Returns a connection, unless it was removed.
    #[must_use]
    pub fn get(&self, number: LinkNumber) -> Option<&Link> {
        self.links.get(&number)
    }

    /// Returns a connection for modification, unless it was removed.
    pub fn get_mut(&mut self, number: LinkNumber) -> Option<&mut Link> {
        self.links.get_mut(&number)
    }

    /// Removes a connection, with its packets in flight.
    pub fn remove(&mut self, number: LinkNumber) -> Option<Link> {
        self.links.remove(&number)
    }

    /// Sends a packet as [`Link::send`] does; `None` if the connection is closed or was removed.
    pub fn send(
        &mut self,
        number: LinkNumber,
        direction: Direction,
        packet: Packet,
        arrival: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let link = self.links.get_mut(&number)?;
        link.send(direction, packet, arrival)
    }

    /// Returns the numbers of a process's connections, in ascending order.
    #[must_use]
    pub fn of_process(&self, process: ProcessId) -> Vec<LinkNumber> {
        let links = self.links.iter().filter(|(_, link)| link.involves(process));
        links.map(|(number, _)| *number).collect()
    }
}
