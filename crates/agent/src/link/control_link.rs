//! Keeps a connection to one control node and fails over to another when that node fails.

use millford_api::state::ControlMember;
use millford_core::backoff::Backoff;
use millford_core::{Duration, MonotonicTime};

use crate::input::ControlLinkId;
use crate::link::endpoint_list::EndpointList;
use crate::timing::{
    CONNECT_TIMEOUT, CONTROL_INACTIVITY_TIMEOUT, MAX_CONTROL_INACTIVITY_TIMEOUT,
    MAX_RECONNECT_BACKOFF, MIN_RECONNECT_BACKOFF, STABLE_AFTER, STARTUP_CONNECT_TIMEOUT,
    STARTUP_PERIOD,
};

/// What the owner of the link has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Open a connection.
    Connect {
        /// Number of the new connection.
        link: ControlLinkId,
        /// IP address and port.
        address: String,
    },
    /// Close a connection, or stop connecting.
    Close {
        /// Number of the connection.
        link: ControlLinkId,
    },
}

#[derive(Clone, Debug)]
enum ConnectionState {
    Disconnected {
        retry_at: MonotonicTime,
    },
    Connecting {
        link: ControlLinkId,
        address: String,
        started_at: MonotonicTime,
    },
    Connected {
        link: ControlLinkId,
        address: String,
        last_received: MonotonicTime,
        /// Had quorum contact for long enough to start a new pass over the other endpoints.
        is_stable: bool,
    },
}

/// State of the agent's connection to the control plane.
#[derive(Clone, Debug)]
pub struct ControlLink {
    endpoints: EndpointList,
    state: ConnectionState,
    next_link: ControlLinkId,
    backoff: Backoff,
    /// Time without a frame after which a control node counts as unresponsive.
    inactivity_timeout: Duration,
    /// A node of this pass accepted the connection and then became unresponsive.
    timed_out_in_pass: bool,
    /// Since when the control node has reported quorum contact.
    quorum_contact_since: Option<MonotonicTime>,
    /// Until then passes follow each other quickly; ends early with the first quorum contact.
    startup_until: Option<MonotonicTime>,
}

impl ControlLink {
    /// A link that is disconnected and connects at the first tick.
    #[must_use]
    pub fn new(endpoints: EndpointList, now: MonotonicTime) -> Self {
        Self {
            endpoints,
            state: ConnectionState::Disconnected { retry_at: now },
            next_link: 1,
            backoff: Backoff::new(MIN_RECONNECT_BACKOFF, MAX_RECONNECT_BACKOFF),
            inactivity_timeout: CONTROL_INACTIVITY_TIMEOUT,
            timed_out_in_pass: false,
            quorum_contact_since: None,
            startup_until: Some(now + STARTUP_PERIOD),
        }
    }

    /// Number of the connection while it is up.
    #[must_use]
    pub fn up(&self) -> Option<ControlLinkId> {
        match self.state {
            ConnectionState::Connected { link, .. } => Some(link),
            _ => None,
        }
    }

    /// Whether this is the connection that is up.
    #[must_use]
    pub fn is_up(&self, link: ControlLinkId) -> bool {
        self.up() == Some(link)
    }

    /// Whether the control node last reported that it is in contact with the quorum of the
    /// configuration shard.
    #[must_use]
    pub fn has_quorum_contact(&self) -> bool {
        self.quorum_contact_since.is_some()
    }

    /// Replaces the control members; returns whether they changed.
    pub fn update_members(&mut self, members: &[ControlMember]) -> bool {
        self.endpoints.update_members(members)
    }

    /// A connection is established. Returns whether it is the one that was being made.
    pub fn connection_established(
        &mut self,
        now: MonotonicTime,
        established: ControlLinkId,
    ) -> bool {
        let ConnectionState::Connecting { link, address, .. } = &mut self.state else {
            return false;
        };
        if *link != established {
            return false;
        }
        self.state = ConnectionState::Connected {
            link: *link,
            address: std::mem::take(address),
            last_received: now,
            is_stable: false,
        };
        true
    }

    /// A connection failed, or could not be made. One that is not the present one is ignored.
    pub fn connection_lost(&mut self, now: MonotonicTime, lost: ControlLinkId) {
        let is_present = match self.state {
            ConnectionState::Connected { link, .. } | ConnectionState::Connecting { link, .. } => {
                link == lost
            }
            ConnectionState::Disconnected { .. } => false,
        };
        if is_present {
            self.disconnect(now);
        }
    }

    /// The control node sent something.
    pub fn record_received(&mut self, now: MonotonicTime) {
        if let ConnectionState::Connected { last_received, .. } = &mut self.state {
            *last_received = now;
        }
    }

    /// The control node reports whether it has quorum contact. Returns whether the agent should stay.
    pub fn record_quorum_contact(&mut self, now: MonotonicTime, has_quorum: bool) -> bool {
        let ConnectionState::Connected { .. } = self.state else {
            return true;
        };
        if has_quorum {
            self.quorum_contact_since.get_or_insert(now);
            self.startup_until = None;
        } else {
            self.quorum_contact_since = None;
        }
        has_quorum
    }

    /// Gives the present node up for the next one; none when there is no connection.
    pub fn fail_over(&mut self, now: MonotonicTime) -> Option<LinkAction> {
        let link = match self.state {
            ConnectionState::Connected { link, .. } | ConnectionState::Connecting { link, .. } => {
                link
            }
            ConnectionState::Disconnected { .. } => return None,
        };
        self.disconnect(now);
        Some(LinkAction::Close { link })
    }

    /// Closes a connection that timed out, and connects to the next endpoint when it is time.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<LinkAction> {
        let mut actions = Vec::new();
        let timed_out = match self.state {
            ConnectionState::Connected { last_received, .. } => {
                now.since(last_received) > self.inactivity_timeout
            }
            ConnectionState::Connecting { started_at, .. } => {
                now.since(started_at) > self.connect_timeout(now)
            }
            ConnectionState::Disconnected { .. } => false,
        };
        if timed_out {
            self.timed_out_in_pass |= self.up().is_some();
            actions.extend(self.fail_over(now));
        }
        self.update_stability(now);
        actions.extend(self.connect_next(now));
        actions
    }

    /// A node that has been good for a while makes every other one worth a try again. Before that the
    /// pass goes on, so that nodes which fail one after the other are not retried without a backoff.
    fn update_stability(&mut self, now: MonotonicTime) {
        let ConnectionState::Connected {
            address, is_stable, ..
        } = &mut self.state
        else {
            return;
        };
        let since = self.quorum_contact_since;
        if !*is_stable && since.is_some_and(|since| now.since(since) >= STABLE_AFTER) {
            *is_stable = true;
            self.endpoints.start_pass(Some(address));
            self.backoff.reset();
            self.inactivity_timeout = CONTROL_INACTIVITY_TIMEOUT;
        }
    }

    fn connect_next(&mut self, now: MonotonicTime) -> Option<LinkAction> {
        let ConnectionState::Disconnected { retry_at } = self.state else {
            return None;
        };
        if now < retry_at {
            return None;
        }
        let address = self.endpoints.next_endpoint().or_else(|| {
            self.endpoints.start_pass(None);
            self.endpoints.next_endpoint()
        })?;
        let link = self.next_link;
        self.next_link += 1;
        self.state = ConnectionState::Connecting {
            link,
            address: address.clone(),
            started_at: now,
        };
        Some(LinkAction::Connect { link, address })
    }

    /// Schedules the next attempt: at once, or after a backoff when the pass is complete.
    fn disconnect(&mut self, now: MonotonicTime) {
        self.quorum_contact_since = None;
        let delay = if self.endpoints.is_pass_complete() {
            self.extend_inactivity_timeout();
            self.next_backoff(now)
        } else {
            Duration::ZERO
        };
        self.state = ConnectionState::Disconnected {
            retry_at: now + delay,
        };
    }

    fn next_backoff(&mut self, now: MonotonicTime) -> Duration {
        if self.is_starting_up(now) {
            MIN_RECONNECT_BACKOFF
        } else {
            self.backoff.next_delay()
        }
    }

    fn connect_timeout(&self, now: MonotonicTime) -> Duration {
        if self.is_starting_up(now) {
            STARTUP_CONNECT_TIMEOUT
        } else {
            CONNECT_TIMEOUT
        }
    }

    fn is_starting_up(&self, now: MonotonicTime) -> bool {
        self.startup_until.is_some_and(|until| now < until)
    }

    /// Nodes that are busy get more time in the next pass; nodes that are down are not waited for.
    fn extend_inactivity_timeout(&mut self) {
        if std::mem::take(&mut self.timed_out_in_pass) {
            self.inactivity_timeout =
                (self.inactivity_timeout * 2).min(MAX_CONTROL_INACTIVITY_TIMEOUT);
        }
    }
}
