//! The service registry, read by the agent itself while it is out of touch with every control node.

pub mod overlay;
pub mod pace;
pub mod view;

pub use overlay::RegistryOverlay;
pub use pace::RegistryPace;
pub use view::{RegistryEntry, RegistryView};
