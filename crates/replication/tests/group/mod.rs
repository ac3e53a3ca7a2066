//! A group of replicas under simulated time, network and disks, with checks of its complete history.
#![allow(dead_code, reason = "each test file uses a part")]

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
