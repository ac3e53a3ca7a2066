//! Measures the datagrams that proxies exchange at several fleet sizes. The simulated proxies run the real exchange
//! over loopback; their requests are admitted and a backend is chosen, but they are never sent to it.

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
