//! A small cluster of control nodes under simulated time.

#![allow(dead_code, unused_imports)]

pub mod agent;
pub mod cluster;
pub mod daemons;
pub mod http;
pub mod memory_disk;
pub mod orders;

pub use agent::TestAgent;
pub use cluster::Cluster;
