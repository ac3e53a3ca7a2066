//! The process: sockets, threads and signals around the request path.

pub mod callers;
pub mod readiness;
pub mod run;

pub use run::run;
