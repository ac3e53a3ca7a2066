//! One simulated TCP connection.

use std::collections::VecDeque;

use millford_core::MonotonicTime;

use crate::network::packet::Packet;
use crate::network::process_id::ProcessId;

/// Number of a connection, unique in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkNumber(pub u64);

/// One of the two directions of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Direction {
    /// From the side that connected.
    Forward,
    /// Towards the side that connected.
    Backward,
}

impl Direction {
    /// The other direction.
    #[must_use]
    pub fn reversed(self) -> Self {
        match self {
            Direction::Forward => Direction::Backward,
            Direction::Backward => Direction::Forward,
        }
    }
}

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// The connecting side waits for the answer.
    Connecting,
    /// Both sides may send.
    Open,
    /// Gone for both sides, or about to be.
    Closed,
}

/// A connection with its packets in flight.
pub struct Link {
    /// The side that connected.
    pub connector: ProcessId,
    /// Incarnation of the connecting process.
    pub connector_incarnation: u64,
    /// The side that accepted.
    pub acceptor: ProcessId,
    /// Incarnation of the accepting process, once open.
    pub acceptor_incarnation: u64,
    /// How far it has come.
    pub state: LinkState,
    /// A machine was lost: nothing more arrives, and no peer is notified.
    pub unresponsive: bool,
    /// The side that closed; nothing reaches it any more.
    pub closed_by: Option<ProcessId>,
    /// Packets in flight, per direction.
    pub in_flight: [VecDeque<Packet>; 2],
    /// Earliest arrival of the next packet, per direction: TCP never reorders.
    pub last_arrival: [MonotonicTime; 2],
}

impl Link {
    /// Index of a direction in the arrays.
    #[must_use]
    pub fn index(direction: Direction) -> usize {
        match direction {
            Direction::Forward => 0,
            Direction::Backward => 1,
        }
    }

    /// Takes the next packet of a direction.
    pub fn take(&mut self, direction: Direction) -> Option<Packet> {
        self.in_flight[Self::index(direction)].pop_front()
    }

    /// The process that sends in a direction.
    #[must_use]
    pub fn sender(&self, direction: Direction) -> ProcessId {
        match direction {
            Direction::Forward => self.connector,
            Direction::Backward => self.acceptor,
        }
    }

    /// The process that receives in a direction.
    #[must_use]
    pub fn receiver(&self, direction: Direction) -> ProcessId {
        self.sender(direction.reversed())
    }

    /// Incarnation of the process that receives in a direction.
    #[must_use]
    pub fn receiver_incarnation(&self, direction: Direction) -> u64 {
        match direction {
            Direction::Forward => self.acceptor_incarnation,
            Direction::Backward => self.connector_incarnation,
        }
    }
}
