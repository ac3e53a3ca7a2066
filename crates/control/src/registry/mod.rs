//! The service registry as the control plane reads it. See `docs/REGISTRY-PROTOCOL.md`.

pub mod client;
pub mod view;

pub use view::{RegistryEntry, RegistryView};
