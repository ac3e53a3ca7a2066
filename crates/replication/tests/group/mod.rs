//! A group of replicas under simulated time, network and disks, with checks of its complete history.
#![allow(dead_code, reason = "each test file uses a part")]

#[path = "../../../storage/tests/support/mod.rs"]
pub mod support;

pub mod chaos;
pub mod fixture;
pub mod history;
pub mod machine;
pub mod network;
pub mod repair;
pub mod simulation;
pub mod world;
