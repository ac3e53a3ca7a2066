//! Reads the service registry.
