//! Simulated fleet whose nodes choose backends by load counts of a certain age.
//!
//! The model is much simpler than [`crate::fleet`], so that hundreds of nodes can be simulated in about a second: a
//! backend reads one prompt at a time, and the first token is generated as soon as its prompt is read.

pub mod backends;
pub mod options;
pub mod outcome;
pub mod simulation;

pub use options::{LoadAgeOptions, Sharing};
pub use outcome::LoadAgeOutcome;
pub use simulation::simulate;
