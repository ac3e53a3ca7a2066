//! A simulated TCP connection.

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

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// The connector waits for the acceptor's answer.
    Connecting,
    /// Both sides may send.
    Open,
    /// One side closed; packets sent before may still arrive.
    Closed,
}

/// One side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkEnd {
    /// The process on this side.
    pub process: ProcessId,
    /// Incarnation of the process; 0 for the acceptor until it accepts.
    pub incarnation: u64,
}

/// Packets in flight in one direction.
#[derive(Default)]
struct Lane {
    in_flight: VecDeque<Packet>,
    /// Arrival of the last packet. The next one arrives no earlier, since TCP keeps the order.
    last_arrival: MonotonicTime,
}

/// A connection with its packets in flight.
pub struct Link {
    connector: LinkEnd,
    acceptor: LinkEnd,
    state: LinkState,
    /// Whether the machine of one side was lost: no more packets arrive, and the other side is not notified.
    unresponsive: bool,
    /// The side that closed first; it gets no more packets.
    closed_by: Option<ProcessId>,
    forward: Lane,
    backward: Lane,
}

impl Link {
    /// Creates a connection in state [`LinkState::Connecting`].
    #[must_use]
    pub fn new(connector: LinkEnd, acceptor: ProcessId) -> Self {
        Self {
            connector,
            acceptor: LinkEnd {
                process: acceptor,
                incarnation: 0,
            },
            state: LinkState::Connecting,
            unresponsive: false,
            closed_by: None,
            forward: Lane::default(),
            backward: Lane::default(),
        }
    }

    /// Returns the side that connects.
    #[must_use]
    pub fn connector(&self) -> LinkEnd {
        self.connector
    }

    /// Returns the side that accepts.
    #[must_use]
    pub fn acceptor(&self) -> LinkEnd {
        self.acceptor
    }

    /// Returns the state of the connection.
    #[must_use]
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Returns whether a machine was lost, so that no more packets arrive.
    #[must_use]
    pub fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Returns whether a process is one of the two sides.
    #[must_use]
    pub fn involves(&self, process: ProcessId) -> bool {
        self.connector.process == process || self.acceptor.process == process
    }

    /// Opens the connection with an incarnation of the acceptor. Packets to the acceptor arrive no earlier
    /// than `forward_from`, packets from it no earlier than `backward_from`.
    pub fn accept(
        &mut self,
        incarnation: u64,
        forward_from: MonotonicTime,
        backward_from: MonotonicTime,
    ) {
        self.state = LinkState::Open;
        self.acceptor.incarnation = incarnation;
        self.forward.last_arrival = forward_from;
        self.backward.last_arrival = backward_from;
    }

    /// Closes the connection. The side that closes first gets no more packets.
    pub fn close(&mut self, by: ProcessId) {
        self.state = LinkState::Closed;
        self.closed_by.get_or_insert(by);
    }

    /// Marks the connection as unresponsive, because the machine of one side is lost.
    pub fn abandon(&mut self) {
        self.unresponsive = true;
    }

    /// Returns whether a packet that arrives at a side is delivered.
    #[must_use]
    pub fn delivers_to(&self, process: ProcessId) -> bool {
        !self.unresponsive && self.closed_by != Some(process)
    }

    /// Sends a packet that would arrive at `arrival`. Returns when it does arrive, never before an earlier
    /// packet, or `None` if the connection is closed.
    pub fn send(
        &mut self,
        direction: Direction,
        packet: Packet,
        arrival: MonotonicTime,
    ) -> Option<MonotonicTime> {
        if self.state == LinkState::Closed {
            return None;
        }
        let lane = self.lane(direction);
        let arrival = arrival.max(lane.last_arrival);
        lane.last_arrival = arrival;
        lane.in_flight.push_back(packet);
        Some(arrival)
    }

    /// Takes the next packet in flight in a direction.
    pub fn take(&mut self, direction: Direction) -> Option<Packet> {
        self.lane(direction).in_flight.pop_front()
    }

    fn lane(&mut self, direction: Direction) -> &mut Lane {
        match direction {
            Direction::Forward => &mut self.forward,
            Direction::Backward => &mut self.backward,
        }
    }

    /// Returns the direction in which a side sends.
    #[must_use]
    pub fn direction_from(&self, process: ProcessId) -> Direction {
        if self.connector.process == process {
            Direction::Forward
        } else {
            Direction::Backward
        }
    }

    /// Returns the side that sends in a direction.
    #[must_use]
    pub fn sender(&self, direction: Direction) -> LinkEnd {
        match direction {
            Direction::Forward => self.connector,
            Direction::Backward => self.acceptor,
        }
    }

    /// Returns the side that receives in a direction.
    #[must_use]
    pub fn receiver(&self, direction: Direction) -> LinkEnd {
        match direction {
            Direction::Forward => self.acceptor,
            Direction::Backward => self.connector,
        }
    }
}
