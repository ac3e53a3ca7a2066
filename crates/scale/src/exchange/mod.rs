//! What proxies send each other at several sizes of fleet: the real exchange between hollow proxies, over
//! loopback, with requests that choose a backend and are never sent.

pub mod datagram_relay;
pub mod exchange_figures;
pub mod growth;
pub mod proxy_fleet;
pub mod run;
pub mod traffic;

pub use datagram_relay::{DatagramRelay, NodeCounts};
pub use exchange_figures::ExchangeFigures;
pub use growth::Growth;
pub use proxy_fleet::ProxyFleet;
