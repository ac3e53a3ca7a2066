//! Maintains a connection to one control node and fails over to another when that node fails.

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

/// Action that the owner of the link has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Open a connection.
    Connect {
        /// Identifier of the new connection.
        link: ControlLinkId,
        /// IP address and port.
        address: String,
    },
    /// Close a connection, or cancel one that is still being established.
    Close {
        /// Identifier of the connection.
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
        /// Whether quorum contact has lasted for [`STABLE_AFTER`], so that a new pass over the
        /// other endpoints was started.
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
    /// Time without a frame after which the control node is considered unresponsive.
    inactivity_timeout: Duration,
    /// Whether a pass over all endpoints has failed since the last call of [`Self::take_failed_pass`].
    failed_pass: bool,
    /// Whether a node in the current pass accepted the connection and then became unresponsive.
    timed_out_in_pass: bool,
    /// Time since which the control node has reported quorum contact; `None` while it does not.
    quorum_contact_since: Option<MonotonicTime>,
    /// End of the startup period, in which timeouts and backoffs are short; `None` after the first
    /// quorum contact.
    startup_until: Option<MonotonicTime>,
}

impl ControlLink {
    /// Creates a disconnected link that connects at the first tick.
    #[must_use]
    pub fn new(endpoints: EndpointList, now: MonotonicTime) -> Self {
        Self {
            endpoints,
            state: ConnectionState::Disconnected { retry_at: now },
            next_link: 1,
            backoff: Backoff::new(MIN_RECONNECT_BACKOFF, MAX_RECONNECT_BACKOFF),
            inactivity_timeout: CONTROL_INACTIVITY_TIMEOUT,
            failed_pass: false,
            timed_out_in_pass: false,
            quorum_contact_since: None,
            startup_until: Some(now + STARTUP_PERIOD),
        }
    }

    /// Returns the identifier of the established connection, if there is one.
    #[must_use]
    pub fn connected_link(&self) -> Option<ControlLinkId> {
        match self.state {
            ConnectionState::Connected { link, .. } => Some(link),
            _ => None,
        }
    }

    /// Returns whether `link` is the established connection.
    #[must_use]
    pub fn is_up(&self, link: ControlLinkId) -> bool {
        self.connected_link() == Some(link)
    }

    /// Returns the address of the control node, if a connection is established.
    #[must_use]
    pub fn connected_address(&self) -> Option<&str> {
        match &self.state {
            ConnectionState::Connected { address, .. } => Some(address),
            _ => None,
        }
    }

    /// Returns whether the control node last reported contact with the quorum of the configuration
    /// shard.
    #[must_use]
    pub fn has_quorum_contact(&self) -> bool {
        self.quorum_contact_since.is_some()
    }

    /// Replaces the list of control members. Returns whether it changed.
    pub fn update_members(&mut self, members: &[ControlMember]) -> bool {
        self.endpoints.update_members(members)
    }

    /// Replaces the seeds. While the link is disconnected, a changed list is tried at once.
    pub fn update_seeds(&mut self, now: MonotonicTime, seeds: Vec<String>) {
        let current = self.connected_address().map(str::to_owned);
        let changed = self.endpoints.update_seeds(seeds, current.as_deref());
        if let ConnectionState::Disconnected { retry_at } = &mut self.state
            && changed
        {
            *retry_at = now;
        }
    }

    /// Returns whether a pass over all endpoints has failed since the last call.
    pub fn take_failed_pass(&mut self) -> bool {
        std::mem::take(&mut self.failed_pass)
    }

    /// Records that a connection was established. Returns `false` if it is not the one that the
    /// link was waiting for; the caller then has to close it.
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

    /// Records that a connection failed or could not be established. Ignored if it is not the
    /// current one.
    pub fn connection_lost(&mut self, now: MonotonicTime, lost: ControlLinkId) {
        let is_current = match self.state {
            ConnectionState::Connected { link, .. } | ConnectionState::Connecting { link, .. } => {
                link == lost
            }
            ConnectionState::Disconnected { .. } => false,
        };
        if is_current {
            self.disconnect(now);
        }
    }

    /// Records activity of the control node, which resets the inactivity timeout.
    pub fn record_received(&mut self, now: MonotonicTime) {
        if let ConnectionState::Connected { last_received, .. } = &mut self.state {
            *last_received = now;
        }
    }

    /// Records whether the control node reports quorum contact. Returns `false` if the agent should
    /// fail over.
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

    /// Closes the current connection or connection attempt, so that a later tick connects to the
    /// next endpoint. Returns `None` if there is none.
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

    /// Closes a connection that has timed out, and connects to the next endpoint when that is due.
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
            self.timed_out_in_pass |= self.connected_link().is_some();
            actions.extend(self.fail_over(now));
        }
        self.update_stability(now);
        actions.extend(self.connect_next(now));
        actions
    }

    /// Starts a new pass over the other endpoints once quorum contact has lasted for
    /// [`STABLE_AFTER`]. Until then the current pass continues, so that nodes that fail one after
    /// the other are not retried without a backoff.
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

    /// Schedules the next connection attempt: immediately, or after a backoff if the pass is
    /// complete.
    fn disconnect(&mut self, now: MonotonicTime) {
        self.quorum_contact_since = None;
        let delay = if self.endpoints.is_pass_complete() {
            self.failed_pass = true;
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

    /// Doubles the inactivity timeout for the next pass if a connected node timed out in this one,
    /// to give overloaded nodes more time. Nodes that could not be reached do not extend it.
    fn extend_inactivity_timeout(&mut self) {
        if std::mem::take(&mut self.timed_out_in_pass) {
            self.inactivity_timeout =
                (self.inactivity_timeout * 2).min(MAX_CONTROL_INACTIVITY_TIMEOUT);
        }
    }
}
