//! A fleet of nodes that choose backends by counts of a certain age.
//!
//! Much simpler than [`crate::fleet`], so that hundreds of nodes take a second: a backend reads prompts one
//! after the other, and the time to the first token is the time until a prompt is read.

pub mod backends;
pub mod options;
pub mod outcome;
pub mod simulation;

pub use options::{LoadAgeOptions, Sharing};
pub use outcome::LoadAgeOutcome;
pub use simulation::simulate;
