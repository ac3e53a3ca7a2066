//! Connections of a proxy to backends.

use std::collections::BTreeMap;
use std::time::Duration;

use millford_proxy::request::message::BackendRequest;

use crate::history::RequestNumber;
use crate::network::LinkNumber;
use crate::world::proxy::action::ExchangeNumber;

/// Purpose of a connection to a backend.
#[derive(Clone, Debug)]
pub enum BackendLink {
    /// Sends an attempt at a client request.
    Dispatch {
        /// The exchange that waits for the answer.
        exchange: ExchangeNumber,
        /// The client request that is served.
        client_request: RequestNumber,
        /// The request to send once the connection is open.
        request: Box<BackendRequest>,
    },
    /// Withdraws an attempt.
    Withdraw {
        /// The exchange that waits for the answer.
        exchange: ExchangeNumber,
        /// Id of the attempt to withdraw.
        attempt: String,
        /// Upper bound of the attempt's age.
        age: Duration,
    },
    /// Probes the health of a backend.
    Probe {
        /// Id of the backend that is probed.
        backend: String,
    },
}

impl BackendLink {
    /// Returns the exchange that waits for an answer; a probe has none.
    #[must_use]
    pub fn exchange(&self) -> Option<ExchangeNumber> {
        match self {
            Self::Dispatch { exchange, .. } | Self::Withdraw { exchange, .. } => Some(*exchange),
            Self::Probe { .. } => None,
        }
    }
}

/// Connections to backends, by number and by exchange.
#[derive(Default)]
pub struct BackendLinks {
    links: BTreeMap<LinkNumber, BackendLink>,
    exchanges: BTreeMap<ExchangeNumber, LinkNumber>,
}

impl BackendLinks {
    /// Adds a connection with its purpose.
    pub fn insert(&mut self, link: LinkNumber, purpose: BackendLink) {
        if let Some(exchange) = purpose.exchange() {
            self.exchanges.insert(exchange, link);
        }
        self.links.insert(link, purpose);
    }

    /// Returns the purpose of a connection.
    #[must_use]
    pub fn get(&self, link: LinkNumber) -> Option<&BackendLink> {
        self.links.get(&link)
    }

    /// Returns whether a probe is in progress.
    #[must_use]
    pub fn is_probing(&self) -> bool {
        let mut links = self.links.values();
        links.any(|purpose| matches!(purpose, BackendLink::Probe { .. }))
    }

    /// Removes a connection. Returns its purpose.
    pub fn remove(&mut self, link: LinkNumber) -> Option<BackendLink> {
        let purpose = self.links.remove(&link)?;
        if let Some(exchange) = purpose.exchange() {
            self.exchanges.remove(&exchange);
        }
        Some(purpose)
    }

    /// Removes the connection of an exchange. Returns its number.
    pub fn remove_exchange(&mut self, exchange: ExchangeNumber) -> Option<LinkNumber> {
        let link = self.exchanges.remove(&exchange)?;
        self.links.remove(&link);
        Some(link)
    }

    /// Removes every connection.
    pub fn clear(&mut self) {
        self.links.clear();
        self.exchanges.clear();
    }
}
