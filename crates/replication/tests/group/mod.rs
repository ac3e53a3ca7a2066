//! A group of replicas with simulated time, network and disks, and safety checks over its history.
#![allow(dead_code, reason = "each test file uses only some of these items")]

#[path = "../../../storage/tests/support/mod.rs"]
pub(crate) mod support;

pub(crate) mod chaos;
pub(crate) mod fixture;
pub(crate) mod history;
pub(crate) mod machine;
pub(crate) mod network;
pub(crate) mod repair;
pub(crate) mod simulation;
pub(crate) mod world;
