//! A proxy's connections to backends.

use std::collections::BTreeMap;
use std::time::Duration;

use millford_proxy::request::message::BackendRequest;

use crate::history::RequestNumber;
use crate::network::LinkNumber;
use crate::world::proxy::action::ExchangeNumber;

/// Why a connection to a backend was opened.
#[derive(Clone, Debug)]
pub enum BackendLink {
    /// For an attempt at a client request.
    Dispatch {
        /// The exchange that waits for the answer.
        exchange: ExchangeNumber,
        /// The client request.
        client_request: RequestNumber,
        /// What is sent once the connection is open.
        request: Box<BackendRequest>,
    },
    /// To withdraw an attempt.
    Withdraw {
        /// The exchange that waits for the answer.
        exchange: ExchangeNumber,
        /// The attempt's id.
        attempt: String,
        /// Upper bound of its age.
        age: Duration,
    },
    /// To probe a backend.
    Probe {
        /// Its id.
        backend: String,
    },
}

impl BackendLink {
    /// The exchange that waits for an answer; a probe has none.
    #[must_use]
    pub fn exchange(&self) -> Option<ExchangeNumber> {
        match self {
            Self::Dispatch { exchange, .. } | Self::Withdraw { exchange, .. } => Some(*exchange),
            Self::Probe { .. } => None,
        }
    }
}

/// Connections to backends by number, and by exchange.
#[derive(Default)]
pub struct BackendLinks {
    links: BTreeMap<LinkNumber, BackendLink>,
    exchanges: BTreeMap<ExchangeNumber, LinkNumber>,
}

impl BackendLinks {
    /// Adds a connection.
    pub fn insert(&mut self, link: LinkNumber, purpose: BackendLink) {
        if let Some(exchange) = purpose.exchange() {
            self.exchanges.insert(exchange, link);
        }
        self.links.insert(link, purpose);
    }

    /// Why a connection was opened.
    #[must_use]
    pub fn get(&self, link: LinkNumber) -> Option<&BackendLink> {
        self.links.get(&link)
    }

    /// Whether a probe is under way.
    #[must_use]
    pub fn is_probing(&self) -> bool {
        let mut links = self.links.values();
        links.any(|purpose| matches!(purpose, BackendLink::Probe { .. }))
    }

    /// Forgets a connection.
    pub fn remove(&mut self, link: LinkNumber) -> Option<BackendLink> {
        let purpose = self.links.remove(&link)?;
        if let Some(exchange) = purpose.exchange() {
            self.exchanges.remove(&exchange);
        }
        Some(purpose)
    }

    /// Forgets the connection of an exchange. Returns its number.
    pub fn remove_exchange(&mut self, exchange: ExchangeNumber) -> Option<LinkNumber> {
        let link = self.exchanges.remove(&exchange)?;
        self.links.remove(&link);
        Some(link)
    }

    /// Forgets every connection.
    pub fn clear(&mut self) {
        self.links.clear();
        self.exchanges.clear();
    }
}
