//! A whole fleet under simulated time, with simulated network and disks.
//!
//! The control nodes, agents and the request path are the daemons' own code. Callers, backends,
//! the service registry and operators are simulated parts that exchange messages with them.

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
