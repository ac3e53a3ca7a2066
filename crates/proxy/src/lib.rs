//! Proxy for the callers: one function a request, from authentication to settlement.

pub mod backend_protocol;
pub mod daemon;
pub mod request;
