//! Traffic of a site: concurrent requests, probes, and a summary of their outcomes.

pub mod callers;
pub mod figures;
pub mod mix;
pub mod service_probe;
pub mod texts;

pub use callers::{Callers, CallersOptions};
pub use figures::Figures;
