//! Access to the service registry: a trait, the view that a read returns, and an HTTP client.

mod confirmed_empty_list;
mod error;
mod http_registry;
mod registry_address;
mod service_registry;
mod view;

pub use confirmed_empty_list::{ConfirmedEmptyList, EMPTY_LIST_CONFIRMATION};
pub use error::{BoxError, RegistryError};
pub use http_registry::HttpRegistry;
pub use registry_address::RegistryAddress;
pub use service_registry::{ReadFuture, ServiceRegistry, SharedRegistry};
pub use view::{RegistryDeclaration, RegistryEntry, RegistryView};
