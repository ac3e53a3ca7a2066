//! All connections of a run.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::network::link::{Direction, Link, LinkEnd, LinkNumber};
use crate::network::packet::Packet;
use crate::network::process_id::ProcessId;

/// Table of connections, by number.
#[derive(Default)]
pub struct Links {
    links: BTreeMap<LinkNumber, Link>,
    last: u64,
}

impl Links {
    /// Starts a connection from a process's incarnation to another process.
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

    /// Sends a packet and returns its arrival, never before that of an earlier one; `None` if the
    /// connection is closed or was removed.
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

    /// Numbers of the connections of a process, in order.
    #[must_use]
    pub fn of_process(&self, process: ProcessId) -> Vec<LinkNumber> {
        let links = self.links.iter().filter(|(_, link)| link.involves(process));
        links.map(|(number, _)| *number).collect()
    }
}
