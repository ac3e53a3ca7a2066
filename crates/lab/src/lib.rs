//! Developers' laboratory: stand-ins, demonstration fleet, chaos, experiments, scale runs, reports.

pub mod answer_text;
pub mod caller;
pub mod emulator;
pub mod protocol;
pub mod registry;
