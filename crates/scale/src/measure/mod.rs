//! Measurement of processor time and memory, and quantiles of measured values.

pub mod process_sample;
pub mod quantiles;
pub mod thread_time;

pub use process_sample::ProcessSample;
pub use quantiles::Quantiles;
pub use thread_time::ThreadTime;
