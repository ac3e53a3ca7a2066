//! The service registry as millford reads it: a trait, what a reading gives, and a client.

pub mod error;
pub mod http_registry;
pub mod service_registry;
pub mod view;

pub use error::RegistryError;
pub use http_registry::HttpRegistry;
pub use service_registry::{Reading, ServiceRegistry, SharedRegistry};
pub use view::{RegistryDeclaration, RegistryEntry, RegistryView};
