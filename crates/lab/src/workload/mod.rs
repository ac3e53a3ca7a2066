//! Traffic of a site: callers that run beside each other and leave what they saw.

pub mod callers;
pub mod figures;
pub mod mix;
pub mod service_probe;
pub mod texts;

pub use callers::{Callers, CallersOptions};
pub use figures::Figures;
