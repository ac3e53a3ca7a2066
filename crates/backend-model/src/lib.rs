//! Cost model of an emulated backend: prefill, prefix cache, decode, memory bandwidth.
//!
//! [`EmulatedBackend`] is a fluid model: between two events every run progresses at a constant
//! rate, and the rates change only when a run starts, changes phase or ends. It reads no clock.

pub mod backend;
pub mod bandwidth;
pub mod event;
pub mod options;
pub mod prefix_cache;
pub mod profile;
pub mod prompt;
mod rates;
mod run;
mod run_table;

pub use backend::EmulatedBackend;
pub use bandwidth::LatencyCurve;
pub use event::{BackendEvent, BackendEventKind, RunRefused, RunRequest, RunStarted};
pub use options::BackendOptions;
pub use prefix_cache::PrefixCache;
pub use profile::ModelProfile;
pub use prompt::{chain_blocks, text_blocks};
