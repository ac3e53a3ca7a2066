//! Stand-in for the platform's service registry.

pub mod record;
pub mod server;
pub mod store;

pub use server::RegistryServer;
