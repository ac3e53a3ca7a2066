//! Fixtures: control nodes under simulated time or as processes, and test agents.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test binary uses a part of the fixture"
)]

pub(crate) mod agent;
pub(crate) mod cluster;
pub(crate) mod daemons;
pub(crate) mod http;
pub(crate) mod memory_disk;
pub(crate) mod orders;

pub(crate) use agent::TestAgent;
pub(crate) use cluster::Cluster;
