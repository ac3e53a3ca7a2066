//! Direct reads of the service registry while the control plane does not confirm every shard.

pub mod backoff;
pub mod confirmation;
pub mod fallback;
pub mod overlay;
pub mod view;

pub use confirmation::Confirmation;
pub use fallback::{FallbackAction, RegistryFallback};
pub use overlay::RegistryOverlay;
pub use view::{RegistryEntry, RegistryView};
