//! The service registry, read by the agent itself while control does not confirm every shard.

pub mod confirmation;
pub mod overlay;
pub mod pace;
pub mod view;

pub use confirmation::Confirmation;
pub use overlay::RegistryOverlay;
pub use pace::RegistryPace;
pub use view::{RegistryEntry, RegistryView};
