//! Developers' laboratory: stand-ins, demonstration fleet, chaos, experiments, scale runs, reports.
