//! Developers' laboratory: emulated backends and registry, a fleet of real processes on loopback, fault
//! injection with checks, benchmarks and reports.

pub mod answer_text;
pub mod arguments;
pub mod bench;
pub mod caller;
pub mod chaos;
pub mod checks;
pub mod commands;
pub mod days;
pub mod demo;
pub mod emulator;
pub mod fleet;
pub mod protocol;
pub mod registry;
pub mod workload;
