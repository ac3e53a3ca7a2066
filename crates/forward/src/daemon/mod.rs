//! The daemon process: listeners, threads and signal handling.

pub mod callers;
pub mod readiness;
pub mod run;

pub use run::run;
