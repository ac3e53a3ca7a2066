//! The service registry, read by the agent itself while no control node answers.
//!
//! See `docs/REGISTRY-PROTOCOL.md`. Another shape of registry is put in place here.

pub mod client;
pub mod overlay;
pub mod view;

pub use overlay::RegistryOverlay;
pub use view::{RegistryEntry, RegistryView};
