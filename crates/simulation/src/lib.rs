//! Deterministic simulation of a whole fleet: time, network and disks are simulated.
//!
//! Control nodes, agents and the proxies' request path run the daemons' own code. Callers, backends, the
//! service registry and operators are models that exchange messages with them.

pub mod checkers;
pub mod command;
pub mod disk;
pub mod history;
pub mod kernel;
pub mod network;
pub mod runner;
pub mod scenario;
pub mod world;

pub use command::run;
