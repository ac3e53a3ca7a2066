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

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// The connecting side waits for the answer.
    Connecting,
    /// Both sides may send.
    Open,
    /// One side closed; what was sent before may still arrive.
    Closed,
}

/// One side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkEnd {
    /// The process.
    pub process: ProcessId,
    /// Its incarnation; 0 for the accepting side until it accepted.
    pub incarnation: u64,
}

/// Packets that travel in one direction.
#[derive(Default)]
struct Lane {
    in_flight: VecDeque<Packet>,
    /// Earliest arrival of the next packet: TCP never reorders.
    last_arrival: MonotonicTime,
}

/// A connection with its packets in flight.
pub struct Link {
    connector: LinkEnd,
    acceptor: LinkEnd,
    state: LinkState,
    /// A machine was lost: nothing more arrives, and no peer is notified.
    unresponsive: bool,
    /// The side that closed; nothing reaches it any more.
    closed_by: Option<ProcessId>,
    forward: Lane,
    backward: Lane,
}

impl Link {
    /// A connection that is being opened.
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

    /// The side that connected.
    #[must_use]
    pub fn connector(&self) -> LinkEnd {
        self.connector
    }

    /// The side that accepts.
    #[must_use]
    pub fn acceptor(&self) -> LinkEnd {
        self.acceptor
    }

    /// How far the connection has come.
    #[must_use]
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Whether a machine was lost, so that nothing more arrives.
    #[must_use]
    pub fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Whether a process is one of the two sides.
    #[must_use]
    pub fn involves(&self, process: ProcessId) -> bool {
        self.connector.process == process || self.acceptor.process == process
    }

    /// The accepting side accepted. Its packets may arrive from `forward_from` on, those to it from
    /// `backward_from` on.
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

    /// A side closed. The first to do so gets nothing any more.
    pub fn close(&mut self, by: ProcessId) {
        self.state = LinkState::Closed;
        self.closed_by.get_or_insert(by);
    }

    /// The machine of a side is lost.
    pub fn abandon(&mut self) {
        self.unresponsive = true;
    }

    /// Whether a packet that arrives at a side is delivered.
    #[must_use]
    pub fn delivers_to(&self, process: ProcessId) -> bool {
        !self.unresponsive && self.closed_by != Some(process)
    }

    /// Sends a packet and returns its arrival, never before that of an earlier one; `None` if the
    /// connection is closed.
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

    /// Takes the next packet of a direction.
    pub fn take(&mut self, direction: Direction) -> Option<Packet> {
        self.lane(direction).in_flight.pop_front()
    }

    fn lane(&mut self, direction: Direction) -> &mut Lane {
        match direction {
            Direction::Forward => &mut self.forward,
            Direction::Backward => &mut self.backward,
        }
    }

    /// The direction in which a side sends.
    #[must_use]
    pub fn direction_from(&self, process: ProcessId) -> Direction {
        if self.connector.process == process {
            Direction::Forward
        } else {
            Direction::Backward
        }
    }

    /// The side that sends in a direction.
    #[must_use]
    pub fn sender(&self, direction: Direction) -> LinkEnd {
        match direction {
            Direction::Forward => self.connector,
            Direction::Backward => self.acceptor,
        }
    }

    /// The side that receives in a direction.
    #[must_use]
    pub fn receiver(&self, direction: Direction) -> LinkEnd {
        match direction {
            Direction::Forward => self.acceptor,
            Direction::Backward => self.connector,
        }
    }
}
